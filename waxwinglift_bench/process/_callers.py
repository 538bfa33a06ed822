"""Simulated caller sessions that switch between proxies."""

import collections

from waxwinglift.request._floors import advance_floor
from waxwinglift_bench.request._requests import SimulatedRequest

# Requests that a session sends before it becomes idle, with short pauses in
# between.  Reads soon after writes are the most difficult case for replicas,
# which may not have reached the floor yet.
REQUEST_COUNT = 10
PAUSE_MS = 50.0
# Fraction of the requests that go to a different proxy than the previous one.
ROAMING_FRACTION = 0.1
# Fraction of the arrivals that start a new session, which has no token yet.
NEW_SESSION_FRACTION = 0.2
# Number of caller names of each rank.
CALLER_COUNT = 20


class Session:
    """One session of a caller, with its floor and current entry proxy."""

    def __init__(self, group, load, caller, entry):
        self.group = group
        self.load = load
        self.caller = caller
        self.entry = entry
        self.floor = None


class Callers:
    """Starts sessions at random times and sends their requests."""

    def __init__(self, world):
        self._world = world
        self._simulation = world.simulation
        self._rng = world.load_rng
        self._idle_sessions = collections.defaultdict(list)
        self._rate_factors = collections.Counter()
        self._request_count = 0

    def start(self):
        """Schedule the first session arrival of each group and rank."""
        for group in self._world.fleet.groups:
            for load in self._world.deployment.ranks:
                self._schedule_arrival(group, load)

    def set_rate_factor(self, rank, factor):
        """Multiply the arrival rate of a rank from now on."""
        self._rate_factors[rank] = factor - 1

    def _schedule_arrival(self, group, load):
        rate = (
            self._world.deployment.request_rate_per_ms * load.request_fraction
        )
        rate *= (1 + self._rate_factors[load.row.rank]) / REQUEST_COUNT
        delay_ms = self._rng.expovariate(rate)
        self._simulation.call_after(delay_ms, self._arrive, group, load)

    def _arrive(self, group, load):
        self._schedule_arrival(group, load)
        idle = self._idle_sessions[(group, load.row.rank)]
        if idle and self._rng.random() >= NEW_SESSION_FRACTION:
            index = self._rng.randrange(len(idle))
            idle[index], idle[-1] = idle[-1], idle[index]
            session = idle.pop()
        else:
            number = self._rng.randrange(CALLER_COUNT)
            caller = f"{load.row.rank}{number}"
            session = Session(group, load, caller, self._world.random_entry())
        self._send(session, REQUEST_COUNT)

    def _send(self, session, remaining_count):
        if not session.entry.is_live or self._rng.random() < ROAMING_FRACTION:
            session.entry = self._world.random_entry()
        load = session.load
        is_write = self._rng.random() < load.write_fraction
        if session.floor is None and not is_write:
            # Without a token, the floor is the position of the primary, which
            # the entry proxy requests.
            session.floor = self._world.logs[session.group].position()
        self._request_count += 1
        sigma = self._world.deployment.service_sigma
        now_ms = self._simulation.now_ms
        request = SimulatedRequest(
            number=self._request_count,
            group=session.group,
            rank=load.row.rank,
            caller=session.caller,
            is_write=is_write,
            floor=session.floor,
            max_age_ms=None if is_write else load.max_age_ms,
            arrival_ms=now_ms,
            deadline_ms=now_ms + load.row.deadline_ms,
            service_factor=self._rng.lognormvariate(0.0, sigma),
            done=None,
        )
        self._world.statistics.record_arrival(request)
        request.done = lambda outcome: self._simulation.call_after(
            self._world.deployment.caller_delay_ms,
            *(self._receive, session, request, outcome, remaining_count),
        )
        self._simulation.call_after(
            self._world.deployment.caller_delay_ms,
            *(session.entry.submit, request),
        )

    def _receive(self, session, request, outcome, remaining_count):
        now_ms = self._simulation.now_ms
        self._world.statistics.record_outcome(request, outcome, now_ms)
        if outcome.failure is None:
            session.floor = advance_floor(session.floor, outcome.position)
        if remaining_count <= 1:
            key = (session.group, session.load.row.rank)
            self._idle_sessions[key].append(session)
            return
        pause_ms = self._rng.expovariate(1 / PAUSE_MS)
        self._simulation.call_after(
            pause_ms, self._send, session, remaining_count - 1
        )
