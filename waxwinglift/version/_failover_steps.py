"""Steps of a failover, one function for each phase of a group."""

from waxwinglift.process import Registry
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._entries import PrimaryActive
from waxwinglift.version._entries import PrimaryChosen
from waxwinglift.version._entries import TermRaised
from waxwinglift.version._failover_progress import fenced_needed_count
from waxwinglift.version._failover_progress import find_fenceable
from waxwinglift.version._failover_progress import waiting_text
from waxwinglift.version._failover_progress import had_active_primary
from waxwinglift.version._fleet import find_term
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import Fencing
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import Term

# A step takes a StepContext, adds actions to it and returns a status text or
# None.  The group's fencing and phase select the step.
PHASE_STEPS = Registry()


def on_phase(phase, fencing=Fencing.LEASE):
    """Return a decorator that registers the step of a phase."""
    return PHASE_STEPS.register((fencing, phase))


def advance_group(planner, fleet, group, members, now_ms):
    """Return the next actions of ``group`` and update its status text."""
    context = StepContext(planner, fleet, group, members, now_ms)
    status = PHASE_STEPS[group.fencing, group.phase](context)
    context.progress.status = status or ""
    return context.actions


class StepContext:
    """State of one group at one time and the actions that its step adds."""

    def __init__(self, planner, fleet, group, members, now_ms):
        self.planner = planner
        self.settings = planner.settings
        self.fleet = fleet
        self.group = group
        self.members = members
        self.now_ms = now_ms
        self.progress = planner.current_progress(group)
        self.actions = []

    def fenceable(self):
        """Return the servers whose fencing counts for ``needed_count``."""
        return find_fenceable(self.group, self.members)

    def needed_count(self):
        """Return how many of the fenceable servers must be fenced."""
        return fenced_needed_count(self.group.size_count)

    def send(self, action_type, endpoint, limit_ms, **fields):
        """Add an action unless it is in flight or waits for its retry."""
        if not self.progress.may_start(
            action_type, endpoint.endpoint, self.now_ms
        ):
            return
        due_ms = self.now_ms + limit_ms + self.settings.retry_interval_ms
        self.progress.record_start(action_type, endpoint.endpoint, due_ms)
        action = action_type(
            self.group.group,
            self.group.term,
            endpoint.endpoint,
            endpoint.address,
            limit_ms,
            **fields,
        )
        self.actions.append(action)

    def propose(self, entry):
        """Propose ``entry`` unless it was proposed recently."""
        if self.progress.may_propose(
            entry, self.now_ms, self.settings.propose_retry_ms
        ):
            self.actions.append(messages.Propose(entry))

    def read_position(self, endpoint):
        self.send(messages.ReadPosition, endpoint, self.settings.read_limit_ms)

    def repoint(self, endpoint, primary):
        self.send(
            messages.RepointServer,
            endpoint,
            self.settings.repoint_limit_ms,
            primary=primary.endpoint,
            primary_address=primary.address,
        )

    def replacement_reason(self):
        """Return why the primary must be replaced, None to keep it."""
        primary = self.fleet.endpoints.get(self.group.primary)
        if primary is None or self.planner.live_daemons is None:
            return None
        if primary.state is EndpointState.LEAVING:
            return "primary is leaving"
        return self.down_reason()

    def down_reason(self):
        """Return why the primary counts as down, or None.

        Where servers fence themselves, the owner's report does not count
        while the standby owner reports the primary up.
        """
        if self.planner.live_daemons is None:
            return None
        assignment = self.fleet.owners.get(self.group.primary)
        if assignment is None:
            return None
        if self.is_reported_down_by(assignment.owner):
            if self.group.is_server_fenced and self.standby_reports_up(
                assignment
            ):
                return None
            return "owner reports the primary down"
        is_owner_live = assignment.owner in self.planner.live_daemons
        if not is_owner_live and self.is_reported_down_by(assignment.standby):
            return (
                "owner has no lease and standby owner reports the primary down"
            )
        return None

    def rechoose_reason(self):
        """Return why another server must be chosen, None to wait.

        A slow promotion alone is no reason, because the next server may be
        as slow.  Neither is an owner's report while control reaches the
        server: the same server would be chosen and replaced repeatedly.
        """
        name = self.group.primary
        if not self.progress.is_unreachable_since(name, self.now_ms):
            return None
        since_ms = self.now_ms - self.settings.rechoose_after_ms
        if self.progress.is_unreachable_since(name, since_ms):
            return f"control cannot reach {name}"
        return self.down_reason()

    def is_reported_down_by(self, daemon):
        return self.planner.reports_down(
            daemon, self.group.primary, self.group.term, self.now_ms
        )

    def standby_reports_up(self, assignment):
        """Return whether the standby owner's probes find the primary up.

        The owner alone may be partitioned; requests then go to the standby
        owner.
        """
        return self.planner.reports_up(
            assignment.standby, self.group.primary, self.now_ms
        )

    def is_old_primary_unused(self):
        """Return whether no lease holder can still use the old primary.

        All holders of live leases have then applied the raise of the term.
        """
        if self.planner.observed_index < self.group.raised_index:
            return False
        min_applied_index = self.planner.min_applied_index
        return (
            min_applied_index is None
            or min_applied_index >= self.group.raised_index
        )


@on_phase(GroupPhase.FORMING)
def _step_forming(context):
    known_count = len(context.members)
    needed = context.group.size_count
    if known_count < needed:
        return f"forming: {known_count} of {needed} servers have announced"
    return "forming: waiting for exactly one server out of recovery"


@on_phase(GroupPhase.ACTIVE)
def _step_active(context):
    _repoint_outdated_replicas(context)
    reason = context.replacement_reason()
    if reason is None:
        context.progress.positions.clear()
        return None
    return _raise_term(context, reason)


def _raise_term(context, reason):
    """Propose the next term as soon as enough servers have answered recently.

    Until the term is raised, a primary that comes back can continue.  After
    that, the group has no primary until enough servers answer.
    """
    reachable = context.progress.recently_read_servers(
        context.now_ms - context.settings.report_ttl_ms
    )
    fenceable = context.fenceable()
    for endpoint in fenceable:
        if endpoint.endpoint not in reachable:
            context.read_position(endpoint)
    if len(reachable) < context.needed_count():
        description = "servers to answer before the term is raised"
        return f"{reason}; {_waiting_status(context, reachable, description)}"
    term = Term(context.group.term + 1)
    context.propose(TermRaised(context.group.group, term))
    return f"{reason}; raising the term to {term}"


def _waiting_status(context, done_names, description):
    return waiting_text(
        context.fenceable(),
        done_names,
        context.needed_count(),
        description,
        context.progress,
    )


@on_phase(GroupPhase.FENCING)
def _step_fencing(context):
    progress = context.progress
    fenceable = context.fenceable()
    for endpoint in fenceable:
        if endpoint.endpoint not in progress.fenced:
            limit_ms = context.settings.fence_limit_ms
            context.send(messages.FenceServer, endpoint, limit_ms)
    names = {endpoint.endpoint for endpoint in fenceable}
    fenced = progress.fenced & names
    if len(fenced) < context.needed_count():
        return _waiting_status(context, fenced, "servers to be fenced")
    if not context.is_old_primary_unused():
        index = context.group.raised_index
        return f"waiting for all lease holders to apply log index {index}"
    for endpoint in fenceable:
        name = endpoint.endpoint
        if name in fenced and name not in progress.positions:
            context.read_position(endpoint)
    read_servers = fenced & _find_servers_on_known_timeline(context)
    if len(read_servers) < context.needed_count():
        return _waiting_status(
            context, read_servers, "positions of fenced servers"
        )
    unread_replicas = _find_unread_replicas(context, read_servers)
    if unread_replicas:
        names = ", ".join(unread_replicas)
        return f"waiting for servers that may have a later term: {names}"
    _choose(context, read_servers)
    return "choosing the new primary"


def _find_servers_on_known_timeline(context):
    """Return the servers whose timeline is in the group's history."""
    return {
        name
        for name, (position, _) in context.progress.positions.items()
        if find_term(context.group, position.timeline) is not None
    }


def _find_unread_replicas(context, read_servers):
    """Return the unread replicas that may be on the last primary's timeline.

    Empty if the position of a server on that timeline was read.  Otherwise no
    write of that term was acknowledged, but the next promotion may give the
    timeline's number to a different history.  All servers that may be on the
    timeline must be read first, because later their logs could not be
    distinguished from the new history.  These include a chosen server that
    was abandoned.
    """
    group = context.group
    positions = context.progress.positions
    timelines = {positions[name][0].timeline for name in read_servers}
    if max(group.timelines) in timelines:
        return []
    return [
        endpoint.endpoint
        for endpoint in context.members
        if endpoint.role is EndpointRole.REPLICA
        and endpoint.endpoint not in read_servers
        and not (
            endpoint.endpoint == group.primary and had_active_primary(group)
        )
    ]


def _choose(context, read_servers):
    """Propose the server with the highest position as primary.

    Timelines are compared before offsets, because a longer log of an older
    term lacks writes of the newer term.  Among equals, a server that is not
    leaving is preferred.
    """
    positions = context.progress.positions
    joined = {
        e.endpoint for e in context.members if e.state is EndpointState.JOINED
    }
    best = max(
        sorted(read_servers),
        key=lambda name: (positions[name][0], name in joined),
    )
    position, _ = positions[best]
    group = context.group
    context.propose(
        PrimaryChosen(
            group.group,
            group.term,
            best,
            find_term(group, position.timeline),
            position.lsn,
        )
    )


@on_phase(GroupPhase.PROMOTING)
def _step_promoting(context):
    name = context.group.primary
    primary = context.fleet.endpoints[name]
    timeline = context.progress.timeline
    if timeline is None:
        return _promote_chosen(context, primary)
    # The other servers are repointed only once its timeline is in the control
    # log, because the positions of servers on a timeline that is not in the
    # log are not counted in the next failover.
    entry = PrimaryActive(context.group.group, context.group.term, timeline)
    context.propose(entry)
    return f"{name} is promoted; resuming writes"


def _promote_chosen(context, primary):
    """Promote the chosen server, or replace it if it is unreachable.

    It may have been promoted nevertheless.  Nothing was written in its term,
    because writes resume only with PrimaryActive.  A promoted server cannot
    be fenced, so, like an old primary, it is excluded from the next choice.
    """
    name = primary.endpoint
    limit_ms = context.settings.promote_limit_ms
    context.send(messages.PromoteServer, primary, limit_ms)
    suffix = context.progress.failure_suffix(messages.PromoteServer, name)
    status = f"waiting for {name} to be promoted{suffix}"
    reason = context.rechoose_reason()
    if reason is None:
        context.progress.positions.clear()
        return status
    return f"{status}; {_raise_term(context, reason)}"


def _repoint_outdated_replicas(context):
    """Repoint the replicas that still belong to an older term.

    These include lost servers that announce themselves again.  A server whose
    announcements have stopped is tried as well, because it may still
    replicate.  A server that left recovery in an older term is a
    former primary: it may have writes that the group does not have, so an
    operator must rebuild it.
    """
    group = context.group
    planner = context.planner
    primary = context.fleet.endpoints.get(group.primary)
    for endpoint in context.members:
        name = endpoint.endpoint
        if endpoint.state is EndpointState.LOST:
            planner.known_lost.add(name)
        elif name in planner.known_lost:
            planner.known_lost.discard(name)
            planner.repointed.pop(name, None)
        is_behind = (
            name != group.primary
            and endpoint.role is EndpointRole.REPLICA
            and find_term(group, endpoint.term) != group.term
        )
        if is_behind and planner.repointed.get(name) != group.term:
            context.repoint(endpoint, primary)
