"""What the control leader decides on top of the control log.

Followers run the same core: it applies the entries and stays silent, so that
a new leader starts from the state that it already has.
"""

import collections

import pydantic
from result import Err

from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version._announcements import AnnouncementSettings
from waxwinglift.version._announcements import AnnouncementTable
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._apply import RefusalCode
from waxwinglift.version._entries import DaemonDraining
from waxwinglift.version._entries import DaemonJoined
from waxwinglift.version._entries import DaemonLeft
from waxwinglift.version._entries import EntryKind
from waxwinglift.version._failover import FailoverPlanner
from waxwinglift.version._failover import FailoverSettings
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._leases import LeaseSettings
from waxwinglift.version._leases import LeaseTable
from waxwinglift.version._ownership import plan_owners
from waxwinglift.version._types import DaemonState
from waxwinglift.version._types import LogIndex


class ControlCoreSettings(pydantic.BaseModel):
    """Settings of the control leader.

    Parameters
    ----------
    tick_interval_ms : int
        Time between two ControlTick events.
    apply_limit_ms : int
        A proxy that has not applied an entry this long after its commit gets
        no further lease: together with the lease an accepted edit is in force
        everywhere within 3 s.
    rebalance_delay_ms : int
        Quiet time after the proxies changed before owners are moved to
        their preferred place; restarts take about this long.
    undrain_ms : int
        Time without a draining renewal after which a proxy that restarted
        counts as active again.
    propose_retry_ms : int
        Time after which an entry that was not committed is proposed again.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    leases: LeaseSettings = LeaseSettings()
    announcements: AnnouncementSettings = AnnouncementSettings()
    failover: FailoverSettings = FailoverSettings()
    tick_interval_ms: int = 50
    apply_limit_ms: int = 1000
    rebalance_delay_ms: int = 3000
    undrain_ms: int = 1000
    propose_retry_ms: int = 500


EVENT_HANDLERS = {}


def on_event(*event_types):
    """Register the handler of ``event_types``.

    It takes ``(core, event, now_ms)`` and returns a list of actions.
    """

    def register(handler):
        for event_type in event_types:
            EVENT_HANDLERS[event_type] = handler
        return handler

    return register


class ControlCore:
    """Leases, owners, announcements and changes of primary.

    Parameters
    ----------
    settings : ControlCoreSettings
        Times and limits.
    rng : random.Random
        Spreads the first rebalance after an election.
    fleet : FleetState, optional
        State to start from, for instance from a snapshot.
    """

    def __init__(self, settings, rng, fleet=None):
        self.settings = settings
        self.rng = rng
        self.fleet = FleetState() if fleet is None else fleet
        self.leases = LeaseTable(settings.leases)
        self.announcements = AnnouncementTable(settings.announcements)
        self.planner = FailoverPlanner(settings.failover)
        self.is_leader = False
        self.has_quorum = False
        self.commit_times = collections.deque()
        self.assigned_index = {}
        self.start_index = self.fleet.index
        self._forget_leadership()

    def _forget_leadership(self):
        self.is_ready = False
        self.live = frozenset()
        self.released = set()
        self.leaving = set()
        self.drained_ms = {}
        self.proposed_ms = {}
        self.owners_proposed_ms = None
        self.is_owner_repair_due = True
        self.rebalance_due_ms = None
        self.commit_times.clear()

    def step(self, event, now_ms):
        """Return the actions that follow from ``event``.

        Parameters
        ----------
        event : object
            An event of ``_control_core_messages``, or the outcome of an
            action of the failover planner.
        now_ms : float
            Monotonic time.

        Returns
        -------
        list
            Propose, GrantLease, RefuseLease and the actions on servers.

        Raises
        ------
        ValueError
            A committed entry does not follow the applied index.
        """
        return EVENT_HANDLERS[type(event)](self, event, now_ms)

    def statuses(self):
        """Return a text for each group that waits or is being changed."""
        return self.planner.statuses()

    def may_act(self):
        """Return whether this member leads and had a quorum when last told."""
        return self.is_leader and self.has_quorum

    def note_quorum(self, has_quorum):
        """Record what the consensus node says about its quorum."""
        self.has_quorum = has_quorum
        if self.may_act():
            self.is_ready = True

    def propose_once(self, entry, now_ms):
        """Return the proposal of ``entry`` unless it is on its way."""
        proposed_ms = self.proposed_ms.get(entry)
        if proposed_ms is not None:
            if now_ms - proposed_ms < self.settings.propose_retry_ms:
                return []
        self.proposed_ms[entry] = now_ms
        return [failover.Propose(entry)]

    def observe_leases(self, now_ms):
        """Let the planner go on with the leases as they are now."""
        observed = failover.LeasesObserved(
            self.live, self.leases.passed_index(now_ms)
        )
        return self.planner.step(self.fleet, observed, now_ms)

    def update_live(self, now_ms):
        """Recompute the proxies with leases; note when they changed."""
        live = self.leases.live(now_ms) & self.fleet.daemons.keys()
        if live != self.live:
            self.live = frozenset(live)
            self.disturb_owners(now_ms)

    def disturb_owners(self, now_ms):
        """Repair the owners at once and rebalance them later."""
        self.is_owner_repair_due = True
        delay_ms = self.settings.rebalance_delay_ms
        self.rebalance_due_ms = now_ms + delay_ms


@on_event(messages.BecameLeader)
def _on_became_leader(core, event, now_ms):
    core._forget_leadership()
    core.is_leader = True
    core.has_quorum = False
    core.leases.start_leadership(core.fleet.daemons, now_ms)
    core.announcements.start_leadership(core.fleet, now_ms)
    core.planner.step(core.fleet, failover.LeadershipStarted(), now_ms)
    for group in core.fleet.groups.values():
        core.leases.require(group.raised_index)
    core.commit_times.append((now_ms, core.fleet.index))
    core.update_live(now_ms)
    return []


@on_event(messages.SteppedDown)
def _on_stepped_down(core, event, now_ms):
    core.is_leader = False
    core.has_quorum = False
    core._forget_leadership()
    return []


@on_event(messages.StateInstalled)
def _on_state_installed(core, event, now_ms):
    core.fleet = event.fleet
    core.start_index = event.fleet.index
    core.assigned_index.clear()
    return []


@on_event(messages.EntryCommitted)
def _on_entry_committed(core, event, now_ms):
    if event.index <= core.fleet.index:
        return []
    outcome = apply_entry(core.fleet, event.index, event.entry)
    if isinstance(outcome, Err):
        if outcome.err_value.code is RefusalCode.WRONG_INDEX:
            raise ValueError(outcome.err_value.message)
        return []
    follow_up = COMMIT_FOLLOW_UPS.get(event.entry.kind)
    if follow_up is not None:
        follow_up(core, event, now_ms)
    if not core.is_leader:
        return []
    core.commit_times.append((now_ms, event.index))
    core.proposed_ms.pop(event.entry, None)
    if not core.may_act():
        return []
    return core.observe_leases(now_ms) + _plan_owners(core, now_ms)


COMMIT_FOLLOW_UPS = {}


def on_commit(*kinds):
    """Register what follows the application of an entry of ``kinds``."""

    def register(follow_up):
        for kind in kinds:
            COMMIT_FOLLOW_UPS[kind] = follow_up
        return follow_up

    return register


@on_commit(EntryKind.TERM_RAISED)
def _after_term_raised(core, event, now_ms):
    core.leases.require(event.index)


@on_commit(EntryKind.ENDPOINT_JOINED, EntryKind.DAEMON_DRAINING)
def _after_fleet_change(core, event, now_ms):
    core.disturb_owners(now_ms)


@on_commit(EntryKind.DAEMON_JOINED)
def _after_daemon_joined(core, event, now_ms):
    if core.is_leader and not core.is_ready:
        # An entry of an earlier leader, who may have granted a lease.
        core.leases.assume(event.entry.daemon, now_ms)
    core.disturb_owners(now_ms)


@on_commit(EntryKind.DAEMON_LEFT)
def _after_daemon_left(core, event, now_ms):
    core.leases.drop(event.entry.daemon)
    core.leaving.discard(event.entry.daemon)
    core.drained_ms.pop(event.entry.daemon, None)
    core.disturb_owners(now_ms)


@on_commit(EntryKind.OWNERS_ASSIGNED)
def _after_owners_assigned(core, event, now_ms):
    for assignment in event.entry.assignments:
        core.assigned_index[assignment.endpoint] = event.index
        core.released.discard(assignment.endpoint)
    core.owners_proposed_ms = None
    core.is_owner_repair_due = True


@on_event(messages.RenewalReceived)
def _on_renewal(core, event, now_ms):
    core.note_quorum(event.has_quorum)
    renewal = event.renewal
    if not core.may_act():
        return [_refuse(core, renewal, "no control quorum")]
    known = core.fleet.daemons.get(renewal.daemon)
    if renewal.is_stopped:
        return _stop_daemon(core, renewal, known, now_ms)
    if known is None or not _is_same(known, renewal):
        return _join_daemon(core, renewal, now_ms)
    if renewal.daemon in core.leaving:
        return [_refuse(core, renewal, "lease has run out; leaving")]
    actions = _follow_draining(core, renewal, known, now_ms)
    actions.append(_renew(core, renewal, now_ms))
    _note_released(core, renewal)
    report = failover.HealthReported(renewal.daemon, renewal.down)
    actions.extend(core.planner.step(core.fleet, report, now_ms))
    return actions


def _is_same(known, renewal):
    return (known.address, known.location) == (
        renewal.address,
        renewal.location,
    )


def _refuse(core, renewal, reason):
    return messages.RefuseLease(
        renewal.daemon, renewal.sequence, reason, core.fleet.index
    )


def _stop_daemon(core, renewal, known, now_ms):
    """A stopped proxy has closed its connections: no lease to wait for."""
    core.leases.drop(renewal.daemon)
    actions = [_refuse(core, renewal, "stopped")]
    if known is not None:
        core.leaving.add(renewal.daemon)
        actions += core.propose_once(DaemonLeft(renewal.daemon), now_ms)
    core.update_live(now_ms)
    return actions + _plan_owners(core, now_ms)


def _join_daemon(core, renewal, now_ms):
    entry = DaemonJoined(renewal.daemon, renewal.address, renewal.location)
    actions = [_refuse(core, renewal, "joining the fleet")]
    return actions + core.propose_once(entry, now_ms)


def _follow_draining(core, renewal, known, now_ms):
    if renewal.is_draining:
        core.drained_ms[renewal.daemon] = now_ms
        if known.state is DaemonState.ACTIVE:
            return core.propose_once(DaemonDraining(renewal.daemon), now_ms)
        return []
    if known.state is not DaemonState.DRAINING:
        return []
    drained_ms = core.drained_ms.setdefault(renewal.daemon, now_ms)
    if now_ms - drained_ms < core.settings.undrain_ms:
        return []
    entry = DaemonJoined(renewal.daemon, renewal.address, renewal.location)
    return core.propose_once(entry, now_ms)


def _renew(core, renewal, now_ms):
    leases = core.leases
    if not leases.renew(renewal.daemon, renewal.applied_index, now_ms):
        reason = f"has not applied log index {leases.required_index}"
        return _refuse(core, renewal, reason)
    return messages.GrantLease(
        renewal.daemon,
        renewal.sequence,
        core.settings.leases.lease_ms,
        core.fleet.index,
    )


def _note_released(core, renewal):
    """Record released endpoints; an old report does not count."""
    for endpoint in renewal.released:
        assignment = core.fleet.owners.get(endpoint)
        assigned_index = core.assigned_index.get(endpoint, core.start_index)
        if assignment is None or assignment.previous != renewal.daemon:
            continue
        if renewal.applied_index >= assigned_index:
            core.released.add(endpoint)
            core.is_owner_repair_due = True


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
    core.note_quorum(event.has_quorum)
    if not core.may_act():
        return []
    _require_old_commits(core, now_ms)
    core.update_live(now_ms)
    actions = _remove_expired_daemons(core, now_ms)
    lost = core.announcements.expired(core.fleet, now_ms)
    actions += [failover.Propose(entry) for entry in lost]
    actions += core.observe_leases(now_ms)
    return actions + _plan_owners(core, now_ms)


def _require_old_commits(core, now_ms):
    limit_ms = now_ms - core.settings.apply_limit_ms
    while core.commit_times and core.commit_times[0][0] <= limit_ms:
        _, index = core.commit_times.popleft()
        core.leases.require(index)


def _remove_expired_daemons(core, now_ms):
    actions = []
    for daemon in core.leases.expired(now_ms):
        if daemon in core.fleet.daemons:
            core.leaving.add(daemon)
            actions += core.propose_once(DaemonLeft(daemon), now_ms)
        else:
            core.leases.drop(daemon)
    return actions


def _plan_owners(core, now_ms):
    """Propose the assignments that are due; one proposal at a time."""
    proposed_ms = core.owners_proposed_ms
    if proposed_ms is not None:
        if now_ms - proposed_ms < core.settings.propose_retry_ms:
            return []
    due_ms = core.rebalance_due_ms
    may_rebalance = due_ms is not None and now_ms >= due_ms
    if not core.is_owner_repair_due and not may_rebalance:
        return []
    core.is_owner_repair_due = False
    if may_rebalance:
        core.rebalance_due_ms = None
    entry = plan_owners(core.fleet, core.live, core.released, may_rebalance)
    if entry is None:
        core.owners_proposed_ms = None
        return []
    core.owners_proposed_ms = now_ms
    core.is_owner_repair_due = True
    return [failover.Propose(entry)]


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
