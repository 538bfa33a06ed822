"""Guards the use of all slots of an endpoint in another region."""

import pytest

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Ticket
from waxwinglift.request._in_flight_limit import InFlightLimit
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow

EXECUTION_MS = 14.0
SLOTS_COUNT = 2


@pytest.mark.parametrize(
    ("round_trip_ms", "limit_count"),
    [(0.2, 2), (2.0, 2), (24.0, 5), (100.0, 10)],
)
def test_limit_grows_with_the_round_trip(round_trip_ms, limit_count):
    """Statements for a near endpoint must queue at the owner, by rank."""
    limit = InFlightLimit()
    for number in range(20):
        limit.record_round_trip(round_trip_ms, 10.0 * number)
    found = limit.limit_count(SLOTS_COUNT, EXECUTION_MS + round_trip_ms)
    assert found == limit_count


@pytest.mark.parametrize(
    ("spare_ratio", "slots_count", "limit_count"),
    [(0.0, 6, 6), (2 / 3, 6, 10), (2 / 3, 4, 7), (2 / 3, 3, 5), (2.0, 6, 14)],
)
def test_spare_statements_cover_the_delay_of_the_owner(
    spare_ratio, slots_count, limit_count
):
    """Slots must not be idle while the owner handles an answer."""
    limit = InFlightLimit(AdmissionSettings(spare_in_flight_ratio=spare_ratio))
    assert limit.limit_count(slots_count, 25.0) == limit_count


def test_limit_without_a_sample_is_the_number_of_slots():
    """An owner must not overload an endpoint whose round trip is unknown."""
    assert InFlightLimit().limit_count(SLOTS_COUNT, 4.0) == SLOTS_COUNT


@pytest.mark.parametrize(("shortest_ms", "limit_count"), [(0.5, 2), (24.0, 5)])
def test_delay_of_the_process_itself_does_not_raise_the_limit(
    shortest_ms, limit_count
):
    """An owner without spare processor time must not fill the endpoint.

    Its own delay is part of each round trip.  On a day of the first version
    of the limit, statements then queued at the endpoint, where ranks have no
    effect.
    """
    limit = InFlightLimit()
    limit.record_round_trip(shortest_ms, 0.0)
    for number in range(100):
        delay_ms = 20.0 + number % 40
        limit.record_round_trip(shortest_ms + delay_ms, 100.0 * number)
    service_ms = EXECUTION_MS + shortest_ms
    assert limit.limit_count(SLOTS_COUNT, service_ms) == limit_count


def test_limit_follows_a_link_that_has_become_longer():
    """A window without an end would keep the shortest round trip forever."""
    limit = InFlightLimit()
    limit.record_round_trip(0.5, 0.0)
    for number in range(300):
        limit.record_round_trip(24.0, 100.0 * number)
    assert limit.limit_count(SLOTS_COUNT, EXECUTION_MS + 24.0) == 5


def serve_flood(round_trip_ms, duration_ms, has_in_flight_limit):
    """Return how many statements an endpoint finishes in a flood.

    A statement occupies a slot of the endpoint during its execution, and a
    slot at the owner during the round trip as well.
    """
    queue = AdmissionQueue(SLOTS_COUNT)
    row = RankRow("low", 1, 0, 0, 1000, 10_000)
    queue.set_tables([PoolTable("p", "g", (row,))])
    limit = InFlightLimit()
    limit.record_round_trip(round_trip_ms, 0.0)
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
            free_ms[slot] = begin_ms + EXECUTION_MS
            end_ms = free_ms[slot] + round_trip_ms / 2
            answers.append((end_ms, now_ms, start.ticket))
        answers.sort(key=lambda answer: answer[0])
        now_ms, started_ms, ticket = answers.pop(0)
        done_count += 1
        if has_in_flight_limit:
            queue.slots_count = limit.limit_count(
                SLOTS_COUNT, queue.service_ms
            )
        waiting = queue.finish(ticket, now_ms, now_ms - started_ms)
    return done_count


@pytest.mark.parametrize(
    ("round_trip_ms", "least_ratio"), [(0.2, 0.99), (24.0, 1.8), (48.0, 2.5)]
)
def test_slots_of_a_distant_endpoint_stay_busy_in_a_flood(
    round_trip_ms, least_ratio
):
    """Slots must not be idle while answers travel between regions.

    This occurs in a burst while the proxies near the endpoints restart, so
    that distant ones own the endpoints.
    """
    without_limit = serve_flood(round_trip_ms, 2_000.0, False)
    with_limit = serve_flood(round_trip_ms, 2_000.0, True)
    assert with_limit >= least_ratio * without_limit
