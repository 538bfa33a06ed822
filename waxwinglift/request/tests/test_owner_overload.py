"""Tests an owner that lacks processor time, in virtual time.

Pattern: a burst of the least urgent rank fills the processor of an endpoint's
owner.  Refusing a request costs the owner nearly half of serving it, work
waits in its sockets in order of arrival, and callers repeat what fails, so
that the owner may stay full at the usual load after the burst.
"""

import collections
import dataclasses
import heapq
import random

import pytest

from waxwinglift.process import DaemonId
from waxwinglift.process._policy_settings import SheddingSettings
from waxwinglift.request._load_shedder import LoadShedder
from waxwinglift.request._overload_backoff import OverloadBackoff
from waxwinglift.version import EndpointId

# Processor time of the owner for each second, and for a request that is
# refused or served.
_CAPACITY_MS_PER_S = 516.0
_REFUSAL_MS = 1.5
_SERVICE_MS = 3.5
_TIMEOUT_MS = 800.0
_RETRY_DELAY_MS = 300.0
_ATTEMPT_LIMIT_COUNT = 3
_TICK_MS = 50.0
_RANKS_COUNT = 3
_FLOOR_SHARE = 0.1
_ENDPOINT = EndpointId("server")
_OWNER = DaemonId("proxy-1")
_ENTRIES_COUNT = 40
_BURST_MS = (2000.0, 7000.0)
_END_MS = 14_000.0


@dataclasses.dataclass(order=True, slots=True)
class _Request:
    arrival_ms: float
    number: int
    urgency_index: int = dataclasses.field(compare=False)
    attempts_count: int = dataclasses.field(compare=False, default=1)
    first_ms: float = dataclasses.field(compare=False, default=0.0)


class SheddingPolicy:
    """Decisions of the product: shedding by rank and backoff."""

    def __init__(self):
        self._shedder = LoadShedder(SheddingSettings(), random.Random(5))
        self._shedder.ranks_count = _RANKS_COUNT
        self._backoffs = [
            OverloadBackoff(random.Random(number))
            for number in range(_ENTRIES_COUNT)
        ]

    def observe_lag(self, lag_ms):
        """Adapt the shedding."""
        self._shedder.observe_lag(lag_ms)

    def refusal_ms(self, urgency_index):
        """Return the advised delay of a refused request, None if served."""
        return self._shedder.refusal_ms(urgency_index, _FLOOR_SHARE)

    def may_send(self, entry, urgency_index, now_ms):
        """Return whether an entry proxy sends the request to the owner."""
        backoff = self._backoffs[entry]
        left_ms = backoff.left_ms(_ENDPOINT, _OWNER, urgency_index, now_ms)
        return left_ms == 0

    def on_refused(self, entry, urgency_index, now_ms, retry_after_ms):
        """Record at the entry proxy that the owner refused a request."""
        self._backoffs[entry].record(
            _ENDPOINT, _OWNER, urgency_index, now_ms, retry_after_ms
        )


def make_policy():
    """Return the policy of the product."""
    return SheddingPolicy()


class Owner:
    """One processor that handles requests in order of arrival."""

    def __init__(self, policy, arrivals):
        self.policy = policy
        self.pending = list(arrivals)
        heapq.heapify(self.pending)
        self.free_ms = 0.0
        self.tick_ms = 0.0
        self.served = collections.Counter()
        self.offered = collections.Counter()

    def run(self):
        """Handle all requests."""
        while self.pending:
            request = heapq.heappop(self.pending)
            self._tick_until(request.arrival_ms)
            self._handle(request)

    def _tick_until(self, now_ms):
        while self.tick_ms <= now_ms:
            self.policy.observe_lag(max(0.0, self.free_ms - self.tick_ms))
            self.tick_ms += _TICK_MS

    def _handle(self, request):
        now_ms, index = request.arrival_ms, request.urgency_index
        second = int(request.first_ms / 1000)
        if request.attempts_count == 1:
            self.offered[second, index] += 1
        entry = request.number % _ENTRIES_COUNT
        if not self.policy.may_send(entry, index, now_ms):
            self._retry(request, now_ms)
            return
        advice_ms = self.policy.refusal_ms(index)
        done_ms = self._use_processor(now_ms, advice_ms is not None)
        if advice_ms is not None:
            self.policy.on_refused(entry, index, done_ms, advice_ms)
            self._retry(request, done_ms)
        elif done_ms - now_ms > _TIMEOUT_MS:
            self._retry(request, now_ms + _TIMEOUT_MS)
        else:
            self.served[second, index] += 1

    def _use_processor(self, now_ms, is_refused):
        work_ms = _REFUSAL_MS if is_refused else _SERVICE_MS
        started_ms = max(now_ms, self.free_ms)
        self.free_ms = started_ms + work_ms * 1000 / _CAPACITY_MS_PER_S
        return self.free_ms

    def _retry(self, request, now_ms):
        if request.attempts_count >= _ATTEMPT_LIMIT_COUNT:
            return
        request.attempts_count += 1
        request.arrival_ms = now_ms + _RETRY_DELAY_MS
        heapq.heappush(self.pending, request)

    def share(self, urgency_index, seconds):
        """Return the served share of a rank's requests of these seconds."""
        keys = [(second, urgency_index) for second in seconds]
        offered = sum(self.offered[key] for key in keys)
        return sum(self.served[key] for key in keys) / offered


def _arrivals(seed, burst_factor):
    """Return requests of each rank; the last rank has the burst."""
    rng = random.Random(seed)
    rates_per_s = (30.0, 15.0, 60.0)
    numbers = iter(range(10**9))
    for index, rate_per_s in enumerate(rates_per_s):
        now_ms = 0.0
        while now_ms < _END_MS:
            is_burst = _BURST_MS[0] <= now_ms < _BURST_MS[1]
            factor = burst_factor if is_burst and index == 2 else 1.0
            now_ms += rng.expovariate(rate_per_s * factor) * 1000
            yield _Request(now_ms, next(numbers), index, first_ms=now_ms)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("burst_factor", [1.0, 2.5, 5.0])
def test_urgent_rank_is_served_while_the_owner_lacks_processor_time(
    seed, burst_factor
):
    """A burst of the least urgent rank must not displace the most urgent."""
    owner = Owner(make_policy(), _arrivals(seed, burst_factor))
    owner.run()
    assert owner.share(0, range(14)) >= 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("burst_factor", [1.0, 2.5, 5.0])
def test_usual_load_is_served_again_after_a_burst(seed, burst_factor):
    """Refusals and repeated requests must not keep the owner full."""
    owner = Owner(make_policy(), _arrivals(seed, burst_factor))
    owner.run()
    for urgency_index in range(_RANKS_COUNT):
        assert owner.share(urgency_index, range(10, 14)) >= 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_other_ranks_keep_a_floor_while_the_owner_lacks_processor_time(seed):
    """The least urgent rank must not be refused as a whole."""
    owner = Owner(make_policy(), _arrivals(seed, 5.0))
    owner.run()
    assert owner.share(2, range(3, 7)) >= 0.10
