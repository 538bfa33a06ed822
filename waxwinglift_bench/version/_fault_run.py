"""One run of the fault tables: a fleet, its callers, faults and checks."""

import random

from waxwinglift.process._policy_settings import HealthSettings
from waxwinglift.version._control_core import ControlCore
from waxwinglift.version._entries import EntryKind
from waxwinglift.version._types import GroupPhase
from waxwinglift_bench.version._ledger import Ledger
from waxwinglift_bench.version._members import Member
from waxwinglift_bench.version._proxies import Proxy
from waxwinglift_bench.version._servers import Server
from waxwinglift_bench.version._virtual import DataCentres
from waxwinglift_bench.version._virtual import Node
from waxwinglift_bench.version._virtual import World

REGIONS = {"a": "north", "b": "north", "c": "south"}
MEMBER_DATA_CENTRES = "aabbc"
PROXY_DATA_CENTRES = "aabbcc"
SERVER_DATA_CENTRES = "abc"
CALLER_DATA_CENTRES = "ab"
WRITE_INTERVAL_MS = 40.0
READ_INTERVAL_MS = 150.0
START_MS = 5000.0
SAMPLE_MS = 10.0
OPERATOR_MS = 250.0


class Caller(Node):
    """A client program that writes and reads through any proxy."""

    def __init__(self, world, name, data_centre, run):
        super().__init__(world, name, data_centre)
        self.run = run
        self.number = 0
        self.every(WRITE_INTERVAL_MS, self.write)
        self.every(READ_INTERVAL_MS, self.read)

    def write(self):
        """Start a new write; one that did not run is sent again."""
        self.number += 1
        self.submit((self.name, self.number), 3)

    def submit(self, write, attempts_count):
        proxies = [p for p in self.run.proxies if p.is_up]
        if self.run.is_over or not proxies:
            return
        proxy = self.world.rng.choice(proxies)
        self.send(proxy.name, "write", write)
        self.later(700.0, self.check, write, attempts_count - 1)

    def check(self, write, attempts_count):
        is_refused = self.run.ledger.refused.get(write, False)
        if is_refused and attempts_count:
            # Until the next verdict the outcome is open again.
            self.run.ledger.refused[write] = False
            self.submit(write, attempts_count)

    def read(self):
        """Read at any server; the answer must have all own writes."""
        ledger = self.run.ledger
        expected = frozenset(ledger.by_caller[self.name])
        floor = ledger.floors.get(self.name)
        proxy = self.world.rng.choice(self.run.proxies)
        server = self.world.rng.choice(self.run.servers)

        def finish(data):
            ledger.check_read(expected, data)

        self.send(proxy.name, "session_read", server.name, floor, finish)


class FaultRun:
    """A fleet in virtual time, to which faults are applied.

    Parameters
    ----------
    seed : int
    core_type : type
        ControlCore, or a subclass with a rule left out.
    health_settings : HealthSettings, optional
    """

    def __init__(self, seed, core_type=ControlCore, health_settings=None):
        rng = random.Random(seed)
        self.world = World(DataCentres(REGIONS), rng)
        self.ledger = Ledger()
        self.is_over = False
        self.gap_ms = 0.0
        self.single_gap_ms = 0.0
        self.fault_ms = START_MS
        self.covered_ms = START_MS
        names = [f"control-{n}" for n, _ in enumerate(MEMBER_DATA_CENTRES)]
        self.members = [
            Member(self.world, name, data_centre, names, core_type)
            for name, data_centre in zip(
                names, MEMBER_DATA_CENTRES, strict=True
            )
        ]
        for member in self.members:
            member.on_commit = self.on_commit
        self.servers = [
            Server(
                self.world,
                f"g-{data_centre}",
                data_centre,
                names,
                data_centre == "a",
                3,
            )
            for data_centre in SERVER_DATA_CENTRES
        ]
        for server in self.servers[1:]:
            server.upstream = "g-a"
        health_settings = health_settings or HealthSettings()
        shared = (names, self.ledger, health_settings)
        self.proxies = [
            Proxy(self.world, f"proxy-{n}", data_centre, *shared)
            for n, data_centre in enumerate(PROXY_DATA_CENTRES)
        ]
        self.callers = []
        self.seen_ms = {}
        self.world.at(START_MS, self.start_callers)
        self.world.at(START_MS + 500.0, self.sample)
        self.world.at(0.0, self.operate)

    @property
    def now_ms(self):
        return self.world.now_ms

    @property
    def fleet(self):
        """The newest state that any control daemon has applied."""
        fleets = [member.core.fleet for member in self.members]
        return max(fleets, key=lambda fleet: fleet.index)

    @property
    def group(self):
        return self.fleet.groups.get("g")

    @property
    def primary(self):
        return self.world.nodes[self.group.primary]

    @property
    def owner(self):
        """Owner of the primary; any proxy when it has none."""
        owner = self.fleet.owners[self.group.primary].owner
        return self.world.nodes.get(owner, self.proxies[0])

    @property
    def leader(self):
        """The control leader; any member when there is none."""
        leaders = [m for m in self.members if m.is_usable and m.has_quorum]
        return leaders[0] if leaders else self.members[0]

    def replicas(self):
        return [s for s in self.servers if s is not self.primary]

    def on_commit(self, entry):
        if entry.kind is EntryKind.PRIMARY_ACTIVE:
            self.ledger.record_active(entry.term, self.now_ms)

    def apply(self, fault):
        """Apply a fault now."""
        self.fault_ms = self.now_ms
        fault.apply(self)

    def start_callers(self):
        self.callers = [
            Caller(self.world, f"caller-{data_centre}", data_centre, self)
            for data_centre in CALLER_DATA_CENTRES
        ]

    def after(self, delay_ms, action, *arguments):
        """Call ``action`` after a delay, for the end of a fault."""
        self.world.at(self.now_ms + delay_ms, action, *arguments)

    def sample(self):
        """Measure the time since the last write that was acknowledged.

        Times at which no quorum is left start the measurement anew.  The
        single gap counts from the latest fault at the earliest: what that
        fault costs when it meets an earlier one.
        """
        if self.is_over:
            return
        if not self.has_quorum_left():
            self.covered_ms = self.now_ms
        base_ms = max(self.covered_ms, self.ledger.confirmed_ms)
        self.gap_ms = max(self.gap_ms, self.now_ms - base_ms)
        single_ms = self.now_ms - max(base_ms, self.fault_ms)
        self.single_gap_ms = max(self.single_gap_ms, single_ms)
        self.after(SAMPLE_MS, self.sample)

    def has_quorum_left(self):
        """Return whether writes could be possible.

        It takes a majority of control and either the primary with a replica
        or, to replace it, two replicas.  A primary whose term has ended does
        not count: it must not be used until its operator has rebuilt it.
        """
        usable = [m for m in self.members if m.is_usable]
        leaders = [
            m
            for m in usable
            if 2 * sum(self.is_open(m, n) for n in usable) > len(self.members)
        ]
        proxies = [
            p
            for p in self.proxies
            if p.is_usable and any(self.is_open(p, m) for m in leaders)
        ]
        standbys = [s for s in self.servers if self.is_standby(s)]
        can_change = any(
            sum(self.is_open(m, s) for s in standbys) >= 2 for m in leaders
        )
        primary = self.primary
        can_write = (
            primary.is_usable
            and not primary.in_recovery
            and self.group.phase is not GroupPhase.FENCING
            and any(self.is_open(primary, s) for s in standbys)
            and any(self.is_open(primary, p) for p in proxies)
        )
        return bool(proxies) and (can_write or can_change)

    def is_standby(self, server):
        """Return whether a server holds a part of the group's history."""
        is_present = server.is_usable and not server.is_leaving
        return (
            is_present
            and server.in_recovery
            and self.follows(server, self.primary)
        )

    def is_open(self, first, second):
        return self.world.is_open(first.name, second.name)

    def follows(self, replica, primary):
        """Return whether the replica's log is part of the primary's."""
        return replica.log == primary.log[: len(replica.log)]

    def operate(self):
        """Rebuild former primaries and replicas that have diverged."""
        self.after(OPERATOR_MS, self.operate)
        if self.group is None or self.group.phase is not GroupPhase.ACTIVE:
            return
        primary = self.primary
        for server in self.replicas():
            is_broken = not server.in_recovery or (
                not self.follows(server, primary)
            )
            is_possible = (
                server.is_usable
                and not server.is_leaving
                and primary.is_usable
                and not primary.in_recovery
                and self.is_open(server, primary)
            )
            if not is_broken or not is_possible:
                self.seen_ms.pop(server.name, None)
                continue
            seen_ms = self.seen_ms.setdefault(server.name, self.now_ms)
            if self.now_ms - seen_ms >= 2 * OPERATOR_MS:
                server.rebuild(primary)

    def finish(self):
        """End all faults, let the fleet settle and check every promise."""
        self.world.blocked.clear()
        for node in list(self.world.nodes.values()):
            node.restart()
            node.thaw()
        self.world.run_until(self.now_ms + 4000.0)
        self.is_over = True
        self.world.run_until(self.now_ms + 3000.0)
        self.ledger.check_log(self.primary.log)
