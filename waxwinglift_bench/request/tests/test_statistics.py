"""Tests of the percentage of a floor share in the measurement report."""

import collections

import pytest

from waxwinglift.version import RankRow
from waxwinglift_bench.request._statistics import RunStatistics

ROW = RankRow("low", 1, 10, 0, 100, 1000)
Request = collections.namedtuple("Request", "number rank deadline_ms")


def received_percent(requests, slot_ms=4.0, until_ms=1000.0):
    """Return the percentage of the floor share for a list of requests.

    Each is (arrival, deadline, start, refusal) in ms; either start or refusal
    is None.
    """
    statistics = RunStatistics(0.0, until_ms)
    events = []
    for number, (arrival, deadline, start, refused) in enumerate(requests):
        request = Request(number, "low", deadline)
        statistics.record_enqueue("e", request, arrival)
        is_run = start is not None
        events.append((start if is_run else refused, number, is_run, request))
    for now_ms, _, is_run, request in sorted(events):
        record = (
            statistics.record_start if is_run else statistics.record_refusal
        )
        record("e", request, slot_ms, now_ms)
    # A floor share of 10% of 2 slots: the reference server takes 20 ms for
    # each statement of 4 ms.
    return statistics.floor_share_received_percent(ROW, 2)


def stream(count, gap_ms, is_run, from_ms=0.0):
    """Return requests that start immediately or are refused on arrival."""
    return [
        (t, t + 500.0, t, None) if is_run(i) else (t, t + 500.0, None, t)
        for i, t in enumerate(from_ms + gap_ms * n for n in range(count))
    ]


@pytest.mark.parametrize(
    ("requests", "received"),
    [
        # Continuous demand equal to the floor share; half of it is served.
        (stream(50, 19.9, lambda i: i % 2 == 0), 50.0),
        (stream(50, 19.9, lambda i: True), 100.0),
        # Demand below the floor share: no request may be refused.
        (stream(20, 40.0, lambda i: i != 7), 0.0),
        # Demand of ten times the floor share: serving a tenth of it suffices.
        (stream(450, 2.0, lambda i: i % 8 == 0), 100.0),
        # Surplus service in one period does not count in the next one.
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
        # A wait of 200 ms with 40 ms guaranteed and 4 ms received; surplus
        # service before the wait does not count.
        (
            stream(30, 1.0, lambda i: True) + [(100.0, 300.0, None, 300.0)],
            10.0,
        ),
        # Refusals outside the window are ignored.
        (stream(10, 20.0, lambda i: False, from_ms=1000.0), 100.0),
    ],
)
def test_floor_share_received_percent(requests, received):
    # Averaging over the window would hide a rank that is starved for a time.
    assert received_percent(requests) == pytest.approx(received)


def test_floor_share_tracker_ignores_requests_without_outcome():
    # Requests at an owner that was cut off are neither served nor refused.
    statistics = RunStatistics(0.0, 1000.0)
    for number in range(3):
        request = Request(number, "low", 500.0)
        statistics.record_enqueue("e", request, 0.0)
    statistics.record_start("e", Request(0, "low", 500.0), 4.0, 0.0)
    statistics.record_refusal("e", Request(1, "low", 500.0), 4.0, 0.0)
    assert statistics.floor_share_received_percent(ROW, 2) == pytest.approx(
        50.0
    )
