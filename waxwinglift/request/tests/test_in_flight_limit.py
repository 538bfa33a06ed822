"""Guards the use of an endpoint's slots from another region."""

import pytest

from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Ticket
from waxwinglift.request._in_flight_limit import InFlightLimit
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow

WORK_MS = 14.0
SLOTS_COUNT = 2


@pytest.mark.parametrize(
    ("round_trip_ms", "limit_count"),
    [(0.2, 2), (2.0, 2), (24.0, 5), (100.0, 10)],
)
def test_statements_on_the_way(round_trip_ms, limit_count):
    """A near endpoint must keep its queue here, where ranks count."""
    flight = InFlightLimit()
    for _ in range(20):
        flight.record_round_trip(round_trip_ms)
    found = flight.limit_count(SLOTS_COUNT, WORK_MS + round_trip_ms)
    assert found == limit_count


def test_way_is_unknown_at_first():
    """Without a sample an owner must not overload the endpoint."""
    assert InFlightLimit().limit_count(SLOTS_COUNT, 4.0) == SLOTS_COUNT


def serve_flood(round_trip_ms, duration_ms, has_flight_limit):
    """Return the statements that an endpoint finishes in a flood.

    Its slots are taken for the work only, the owner's for the way as well.
    """
    queue = AdmissionQueue(SLOTS_COUNT)
    row = RankRow("low", 1, 0, 0, 1000, 10_000)
    queue.set_tables([PoolTable("p", "g", (row,))])
    flight = InFlightLimit()
    flight.record_round_trip(round_trip_ms)
    waiting = []
    for number in range(900):
        ticket = Ticket(number, "p", "low", f"c{number % 9}", 0.0, 1e9)
        waiting += queue.offer(ticket, 0.0)
    free_ms = [0.0] * SLOTS_COUNT
    answers = []
    done_count = 0
    now_ms = 0.0
    while now_ms < duration_ms:
        for start in waiting:
            slot = min(range(SLOTS_COUNT), key=free_ms.__getitem__)
            begin_ms = max(free_ms[slot], now_ms + round_trip_ms / 2)
            free_ms[slot] = begin_ms + WORK_MS
            end_ms = free_ms[slot] + round_trip_ms / 2
            answers.append((end_ms, now_ms, start.ticket))
        answers.sort(key=lambda one: one[0])
        now_ms, started_ms, ticket = answers.pop(0)
        done_count += 1
        if has_flight_limit:
            queue.slots_count = flight.limit_count(
                SLOTS_COUNT, queue.service_ms
            )
        waiting = queue.finish(ticket, now_ms, now_ms - started_ms)
    return done_count


@pytest.mark.parametrize(
    ("round_trip_ms", "least_ratio"), [(0.2, 0.99), (24.0, 1.8), (48.0, 2.5)]
)
def test_flood_of_a_distant_endpoint(round_trip_ms, least_ratio):
    """Pattern: a burst at endpoints whose near proxies are restarting.

    The slots must stay busy although each answer travels between regions.
    """
    before = serve_flood(round_trip_ms, 2_000.0, False)
    after = serve_flood(round_trip_ms, 2_000.0, True)
    assert after >= least_ratio * before
