"""Compares rules for the choice of an endpoint, in virtual time.

Many entry proxies choose among the servers of a few groups.  The product's
code makes the choices, keeps the records and decides which ones are sent.
Run it with ``python -m waxwinglift_bench.process._balancing``.
"""

import collections
import dataclasses
import math
import random

from waxwinglift.request import FailureCode
from waxwinglift.version import Position
from waxwinglift_bench.process._balancing_proxies import AGE_LIMIT_MS
from waxwinglift_bench.process._balancing_proxies import DELAYS_MS
from waxwinglift_bench.process._balancing_proxies import Proxy
from waxwinglift_bench.process._balancing_proxies import RULES
from waxwinglift_bench.process._balancing_servers import make_fleet
from waxwinglift_bench.process._balancing_servers import make_servers
from waxwinglift_bench.process._balancing_servers import SLOTS_COUNT
from waxwinglift_bench.process._balancing_servers import WORK_MS
from waxwinglift_bench.process._simulation import Simulation

PROXIES_COUNT = 106
GROUPS_COUNT = 4
_WORK_SPREAD = 0.7
_LAG_MS = 150.0
_SAMPLE_MS = 20.0
_QUERY_MS = 290.0
# Expected wait above which an owner refuses a read.
_WAIT_LIMIT_MS = 500.0


@dataclasses.dataclass(frozen=True)
class Run:
    """Parameters of one run.

    Parameters
    ----------
    rule : str
    seed : int
    load : float
        Offered reads in parts of the slots of all servers.
    exchange_ms : float
        Interval of the exchange among owners.
    lag_from_ms, lag_until_ms : float
        Time in which the replicas of the first group apply no commits.
    until_ms : float
    """

    rule: str
    seed: int = 1
    load: float = 0.6
    exchange_ms: float = 250.0
    lag_from_ms: float = 2000.0
    lag_until_ms: float = 6000.0
    until_ms: float = 9000.0


@dataclasses.dataclass
class Figures:
    """Measured values of one run.

    Parameters
    ----------
    largest_queue : int
        Of the groups without a lag.
    idle_share : float
        Part of the slots that are idle while another server of the group has
        a queue.
    return_ms : float
        Time after the lag until the replicas of the first group have half of
        its work again; infinite if they have not.
    behind_count, full_count, lost_count, records_count : int
        Reads that replicas refused as behind, and that queues refused; reads
        that no endpoint served; records that were sent.
    mean_ms : float
        Mean time from a read's start to its answer.
    """

    largest_queue: int = 0
    idle_share: float = 0.0
    return_ms: float = math.inf
    behind_count: int = 0
    full_count: int = 0
    lost_count: int = 0
    records_count: int = 0
    mean_ms: float = 0.0


class _Balancing:
    """One run: arrivals, servers, records and samples."""

    def __init__(self, run):
        self.run = run
        self.rng = random.Random(run.seed)
        self.simulation = Simulation()
        self.figures = Figures()
        self.fleet = make_fleet(GROUPS_COUNT)
        self.servers = make_servers(self.fleet)
        self.groups = list(self.fleet.groups)
        self.proxies = [Proxy(self, n) for n in range(PROXIES_COUNT)]
        self.idle = [0, 0]
        self.latencies_ms = []
        self.first_group_starts = collections.deque()

    @property
    def now_ms(self):
        return self.simulation.now_ms

    def measure(self):
        """Run to the end and return the figures."""
        self.simulation.call_after(0.0, self._arrive)
        self.simulation.call_after(0.0, self._sample)
        self.simulation.call_after(0.0, self._exchange)
        self.simulation.call_after(0.0, self._query_positions)
        self.simulation.run(self.run.until_ms)
        self.figures.idle_share = self.idle[0] / max(1, self.idle[1])
        self.figures.mean_ms = sum(self.latencies_ms) / len(self.latencies_ms)
        return self.figures

    def servers_of(self, group):
        return [
            self.servers[record.endpoint]
            for record in self.fleet.endpoints_of(group)
        ]

    def is_primary(self, name):
        return self.fleet.groups[name[:2]].primary == name

    def loads_of(self, group, at=None):
        """Return the loads of a group, as the owner ``at`` knows them."""
        now_ms = self.now_ms
        found = (
            server.find_load(now_ms, self.is_primary(server.name))
            if at is None or server is at
            else at.book.find(server.name, now_ms)
            for server in self.servers_of(group)
        )
        return [load for load in found if load is not None]

    def _arrive(self):
        capacity = sum(s.speed for s in self.servers.values()) * SLOTS_COUNT
        rate_per_ms = self.run.load * capacity / WORK_MS
        delay_ms = self.rng.expovariate(rate_per_ms)
        self.simulation.call_after(delay_ms, self._arrive)
        group = self.rng.choice(self.groups)
        self.rng.choice(self.proxies).start(group, frozenset(), self.now_ms)

    def arrive_at_server(self, name, read):
        server = self.servers[name]
        self.apply(server)
        age_ms = self.now_ms - server.applied_ms
        if not self.is_primary(name) and age_ms > AGE_LIMIT_MS:
            self.figures.behind_count += 1
            read.finish(server, FailureCode.BEHIND)
            return
        load = server.find_load(self.now_ms, self.is_primary(name))
        if load.expected_wait_ms > _WAIT_LIMIT_MS:
            self.figures.full_count += 1
            read.finish(server, FailureCode.REJECTED)
            return
        server.waiting.append(read)
        self._start_next(server)
        if name[:2] != "g0":
            self.figures.largest_queue = max(
                self.figures.largest_queue, len(server.waiting)
            )

    def _start_next(self, server):
        while server.waiting and server.running_count < SLOTS_COUNT:
            read = server.waiting.popleft()
            server.running_count += 1
            read.wait_ms = self.now_ms - read.arrived_ms
            factor = self.rng.lognormvariate(
                -(_WORK_SPREAD**2) / 2, _WORK_SPREAD
            )
            work_ms = server.work_ms * factor
            if server.name[:2] == "g0":
                self._count_start(server.name)
            self.simulation.call_after(work_ms, self._finish, server, read)

    def _count_start(self, name):
        """Record when the replicas of the first group have work again."""
        starts = self.first_group_starts
        starts.append(not self.is_primary(name))
        if len(starts) > 40:
            starts.popleft()
        is_even = sum(starts) >= len(starts) / 2
        after_ms = self.now_ms - self.run.lag_until_ms
        if after_ms > 0 and is_even:
            self.figures.return_ms = min(self.figures.return_ms, after_ms)

    def _finish(self, server, read):
        server.running_count -= 1
        self._start_next(server)
        read.finish(server)

    def apply(self, server):
        run, now_ms = self.run, self.now_ms
        is_late = server.name[:2] == "g0" and (
            run.lag_from_ms <= now_ms < run.lag_until_ms
        )
        if not is_late:
            server.applied_ms = max(0.0, now_ms - _LAG_MS)

    def _exchange(self):
        """Let each owner report to the owners of its group."""
        for group in self.groups:
            for server in self.servers_of(group):
                self.apply(server)
            for server in self.servers_of(group):
                self._report(group, server)
        self.simulation.call_after(self.run.exchange_ms, self._exchange)

    def _query_positions(self):
        """Let the owners of replicas learn the position of the primary.

        They query it for reads that accept data of a limited age.
        """
        position = Position(1, int(self.now_ms))
        for server in self.servers.values():
            server.progress.record(self.now_ms, position)
        self.simulation.call_after(_QUERY_MS, self._query_positions)

    def _report(self, group, server):
        primary = self.fleet.groups[group].primary
        own = self.loads_of(group, server)
        is_calm = all(load.is_normal for load in own)
        for other in self.servers_of(group):
            if other is server:
                continue
            told = [
                load
                for load in own
                if load.endpoint == server.name
                or (server.name == primary and load.endpoint != other.name)
            ]
            required = () if is_calm else (server.name,)
            selected = server.reports[other.name].select(
                told, self.now_ms, required
            )
            self.figures.records_count += len(selected)
            delay_ms = DELAYS_MS[1]
            self.simulation.call_after(delay_ms, other.book.record, selected)

    def _sample(self):
        self.simulation.call_after(_SAMPLE_MS, self._sample)
        for group in self.groups:
            servers = [
                server
                for server in self.servers_of(group)
                if self._is_usable(server)
            ]
            idle_count = sum(SLOTS_COUNT - s.running_count for s in servers)
            has_queue = any(s.waiting for s in servers)
            self.idle[0] += idle_count if has_queue else 0
            self.idle[1] += SLOTS_COUNT * len(servers)

    def _is_usable(self, server):
        age_ms = self.now_ms - server.applied_ms
        return self.is_primary(server.name) or age_ms <= AGE_LIMIT_MS


def measure(run: Run) -> Figures:
    """Return the figures of one run."""
    return _Balancing(run).measure()


def main():
    """Print the figures of all rules, as rows of a table."""
    names = [field.name for field in dataclasses.fields(Figures)]
    print("| rule | load | exchange_ms |", " | ".join(names), "|")
    print("| --- " * (len(names) + 3) + "|")
    for load in (0.6, 0.85):
        for exchange_ms in (250.0, 1000.0, 2000.0):
            for rule in RULES:
                seeds = [
                    measure(Run(rule, seed, load, exchange_ms))
                    for seed in (1, 2, 3)
                ]
                _print_row(rule, load, exchange_ms, seeds)


def _print_row(rule, load, exchange_ms, seeds):
    rows = [dataclasses.astuple(figures) for figures in seeds]
    means = [sum(values) / len(values) for values in zip(*rows, strict=True)]
    texts = [f"{value:.3g}" for value in means]
    print(f"| {rule} | {load} | {exchange_ms:.0f} |", " | ".join(texts), "|")


if __name__ == "__main__":
    main()
