"""Runs a FailoverPlanner against simulated servers that answer at once."""

import dataclasses

from waxwinglift.version import _entries as entries
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._failover import FailoverPlanner
from waxwinglift.version._failover import FailoverSettings
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._types import ServerPosition
from waxwinglift.version.tests.fleets import daemon_joined
from waxwinglift.version.tests.fleets import extend
from waxwinglift.version.tests.fleets import group_entries
from waxwinglift.version.tests.fleets import make_fleet

OUTCOMES = {
    messages.FenceServer: messages.ServerFenced,
    messages.PromoteServer: messages.ServerPromoted,
    messages.RepointServer: messages.ServerRepointed,
}
REPLICA_ACTIONS = (messages.FenceServer, messages.ReadPosition)


@dataclasses.dataclass
class Server:
    """Simulated server with its reachability and its position.

    As in PostgreSQL, a promoted server is on the next timeline.  It cannot
    be fenced and does not report a replica's position.
    """

    position: ServerPosition = ServerPosition(1, 100)
    is_reachable: bool = True
    is_promoted: bool = False

    def promote(self):
        if not self.is_promoted:
            timeline = self.position.timeline + 1
            self.position = ServerPosition(timeline, self.position.lsn + 1)
            self.is_promoted = True


class Harness:
    """Fleet, planner and servers; log entries are committed at once."""

    def __init__(self, groups=("g",), data_centres="abc", first_term=1):
        logged = [
            e
            for g in groups
            for e in group_entries(g, data_centres, first_term)
        ]
        self.fleet = make_fleet(*map(daemon_joined, "abc"), *logged)
        owned = [
            entries.OwnerAssignment(e, "a", "b", 1)
            for e in self.fleet.endpoints
        ]
        extend(self.fleet, entries.OwnersAssigned(tuple(owned)))
        self.servers = {e: Server() for e in self.fleet.endpoints}
        self.live = frozenset("abc")
        self.min_applied_index = None
        self.now_ms = 0.0
        self.actions = []
        # Terms whose chosen server becomes unreachable before its promotion.
        self.failures_before_promotion = set()
        # Terms whose chosen server becomes unreachable after its promotion.
        self.failures_after_promotion = set()
        # Value of ``is_reached`` in ActionFailed for unreachable servers.
        self.is_reached = False
        self.change_leader()

    def change_leader(self):
        """Continue with a new leader that has only the fleet state."""
        self.planner = FailoverPlanner(FailoverSettings())
        self.handle(messages.LeadershipStarted())

    def fail_primary(self, steps_count=10):
        """Make the primary unreachable, report it and run the failover."""
        group = self.fleet.groups["g"]
        old_primary, old_term = group.primary, group.term
        self.servers[old_primary].is_reachable = False
        for _ in range(steps_count):
            self.report("a", old_primary, term=old_term)
            self.run(2)

    def report(self, daemon, *endpoints, term=1):
        """Send a report in which ``daemon`` finds only ``endpoints`` down."""
        down = tuple(DownEndpoint(e, term) for e in endpoints)
        self.handle(messages.HealthReported(daemon, down))

    def observe(self):
        """Send the current leases to the planner."""
        min_applied_index = self.min_applied_index
        self.handle(messages.LeasesObserved(self.live, min_applied_index))

    def run(self, steps_count=30, step_ms=50):
        """Advance the time in steps and observe the leases after each."""
        for _ in range(steps_count):
            self.now_ms += step_ms
            self.observe()

    def handle(self, event):
        """Step the planner with ``event`` and all outcomes that follow."""
        pending = [event]
        while pending:
            event = pending.pop(0)
            for action in self.planner.step(self.fleet, event, self.now_ms):
                self.actions.append(action)
                outcome = self.execute(action)
                if outcome is not None:
                    pending.append(outcome)

    def execute(self, action):
        """Execute ``action``; return its outcome, None if it has none."""
        if isinstance(action, messages.Propose):
            extend(self.fleet, action.entry)
            if isinstance(action.entry, entries.PrimaryChosen):
                self.fail_chosen(action.entry)
            return messages.LeasesObserved(self.live, self.min_applied_index)
        server = self.servers[action.endpoint]
        if not server.is_reachable:
            return messages.ActionFailed(action, "no answer", self.is_reached)
        name = (action.group, action.term, action.endpoint)
        if server.is_promoted and type(action) in REPLICA_ACTIONS:
            return messages.ActionFailed(action, "not a replica")
        if isinstance(action, messages.ReadPosition):
            return messages.PositionRead(*name, server.position)
        if isinstance(action, messages.RepointServer):
            server.position = self.servers[action.primary].position
        if isinstance(action, messages.PromoteServer):
            server.promote()
            name = (*name, server.position.timeline)
        return OUTCOMES[type(action)](*name)

    def fail_chosen(self, entry):
        """Make a chosen server unreachable in the terms set by the test."""
        server = self.servers[entry.primary]
        if entry.term in self.failures_after_promotion:
            server.promote()
        if (
            entry.term
            in self.failures_after_promotion | self.failures_before_promotion
        ):
            server.is_reachable = False

    def proposed(self, entry_type):
        """Return the proposed entries of one type."""
        return [
            a.entry
            for a in self.actions
            if isinstance(a, messages.Propose)
            and isinstance(a.entry, entry_type)
        ]

    def sent(self, action_type, term=None):
        """Return the servers that received actions of one type."""
        return {
            a.endpoint
            for a in self.actions
            if isinstance(a, action_type) and term in (None, a.term)
        }
