"""Runs a FailoverPlanner against simulated servers that fence themselves."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.version import _entries as entries
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._desired import plan_replacement
from waxwinglift.version._failover import FailoverPlanner
from waxwinglift.version._failover import FailoverSettings
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import ServerPosition
from waxwinglift.version.tests.fleets import daemon_joined
from waxwinglift.version.tests.fleets import extend
from waxwinglift.version.tests.fleets import make_fleet
from waxwinglift.version.tests.test_desired import pool
from waxwinglift.version.tests.test_desired import request

TICK_MS = 20


@dataclasses.dataclass
class Server:
    """Simulated server; it answers only while it is reachable."""

    position: ServerPosition = ServerPosition(1, 100)
    is_reachable: bool = True
    is_not_running: bool = False


class Harness:
    """Group of servers s0 to s2 with s0 as primary, and its planner.

    Log entries are committed at once.
    """

    def __init__(self, sync_count=0):
        self.fleet = make_fleet(*map(daemon_joined, "ab"))
        wanted = request(1, pool("p"))
        settings = dataclasses.replace(
            wanted.groups[0], sync_replicas_count=sync_count
        )
        wanted = dataclasses.replace(wanted, groups=(settings,))
        extend(self.fleet, plan_replacement(self.fleet, wanted))
        for number in range(3):
            extend(self.fleet, joined(number))
        extend(self.fleet, entries.GroupFormed("g", 1, "s0"))
        owned = [
            entries.OwnerAssignment(f"s{n}", "a", "b", 1) for n in range(3)
        ]
        extend(self.fleet, entries.OwnersAssigned(tuple(owned)))
        self.servers = {f"s{n}": Server() for n in range(3)}
        self.planner = FailoverPlanner(FailoverSettings())
        self.min_applied_index = None
        self.now_ms = 0.0
        self.promoted = []
        self.unfenced = []
        self.leader, self.timeline = "s0", 1
        self.down = {}
        self.live = frozenset("ab")

    @property
    def group(self):
        return self.fleet.groups["g"]

    def report(self, daemon, *endpoints):
        self.down[daemon] = endpoints

    def run(self, duration_ms):
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            for daemon, endpoints in self.down.items():
                down = tuple(
                    DownEndpoint(e, self.group.term) for e in endpoints
                )
                self._step(messages.HealthReported(daemon, down))
            self._step(
                messages.LeasesObserved(self.live, self.min_applied_index)
            )
            self.now_ms += TICK_MS

    def _step(self, event):
        pending = self.planner.step(self.fleet, event, self.now_ms)
        while pending:
            outcome = self._execute(pending.pop(0))
            pending += self.planner.step(self.fleet, outcome, self.now_ms)

    def _execute(self, action):
        if isinstance(action, messages.Propose):
            extend(self.fleet, action.entry)
            return messages.EntryApplied(self.fleet.index, "g")
        server = self.servers[action.endpoint]
        if not server.is_reachable:
            return messages.ActionFailed(
                action, "no answer", is_not_running=server.is_not_running
            )
        names = (action.group, action.term, action.endpoint)
        if isinstance(action, messages.FenceServer):
            return messages.ServerFenced(*names, server.position)
        if isinstance(action, messages.RepointServer):
            self.unfenced.append(action.endpoint)
            return messages.ServerRepointed(*names)
        if isinstance(action, messages.ReadPosition):
            is_primary = action.endpoint == self.leader
            return messages.PositionRead(*names, server.position, is_primary)
        self.promoted.append(action.endpoint)
        if action.endpoint != self.leader:
            self.leader = action.endpoint
            self.timeline += 1
        return messages.ServerPromoted(*names, self.timeline, server.position)


def joined(number, role=None):
    return entries.EndpointJoined(
        endpoint=f"s{number}",
        group="g",
        address=Address("10.0.0.1", 8000 + number),
        location=Location("ub-a", "ub"),
        role=role
        or (EndpointRole.REPLICA if number else EndpointRole.PRIMARY),
        term=0,
        slots_count=3,
        connection_limit_count=0,
        group_size_count=0,
        started_ms=1 + number,
    )
