"""Guards the figures that the report states."""

import collections

import pytest

from waxwinglift.version import RankRow
from waxwinglift_bench.request._statistics import RunStatistics

ROW = RankRow("low", 1, 10, 0, 100, 1000)
Request = collections.namedtuple("Request", "number rank deadline_ms")


def kept_percent(requests, slot_ms=4.0, until_ms=1000.0):
    """Return the figure for (arrival, deadline, start or None, loss)."""
    statistics = RunStatistics(0.0, until_ms)
    events = []
    for number, (arrival, deadline, start, loss) in enumerate(requests):
        request = Request(number, "low", deadline)
        statistics.record_offer("e", request, arrival)
        is_run = start is not None
        events.append((start if is_run else loss, number, is_run, request))
    for now_ms, _, is_run, request in sorted(events):
        record = statistics.record_run if is_run else statistics.record_loss
        record("e", request, slot_ms, now_ms)
    # 2 slots at 10%: the reserved part takes 20 ms for 4 ms of slot time.
    return statistics.floor_kept_percent(ROW, 2)


def stream(count, gap_ms, is_run, from_ms=0.0):
    """Return requests that start or are refused on arrival."""
    return [
        (t, t + 500.0, t, None) if is_run(i) else (t, t + 500.0, None, t)
        for i, t in enumerate(from_ms + gap_ms * n for n in range(count))
    ]


@pytest.mark.parametrize(
    ("requests", "kept"),
    [
        # Demand at the floor without a break: half of it is half the floor.
        (stream(50, 19.9, lambda i: i % 2 == 0), 50.0),
        (stream(50, 19.9, lambda i: True), 100.0),
        # Below the floor every refusal is one too many.
        (stream(20, 40.0, lambda i: i != 7), 0.0),
        # Ten times the floor: a tenth is enough.
        (stream(450, 2.0, lambda i: i % 8 == 0), 100.0),
        # Service in one period does not make up for the next one.
        (
            stream(20, 2.0, lambda i: True)
            + stream(10, 5.0, lambda i: i > 4, from_ms=700.0),
            50.0,
        ),
        # Six of a burst can start by their deadline of 100 ms.
        ([(0.0, 100.0, 20.0 * i, None) for i in range(6)], 100.0),
        (
            [(0.0, 100.0, 20.0 * i, None) for i in range(6)]
            + [(0.0, 100.0, None, 0.0)] * 44,
            100.0,
        ),
        (
            [(0.0, 100.0, 20.0 * i, None) for i in range(3)]
            + [(0.0, 100.0, None, 0.0)] * 47,
            50.0,
        ),
        # A wait of 200 ms for which 40 ms were owed and 4 given; more than
        # the floor before it is no excuse.
        (
            stream(30, 1.0, lambda i: True) + [(100.0, 300.0, None, 300.0)],
            10.0,
        ),
        # Outside the window.
        (stream(10, 20.0, lambda i: False, from_ms=1000.0), 100.0),
    ],
)
def test_floor_kept(requests, kept):
    # A looser figure would hide a rank that is starved for a time.
    assert kept_percent(requests) == pytest.approx(kept)


def test_floor_account_leaves_out_requests_without_outcome():
    # What a cut off owner held was neither served nor refused.
    statistics = RunStatistics(0.0, 1000.0)
    for number in range(3):
        request = Request(number, "low", 500.0)
        statistics.record_offer("e", request, 0.0)
    statistics.record_run("e", Request(0, "low", 500.0), 4.0, 0.0)
    statistics.record_loss("e", Request(1, "low", 500.0), 4.0, 0.0)
    assert statistics.floor_kept_percent(ROW, 2) == pytest.approx(50.0)
