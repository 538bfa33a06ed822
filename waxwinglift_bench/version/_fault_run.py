"""One fault-injection run: a simulated fleet, its callers and the checks."""

import random

from waxwinglift.process._policy_settings import HealthSettings
from waxwinglift.version._control_core import ControlCore
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._types import GroupPhase
from waxwinglift_bench.version._verdict_log import VerdictLog
from waxwinglift_bench.version._members import Member
from waxwinglift_bench.version._proxies import Proxy
from waxwinglift_bench.version._servers import Server
from waxwinglift_bench.version._virtual import DataCentres
from waxwinglift_bench.version._virtual import Node
from waxwinglift_bench.version._virtual import World

REGIONS = {"a": "north", "b": "north", "c": "south"}
# One letter, the data centre, for each member, proxy, server and caller.
MEMBER_DATA_CENTRES = "aabbc"
PROXY_DATA_CENTRES = "aabbcc"
SERVER_DATA_CENTRES = "abc"
CALLER_DATA_CENTRES = "ab"
WRITE_INTERVAL_MS = 40.0
READ_INTERVAL_MS = 150.0
CALLERS_START_MS = 5000.0
SAMPLE_INTERVAL_MS = 10.0
REPAIR_INTERVAL_MS = 250.0


class Caller(Node):
    """Client program that writes and reads through randomly chosen proxies."""

    def __init__(self, world, name, data_centre, run):
        super().__init__(world, name, data_centre)
        self.run = run
        self.number = 0
        self.call_every(WRITE_INTERVAL_MS, self.write)
        self.call_every(READ_INTERVAL_MS, self.read)

    def write(self):
        """Send a new write, and resend it up to twice if it did not run."""
        self.number += 1
        self.submit((self.name, self.number), 3)

    def submit(self, write, remaining_count):
        proxies = [p for p in self.run.proxies if p.is_up]
        if self.run.is_finished or not proxies:
            return
        proxy = self.world.rng.choice(proxies)
        self.send(proxy.name, "write", write)
        # A proxy answers not_run if it cannot forward a write for 600 ms.
        self.call_later(
            700.0, self.retry_if_not_run, write, remaining_count - 1
        )

    def retry_if_not_run(self, write, remaining_count):
        is_not_run = self.run.verdict_log.not_run_writes.get(write, False)
        if is_not_run and remaining_count:
            # Until the next verdict the outcome of the write is unknown.
            self.run.verdict_log.not_run_writes[write] = False
            self.submit(write, remaining_count)

    def read(self):
        """Read at a random server and check that own writes are returned."""
        verdict_log = self.run.verdict_log
        expected = frozenset(verdict_log.acknowledged_by_caller[self.name])
        floor = verdict_log.floors.get(self.name)
        proxy = self.world.rng.choice(self.run.proxies)
        server = self.world.rng.choice(self.run.servers)

        def finish(data):
            verdict_log.check_read(expected, data)

        self.send(proxy.name, "session_read", server.name, floor, finish)


class FaultRun:
    """Simulated fleet in virtual time, into which faults are injected.

    Parameters
    ----------
    seed : int
    core_type : type
        ControlCore, or a subclass in which a rule is disabled.
    health_settings : HealthSettings, optional
    """

    def __init__(self, seed, core_type=ControlCore, health_settings=None):
        rng = random.Random(seed)
        self.world = World(DataCentres(REGIONS), rng)
        self.verdict_log = VerdictLog()
        self.is_finished = False
        self.gap_ms = 0.0
        self.gap_since_fault_ms = 0.0
        self.last_fault_ms = CALLERS_START_MS
        self.last_no_quorum_ms = CALLERS_START_MS
        member_names = [
            f"control-{n}" for n, _ in enumerate(MEMBER_DATA_CENTRES)
        ]
        self.members = [
            Member(self.world, name, data_centre, member_names, core_type)
            for name, data_centre in zip(
                member_names, MEMBER_DATA_CENTRES, strict=True
            )
        ]
        for member in self.members:
            member.on_commit = self.on_commit
        self.servers = [
            Server(
                self.world,
                f"g-{data_centre}",
                data_centre,
                member_names,
                data_centre == "a",
                3,
            )
            for data_centre in SERVER_DATA_CENTRES
        ]
        for server in self.servers[1:]:
            server.upstream = "g-a"
        health_settings = health_settings or HealthSettings()
        shared_arguments = (member_names, self.verdict_log, health_settings)
        self.proxies = [
            Proxy(self.world, f"proxy-{n}", data_centre, *shared_arguments)
            for n, data_centre in enumerate(PROXY_DATA_CENTRES)
        ]
        self.callers = []
        self.needs_rebuild_since_ms = {}
        self.world.call_at(CALLERS_START_MS, self.start_callers)
        self.world.call_at(CALLERS_START_MS + 500.0, self.update_gaps)
        self.world.call_at(0.0, self.repair_servers)

    @property
    def now_ms(self):
        return self.world.now_ms

    @property
    def fleet(self):
        """Fleet state with the highest index applied by a control daemon."""
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
        """Owner of the primary, or the first proxy when there is none."""
        owner = self.fleet.owners[self.group.primary].owner
        return self.world.nodes.get(owner, self.proxies[0])

    @property
    def leader(self):
        """Control leader, or the first member when there is none."""
        leaders = [m for m in self.members if m.is_usable and m.has_quorum]
        return leaders[0] if leaders else self.members[0]

    def replicas(self):
        return [s for s in self.servers if s is not self.primary]

    def on_commit(self, entry):
        if entry.kind is EntryKind.PRIMARY_ACTIVE:
            self.verdict_log.record_active(entry.term, self.now_ms)

    def inject(self, fault):
        """Inject a fault at the current virtual time."""
        self.last_fault_ms = self.now_ms
        fault.inject(self)

    def start_callers(self):
        self.callers = [
            Caller(self.world, f"caller-{data_centre}", data_centre, self)
            for data_centre in CALLER_DATA_CENTRES
        ]

    def call_after(self, delay_ms, action, *arguments):
        """Call ``action`` after a delay, even if nodes have crashed."""
        self.world.call_at(self.now_ms + delay_ms, action, *arguments)

    def update_gaps(self):
        """Update the longest time without an acknowledged write.

        Time without an available quorum does not count, so the measurement
        restarts after it.  ``gap_since_fault_ms`` counts only time after the
        latest fault, to separate its effect from that of an earlier one.
        """
        if self.is_finished:
            return
        if not self.is_write_possible():
            self.last_no_quorum_ms = self.now_ms
        gap_start_ms = max(
            self.last_no_quorum_ms, self.verdict_log.last_acknowledged_ms
        )
        self.gap_ms = max(self.gap_ms, self.now_ms - gap_start_ms)
        since_fault_ms = self.now_ms - max(gap_start_ms, self.last_fault_ms)
        self.gap_since_fault_ms = max(self.gap_since_fault_ms, since_fault_ms)
        self.call_after(SAMPLE_INTERVAL_MS, self.update_gaps)

    def is_write_possible(self):
        """Return whether the fleet can accept writes now or after a failover.

        Writes need a majority of the control members and either the primary
        with a replica or two replicas that can replace the primary.  A former
        primary does not count until `repair_servers` has rebuilt it.
        """
        usable = [m for m in self.members if m.is_usable]
        candidates = [
            m
            for m in usable
            if 2 * sum(self.is_connected(m, n) for n in usable)
            > len(self.members)
        ]
        proxies = [
            p
            for p in self.proxies
            if p.is_usable and any(self.is_connected(p, m) for m in candidates)
        ]
        usable_replicas = [
            s for s in self.servers if self.is_usable_replica(s)
        ]
        can_fail_over = any(
            sum(self.is_connected(m, s) for s in usable_replicas) >= 2
            for m in candidates
        )
        primary = self.primary
        can_write = (
            primary.is_usable
            and not primary.in_recovery
            and self.group.phase is not GroupPhase.FENCING
            and any(self.is_connected(primary, s) for s in usable_replicas)
            and any(self.is_connected(primary, p) for p in proxies)
        )
        return bool(proxies) and (can_write or can_fail_over)

    def is_usable_replica(self, server):
        """Return whether a server is a usable replica of the primary."""
        is_present = server.is_usable and not server.is_leaving
        return (
            is_present
            and server.in_recovery
            and self.is_log_prefix(server, self.primary)
        )

    def is_connected(self, first, second):
        return self.world.is_connected(first.name, second.name)

    def is_log_prefix(self, replica, primary):
        """Return whether the replica's log is a prefix of the primary's."""
        return replica.log == primary.log[: len(replica.log)]

    def repair_servers(self):
        """Rebuild former primaries and diverged replicas after a delay."""
        self.call_after(REPAIR_INTERVAL_MS, self.repair_servers)
        if self.group is None or self.group.phase is not GroupPhase.ACTIVE:
            return
        primary = self.primary
        for server in self.replicas():
            needs_rebuild = not server.in_recovery or (
                not self.is_log_prefix(server, primary)
            )
            can_rebuild = (
                server.is_usable
                and not server.is_leaving
                and primary.is_usable
                and not primary.in_recovery
                and self.is_connected(server, primary)
            )
            if not needs_rebuild or not can_rebuild:
                self.needs_rebuild_since_ms.pop(server.name, None)
                continue
            needs_rebuild_since_ms = self.needs_rebuild_since_ms.setdefault(
                server.name, self.now_ms
            )
            if self.now_ms - needs_rebuild_since_ms >= 2 * REPAIR_INTERVAL_MS:
                server.rebuild(primary)

    def finish(self):
        """End all faults and check the log of the final primary.

        The fleet recovers for 4 s before the callers stop.  Pending requests
        have 3 s to end.
        """
        self.world.blocked.clear()
        for node in list(self.world.nodes.values()):
            node.restart()
            node.thaw()
        self.world.run_until(self.now_ms + 4000.0)
        self.is_finished = True
        self.world.run_until(self.now_ms + 3000.0)
        self.verdict_log.check_log(self.primary.log)
