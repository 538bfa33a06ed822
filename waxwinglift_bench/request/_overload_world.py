"""Model of one overloaded endpoint, its owner, entry proxies and callers.

The load is that of a primary of Admisiones that serves its group alone.  The
owner has so little processor time that refusals slow it down.
"""

import collections
import dataclasses
import heapq
import math
import random

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Start
from waxwinglift.request._admission import Ticket
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow

SLOTS_COUNT = 6
ENTRIES_COUNT = 106
ROWS = tuple(
    RankRow(rank, 64 >> index, 10 if index else 0, 0, 256, 1000)
    for index, rank in enumerate(("top", "middle", "low"))
)
USUAL_RATIO = 0.7
BURST_MS = (2_000.0, 12_000.0)
_USE_STEP_MS = 500.0
# Processor time of the owner, in ms of its share of a core.
_START_COST_MS = 0.8
_FINISH_COST_MS = 0.8
_REFUSAL_COST_MS = 0.9
_TICK_MS = 50.0
_CALLER_REPEATS_COUNT = 2
_SIGMA = 0.7


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of work: its rank, requests per second and times in ms."""

    rank: str
    rate_per_s: float
    work_ms: float
    target_ms: float
    limit_ms: float
    callers_count: int = 1
    is_scaled: bool = True


KINDS = {
    "check": Kind("top", 90, 2.0, 0, 1000, is_scaled=False),
    "solicitud": Kind("middle", 24, 9.3, 500, 1000),
    "estado": Kind("low", 24, 47.0, 1200, 3000),
    "cupos": Kind("low", 112, 28.0, 1000, 1000),
}


def scale(kinds, ratio):
    """Return the factor on the scaled kinds at which the slots get ``ratio``.

    ``ratio`` is the offered work divided by what the slots can do.
    """
    work_ms = {True: 0.0, False: 0.0}
    for kind in kinds.values():
        # 3% of the requests take 7 times as long.
        work_ms[kind.is_scaled] += 1.18 * kind.rate_per_s * kind.work_ms
    return (1000 * SLOTS_COUNT * ratio - work_ms[False]) / work_ms[True]


@dataclasses.dataclass
class Request:
    """A caller's request, over all its attempts."""

    name: str
    caller: str
    work_ms: float
    arrived_ms: float
    repeats_count: int = 0


class World:
    """Runs requests at ``ratios``, pairs of a load ratio and its end in ms.

    With ``keeps_return_times``, entry proxies send nothing of a rank until
    the return time of its last refusal, as those of this version do;
    otherwise they try once more after 5 ms.
    """

    def __init__(self, settings, keeps_return_times, kinds=None, seed=1):
        self.kinds = kinds or KINDS
        self.rng = random.Random(seed)
        self.keeps_return_times = keeps_return_times
        self.queue = AdmissionQueue(SLOTS_COUNT, settings, random.Random(seed))
        self.queue.set_tables([PoolTable("", "g", ROWS)])
        # Per entry proxy and rank, when it may send again.
        self.return_ms = collections.defaultdict(float)
        self.now_ms = 0.0
        self.events = []
        self.cpu_free_ms = 0.0
        # Time for which the owner's timer was late, as `LoopLag` counts it.
        self.lost_ms = 0.0
        self.owned = {}
        self.number = 0
        # Times in ms: of arrivals and answers, by kind; of refusals.
        self.offered = collections.defaultdict(list)
        self.served = collections.defaultdict(list)
        self.latencies = collections.defaultdict(list)
        self.offers = []
        self.refusals = []
        self.used_ms = collections.Counter()

    def run(self, ratios):
        """Run the load and everything that follows from it."""
        started_ms = 0.0
        for ratio, end_ms in ratios:
            factor = scale(self.kinds, ratio)
            self._add_arrivals(factor, started_ms, end_ms)
            started_ms = end_ms
        self._expect_tick(started_ms + 2000)
        while self.events:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def _at(self, delay_ms, action, *arguments):
        self.number += 1
        due_ms = self.now_ms + delay_ms
        entry = (due_ms, self.number, action, arguments)
        heapq.heappush(self.events, entry)

    def _add_arrivals(self, factor, start_ms, end_ms):
        for name, kind in self.kinds.items():
            time_ms = start_ms
            while True:
                rate_per_ms = kind.rate_per_s / 1000
                if kind.is_scaled:
                    rate_per_ms *= factor
                time_ms += self.rng.expovariate(rate_per_ms)
                if time_ms >= end_ms:
                    break
                work_ms = kind.work_ms * math.exp(
                    self.rng.gauss(-(_SIGMA**2) / 2, _SIGMA)
                )
                work_ms *= 7 if self.rng.random() < 0.03 else 1
                caller = f"{name}-{self.rng.randrange(kind.callers_count)}"
                request = Request(name, caller, work_ms, time_ms)
                self.offered[name].append(time_ms)
                self._at(time_ms, self._enter, request)

    def _enter(self, request, is_second=False, entry=None):
        """Handle a request at an entry proxy."""
        entry = self.rng.randrange(ENTRIES_COUNT) if entry is None else entry
        # Each rank but the first has a floor share, so that only its own
        # refusals keep it back.
        return_ms = self.return_ms[entry, self.kinds[request.name].rank]
        if self.now_ms < return_ms:
            self._refuse_caller(request, return_ms - self.now_ms)
            return
        self._at(self._delay_ms(entry), self._reach, request, entry, is_second)

    def _delay_ms(self, entry):
        return 0.5 if entry % 3 == 0 else 12.0

    def _reach(self, request, entry, is_second):
        self._use_cpu(_START_COST_MS, self._offer, request, entry, is_second)

    def _use_cpu(self, cost_ms, action, *arguments):
        begin_ms = max(self.now_ms, self.cpu_free_ms)
        self.cpu_free_ms = begin_ms + cost_ms
        self._at(self.cpu_free_ms - self.now_ms, action, *arguments)

    def _offer(self, request, entry, is_second):
        self.number += 1
        kind = self.kinds[request.name]
        deadline_ms = self.now_ms + kind.limit_ms
        ticket = Ticket(
            request=self.number,
            pool="",
            rank=kind.rank,
            caller=request.caller,
            arrival_ms=self.now_ms,
            deadline_ms=deadline_ms,
            work=request.name,
            target_ms=kind.target_ms,
        )
        self.owned[ticket.request] = (request, entry, is_second)
        self.offers.append(self.now_ms)
        self._perform(self.queue.offer(ticket, self.now_ms))

    def _expect_tick(self, end_ms):
        due_ms = self.now_ms + _TICK_MS
        self._at(_TICK_MS, self._use_cpu, 0.0, self._tick, due_ms, end_ms)

    def _tick(self, due_ms, end_ms):
        self.lost_ms += self.now_ms - due_ms
        self._perform(self.queue.expire(self.now_ms))
        if self.now_ms < end_ms:
            self._expect_tick(end_ms)

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, Start):
                self._begin(action.ticket)
            else:
                self._refuse(action)

    def _begin(self, ticket):
        request = self.owned[ticket.request][0]
        self.used_ms[self.now_ms // _USE_STEP_MS] += request.work_ms
        begun = (self.now_ms, self.now_ms - self.lost_ms)
        self._at(request.work_ms, self._end, ticket, *begun)

    def _end(self, *begun):
        self._use_cpu(_FINISH_COST_MS, self._finish, *begun)

    def _finish(self, ticket, started_ms, awake_ms):
        request, entry, _ = self.owned.pop(ticket.request)
        slot_ms = self.now_ms - started_ms
        work_ms = self.now_ms - self.lost_ms - awake_ms
        actions = self.queue.finish(ticket, self.now_ms, slot_ms, work_ms)
        self.served[request.name].append(request.arrived_ms)
        latency_ms = self.now_ms + self._delay_ms(entry) - request.arrived_ms
        self.latencies[request.name].append(latency_ms)
        self._perform(actions)

    def _refuse(self, refusal):
        request, entry, is_second = self.owned.pop(refusal.ticket.request)
        self.refusals.append(self.now_ms)
        after_ms = refusal.failure.retry_after_ms or 0
        self._use_cpu(
            _REFUSAL_COST_MS,
            self._at,
            self._delay_ms(entry),
            self._return_refusal,
            request,
            entry,
            is_second,
            after_ms,
        )

    def _return_refusal(self, request, entry, is_second, after_ms):
        if self.keeps_return_times:
            key = (entry, self.kinds[request.name].rank)
            return_ms = self.now_ms + after_ms
            self.return_ms[key] = max(self.return_ms[key], return_ms)
        elif not is_second:
            self._at(5.0, self._enter, request, True, entry)
            return
        self._refuse_caller(request, after_ms)

    def _refuse_caller(self, request, after_ms):
        if request.repeats_count >= _CALLER_REPEATS_COUNT:
            return
        request.repeats_count += 1
        delay_ms = after_ms + self.rng.uniform(5.0, 50.0)
        self._at(delay_ms, self._enter, request)

    def use(self, begin_ms, end_ms):
        """Return which part of the slots was in use."""
        used_ms = sum(
            used_ms
            for number, used_ms in self.used_ms.items()
            if begin_ms <= number * _USE_STEP_MS < end_ms
        )
        return used_ms / (SLOTS_COUNT * (end_ms - begin_ms))

    def share(self, name, begin_ms, end_ms):
        """Return which part of a kind's requests of a time was served."""
        offered_count = count(self.offered[name], begin_ms, end_ms)
        served_count = count(self.served[name], begin_ms, end_ms)
        return served_count / max(1, offered_count)

    def served_count(self, begin_ms, end_ms):
        """Return how many requests that arrived in a time were served."""
        served = self.served.values()
        return sum(count(times_ms, begin_ms, end_ms) for times_ms in served)

    def recovery_ms(self, end_ms):
        """Return after which time all requests are served; None if never."""
        for begin_ms in range(int(end_ms), int(self.now_ms), 500):
            step = (begin_ms, begin_ms + 500)
            offered = self.offered.values()
            offered_count = sum(count(times, *step) for times in offered)
            if self.served_count(*step) >= 0.97 * max(1, offered_count):
                return begin_ms - end_ms
        return None


def count(times_ms, begin_ms, end_ms):
    """Return how many times lie in an interval."""
    return sum(begin_ms <= time_ms < end_ms for time_ms in times_ms)


def run_burst(ratio, order="deadline", keeps_return_times=True, **arguments):
    """Run a burst of 10 s between two usual loads."""
    settings = AdmissionSettings(order=order, wait_fraction=0.5)
    world = World(settings, keeps_return_times, **arguments)
    begin_ms, end_ms = BURST_MS
    usual = USUAL_RATIO
    world.run([(usual, begin_ms), (ratio, end_ms), (usual, 2 * end_ms)])
    return world
