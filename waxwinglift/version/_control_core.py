"""Decisions of the control leader, based on the control log.

Followers run the same core.  There it applies the entries but emits no
actions, so that a new leader starts from an up-to-date state.
"""

import collections
import math


from waxwinglift.version import _control_core_commits
from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import _control_core_renewals
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version._announcements import AnnouncementTable
from waxwinglift.version._control_core_registry import EVENT_HANDLERS
from waxwinglift.version._control_core_registry import on_event
from waxwinglift.version._entries import DaemonLeft
from waxwinglift.version._failover import FailoverPlanner
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._leases import LeaseTable
from waxwinglift.version._ownership import plan_owners

# Modules whose import fills the registries.
HANDLER_MODULES = (_control_core_commits, _control_core_renewals)


class ControlCore:
    """Decides on leases, owners, announcements and changes of primary.

    Parameters
    ----------
    settings : ControlCoreSettings
    rng : random.Random
        Randomizes the times of rebalances.
    fleet : FleetState, optional
        Initial state, for instance from a snapshot.
    """

    def __init__(self, settings, rng, fleet=None):
        self.settings = settings
        self.rng = rng
        self.fleet = FleetState() if fleet is None else fleet
        self.leases = LeaseTable(settings.leases)
        self.announcements = AnnouncementTable(settings.announcements)
        self.planner = FailoverPlanner(settings.failover)
        # Outcome of applying the last committed entry; answers the member's
        # proposal of that entry.
        self.last_outcome = None
        self.is_leader = False
        self.has_quorum = False
        # Commit times and indexes of entries whose limit has not passed yet.
        self.commit_times = collections.deque()
        self.raised_times = collections.deque()
        self.assigned_index = {}
        # Index of the state at construction or of the last installed snapshot.
        # Assignments that are part of it count as made at this index.
        self.initial_state_index = self.fleet.index
        self.gave_up_ms = -math.inf
        self.reset_leadership()

    def reset_leadership(self):
        """Reset the state that is only valid during one leadership."""
        self.live_daemons = frozenset()
        # Endpoints whose previous owner has closed its connections.
        self.released = set()
        self.unreachable_by_owner = frozenset()
        self.moved_ms = {}
        self.assigned_ms = {}
        self.elected_ms = -math.inf
        self.expire_due_ms = -math.inf
        # Proxies whose removal was proposed.
        self.leaving = set()
        # By proxy: time of its last draining renewal.
        self.drained_ms = {}
        self.sequences = {}
        self.incarnations = {}
        # Proxies that have joined but not renewed since, with the join time.
        self.awaited_ms = {}
        self.proposed_ms = {}
        self.owners_proposed_ms = None
        self.is_owner_repair_due = True
        self.rebalance_due_ms = None
        self.commit_times.clear()
        self.raised_times.clear()

    def step(self, event, now_ms):
        """Return the actions that follow from ``event``.

        Parameters
        ----------
        event : object
            An event of ``_control_core_messages``, or the outcome of one of
            the failover planner's actions.
        now_ms : float
            Monotonic time.

        Returns
        -------
        list
            Propose, GrantLease, RefuseLease, GiveUpLeadership and actions on
            servers.

        Raises
        ------
        ValueError
            A committed entry does not follow the applied index.
        """
        return EVENT_HANDLERS[type(event)](self, event, now_ms)

    def statuses(self):
        """Return a status text for each group with a pending change."""
        return self.planner.statuses()

    def may_act(self):
        """Return whether this member may propose entries and grant leases.

        It must be the leader and have had a quorum when last checked.
        """
        return self.is_leader and self.has_quorum

    def record_quorum(self, has_quorum):
        """Record whether the consensus node has a quorum."""
        self.has_quorum = has_quorum

    def propose_once(self, entry, now_ms):
        """Return the proposal of ``entry`` unless one is in flight."""
        proposed_ms = self.proposed_ms.get(entry)
        if proposed_ms is not None:
            if now_ms - proposed_ms < self.settings.propose_retry_ms:
                return []
        self.proposed_ms[entry] = now_ms
        return [failover.Propose(entry)]

    def observe_leases(self, now_ms):
        """Pass the current leases to the planner and return its actions."""
        observed = failover.LeasesObserved(
            self.live_daemons, self.leases.min_applied_index(now_ms)
        )
        return self.planner.step(self.fleet, observed, now_ms)

    def observe_min_applied_index(self, now_ms):
        """Pass the lowest applied index to the planner; return its actions."""
        observed = failover.MinAppliedIndexObserved(
            self.leases.min_applied_index(now_ms)
        )
        return self.planner.step(self.fleet, observed, now_ms)

    def observe_entry(self, event, group, now_ms):
        """Pass an applied entry to the planner and return its actions."""
        applied = failover.EntryApplied(event.index, group)
        return self.planner.step(self.fleet, applied, now_ms)

    def group_of(self, entry):
        """Return the group that an entry changes, None if not exactly one.

        Call it before and after the entry is applied, because the entry may
        add or remove the endpoint.
        """
        group = getattr(entry, "group", None)
        endpoint = getattr(entry, "endpoint", None)
        if group is None and endpoint is not None:
            known = self.fleet.endpoints.get(endpoint)
            group = None if known is None else known.group
        return group if group in self.fleet.groups else None

    def update_live_daemons(self, now_ms):
        """Recompute the set of proxies with leases; replan on changes."""
        live = self.leases.live_daemons(now_ms) & self.fleet.daemons.keys()
        if live != self.live_daemons:
            self.live_daemons = frozenset(live)
            self.schedule_owner_planning(now_ms)

    def schedule_owner_planning(self, now_ms):
        """Schedule a repair of the owners now and a rebalance later."""
        self.is_owner_repair_due = True
        delay_ms = self.settings.rebalance_delay_ms
        # Up to a fifth of jitter, so that proxies restarted at a fixed
        # interval do not coincide with each rebalance.
        delay_ms *= 1 + self.rng.random() / 5
        self.rebalance_due_ms = now_ms + delay_ms

    def plan_owners(self, now_ms):
        """Propose the assignments that are due, one entry at a time."""
        if self.owners_proposed_ms is not None:
            age_ms = now_ms - self.owners_proposed_ms
            if age_ms < self.settings.propose_retry_ms:
                return []
        due_ms = self.rebalance_due_ms
        may_rebalance = due_ms is not None and now_ms >= due_ms
        if not self.is_owner_repair_due and not may_rebalance:
            return []
        entry = plan_owners(
            self.fleet,
            self.live_daemons,
            self.released,
            may_rebalance,
            self.unreachable_by_owner,
        )
        self.unreachable_by_owner = frozenset()
        if may_rebalance:
            pause_ms = self.settings.propose_retry_ms
            self.rebalance_due_ms = now_ms + pause_ms if entry else None
        # Plan again from the applied state once this proposal is committed.
        self.is_owner_repair_due = entry is not None
        self.owners_proposed_ms = None if entry is None else now_ms
        return [] if entry is None else [failover.Propose(entry)]


@on_event(messages.BecameLeader)
def _on_became_leader(core, event, now_ms):
    core.reset_leadership()
    core.is_leader = True
    core.elected_ms = now_ms
    core.has_quorum = False
    core.leases.start_leadership(core.fleet.daemons, now_ms)
    core.announcements.start_leadership(core.fleet, now_ms)
    core.planner.step(core.fleet, failover.LeadershipStarted(), now_ms)
    for group in core.fleet.groups.values():
        core.leases.require(group.raised_index)
    core.commit_times.append((now_ms, core.fleet.index))
    core.update_live_daemons(now_ms)
    return []


@on_event(messages.SteppedDown)
def _on_stepped_down(core, event, now_ms):
    core.is_leader = False
    core.has_quorum = False
    core.reset_leadership()
    return []


@on_event(messages.AnnouncementReceived)
def _on_announcement(core, event, now_ms):
    if not core.may_act():
        return []
    entries = core.announcements.announce(
        event.announcement, core.fleet, now_ms
    )
    return [failover.Propose(entry) for entry in entries]


@on_event(messages.ControlTick)
def _on_tick(core, event, now_ms):
    core.record_quorum(event.has_quorum)
    if not core.may_act():
        return []
    _require_due_commits(core, now_ms)
    core.update_live_daemons(now_ms)
    if _should_give_up(core, now_ms):
        core.gave_up_ms = now_ms
        return [messages.GiveUpLeadership()]
    actions = _remove_expired_daemons(core, now_ms)
    if now_ms >= core.expire_due_ms:
        core.expire_due_ms = now_ms + core.settings.expire_interval_ms
        lost = core.announcements.expire(core.fleet, now_ms)
        actions += [failover.Propose(entry) for entry in lost]
    actions += core.observe_leases(now_ms)
    _mark_unreachable_by_owner(core, now_ms)
    return actions + core.plan_owners(now_ms)


def _should_give_up(core, now_ms):
    if now_ms - core.gave_up_ms < core.settings.give_up_pause_ms:
        return False
    return core.planner.is_cut_off(core.fleet, now_ms)


def _mark_unreachable_by_owner(core, now_ms):
    """Mark for a move the endpoints that only their owner cannot reach.

    The rate is limited; otherwise an endpoint with intermittent failures
    would move at each report.
    """
    settings = core.settings
    for endpoint in core.planner.unreachable_by_owner(core.fleet, now_ms):
        moved_ms = core.moved_ms.get(endpoint, -math.inf)
        assigned_ms = core.assigned_ms.get(endpoint, core.elected_ms)
        is_settled = now_ms - assigned_ms >= settings.handover_settle_ms
        if is_settled and now_ms - moved_ms >= settings.handover_pause_ms:
            core.moved_ms[endpoint] = now_ms
            core.unreachable_by_owner |= {endpoint}
            core.is_owner_repair_due = True


def _require_due_commits(core, now_ms):
    settings = core.settings
    _require_until(core, core.commit_times, now_ms - settings.apply_limit_ms)
    _require_until(core, core.raised_times, now_ms - settings.raise_limit_ms)


def _require_until(core, times, latest_ms):
    """Require the indexes recorded up to ``latest_ms`` for leases."""
    while times and times[0][0] <= latest_ms:
        _, index = times.popleft()
        core.leases.require(index)


def _remove_expired_daemons(core, now_ms):
    actions = []
    oldest_ms = now_ms - core.settings.leases.leader_wait_ms
    for daemon, joined_ms in core.awaited_ms.items():
        if joined_ms <= oldest_ms and not core.leases.is_live(daemon, now_ms):
            actions += core.propose_once(DaemonLeft(daemon), now_ms)
    for daemon in core.leases.expired_daemons(now_ms):
        if daemon in core.fleet.daemons:
            core.leaving.add(daemon)
            actions += core.propose_once(DaemonLeft(daemon), now_ms)
        else:
            core.leases.drop(daemon)
    return actions


OUTCOMES = (
    failover.ServerFenced,
    failover.PositionRead,
    failover.ServerPromoted,
    failover.ServerRepointed,
    failover.ActionFailed,
)


@on_event(*OUTCOMES)
def _on_outcome(core, event, now_ms):
    if not core.may_act():
        return []
    return core.planner.step(core.fleet, event, now_ms)
