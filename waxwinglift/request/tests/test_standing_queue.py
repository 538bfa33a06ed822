"""Tests a queue under a lasting overload, in virtual time.

Pattern: more requests arrive than the slots can serve.  A queue that accepts
a request whenever it would start before its deadline fills up until each one
starts just before its deadline, so that every answer is late.
"""

import collections
import heapq

import pytest

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Start
from waxwinglift.request._admission import Ticket
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow

_LIMIT_MS = 800.0
_SERVICE_MS = 100.0
_SLOTS_COUNT = 4
# Time that the answer takes to the caller.
_DELIVERY_MS = 100.0
_ROWS = (
    RankRow("urgent", 64, 0, 0, 256, 800),
    RankRow("low", 16, 10, 0, 256, 800),
)


class Endpoint:
    """An endpoint whose slots serve the tickets of one queue."""

    def __init__(self, settings):
        self.queue = AdmissionQueue(_SLOTS_COUNT, settings)
        self.queue.set_tables([PoolTable("main", "g", _ROWS)])
        self.running = []
        self.served = collections.Counter()
        self.in_time = collections.Counter()

    def run(self, tickets):
        """Offer the tickets at their arrival."""
        for ticket in tickets:
            self._finish_until(ticket.arrival_ms)
            self._start(
                self.queue.offer(ticket, ticket.arrival_ms), ticket.arrival_ms
            )
        self._finish_until(float("inf"))

    def _finish_until(self, now_ms):
        while self.running and self.running[0][0] <= now_ms:
            done_ms, _, ticket = heapq.heappop(self.running)
            self.queue.expire(done_ms)
            self.served[ticket.rank] += 1
            is_in_time = done_ms + _DELIVERY_MS <= ticket.deadline_ms
            self.in_time[ticket.rank] += is_in_time
            self._start(
                self.queue.finish(ticket, done_ms, _SERVICE_MS), done_ms
            )

    def _start(self, actions, now_ms):
        for action in actions:
            if isinstance(action, Start):
                ticket = action.ticket
                entry = (now_ms + _SERVICE_MS, ticket.request, ticket)
                heapq.heappush(self.running, entry)


def _tickets(rates_per_s, length_ms):
    """Return tickets of each rank at regular intervals, by arrival."""
    arrivals = sorted(
        (number * 1000 / rate_per_s, rank)
        for rank, rate_per_s in rates_per_s.items()
        for number in range(int(rate_per_s * length_ms / 1000))
    )
    return [
        Ticket(
            request=number,
            pool="main",
            rank=rank,
            caller=f"caller-{number % 7}",
            arrival_ms=arrival_ms,
            deadline_ms=arrival_ms + _LIMIT_MS,
        )
        for number, (arrival_ms, rank) in enumerate(arrivals)
    ]


@pytest.mark.parametrize(
    "rates_per_s",
    [{"low": 80.0}, {"low": 200.0}, {"urgent": 20.0, "low": 80.0}],
    ids=["twice the capacity", "five times", "two ranks"],
)
def test_answers_of_an_overloaded_queue_are_in_time(rates_per_s):
    """A lasting overload must not make every answer late."""
    settings = AdmissionSettings(
        wait_fraction=0.5, initial_service_ms=_SERVICE_MS
    )
    endpoint = Endpoint(settings)
    endpoint.run(_tickets(rates_per_s, 8000.0))
    for rank, served_count in endpoint.served.items():
        assert endpoint.in_time[rank] >= 0.95 * served_count, rank
