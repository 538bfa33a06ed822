"""Steps of a failover in groups whose servers fence themselves.

A server refuses writes as soon as it loses its role, so no step waits for
leases.  These steps choose the server that has received the most and, when
the old primary leaves in an orderly way, make sure that no write is lost.
"""

import math

from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._entries import PrimaryActive
from waxwinglift.version._entries import PrimaryChosen
from waxwinglift.version._entries import TermRaised
from waxwinglift.version._failover_steps import on_phase
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import Fencing
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import Lsn
from waxwinglift.version._types import Term
from waxwinglift.version._types import Timeline

# Least time between two reads of one server's position.
_READ_INTERVAL_MS = 50


@on_phase(GroupPhase.FORMING, Fencing.SERVER)
def _step_forming(context):
    count = len(context.members)
    return (
        f"forming: waiting for exactly one of {count} known servers to be "
        "the primary"
    )


@on_phase(GroupPhase.ACTIVE, Fencing.SERVER)
def _step_active(context):
    progress = context.progress
    reason = context.replacement_reason()
    if reason is None:
        progress.positions.clear()
        progress.started_ms = None
        _unfence_replicas(context)
        return None
    waited_ms = progress.age_ms(context.now_ms)
    if context.group.primary in context.planner.leaving_at_start:
        # An earlier leader may have waited up to the limits already.
        waited_ms = math.inf
    if not _successors(context):
        return f"{reason}; no other server can take over"
    if _may_be_in_use(context, waited_ms):
        return (
            f"{reason}; most proxies do not report to control and may still "
            "use the primary"
        )
    if _is_orderly_leave(context):
        _read_all_positions(context)
        has_leave_limit_passed = waited_ms >= context.settings.leave_limit_ms
        if not has_leave_limit_passed and not _is_close_behind(context):
            return f"{reason}; waiting for a replica close behind it"
    elif _sync_count(context) and not _can_replicas_be_fenced(context):
        return (
            f"{reason}; waiting for replicas that may alone have an "
            "acknowledged commit"
        )
    term = Term(context.group.term + 1)
    context.propose(TermRaised(context.group.group, term))
    return f"{reason}; raising the term to {term}"


@on_phase(GroupPhase.FENCING, Fencing.SERVER)
def _step_fencing(context):
    waited_ms = context.progress.age_ms(context.now_ms)
    if _is_orderly_leave(context) and not _has_caught_up(context, waited_ms):
        return "waiting for a replica to receive all writes"
    successors = _successors(context)
    for endpoint in successors:
        if endpoint.endpoint not in context.progress.fenced:
            context.send(
                messages.FenceServer,
                endpoint,
                context.settings.fence_limit_ms,
                timeline=Timeline(context.group.term),
            )
    names = {endpoint.endpoint for endpoint in successors}
    fenced = (
        context.progress.fenced & names & context.progress.positions.keys()
    )
    if fenced and _has_enough_fenced(context, fenced, names, waited_ms):
        _choose(context, fenced)
        return "choosing the new primary"
    if waited_ms >= context.settings.cut_off_after_ms:
        return _choose_old_primary(context)
    return f"waiting for servers to be fenced: {_list_missing(names, fenced)}"


@on_phase(GroupPhase.PROMOTING, Fencing.SERVER)
def _step_promoting(context):
    group = context.group
    progress = context.progress
    if progress.timeline is not None:
        context.propose(
            PrimaryActive(
                group.group,
                group.term,
                progress.timeline,
                progress.last_write,
            )
        )
        return f"{group.primary} is promoted; resuming writes"
    primary = context.fleet.endpoints[group.primary]
    context.send(
        messages.PromoteServer, primary, context.settings.promote_limit_ms
    )
    suffix = progress.failure_suffix(messages.PromoteServer, group.primary)
    status = f"waiting for {group.primary} to be promoted{suffix}"
    if not _must_rechoose(context):
        return status
    term = Term(group.term + 1)
    context.propose(TermRaised(group.group, term))
    return f"{status}; raising the term to {term}"


def _unfence_replicas(context):
    """Let replicas receive again that were fenced while the primary stayed.

    A promotion unfences them; without one they would fall behind for ever.  A
    lost one may still execute a fence late, and is unfenced when it is back.
    """
    group = context.group
    if not group.was_primary_kept:
        return
    primary = context.fleet.endpoints.get(group.primary)
    repointed = context.planner.repointed
    for endpoint in context.members:
        name = endpoint.endpoint
        if endpoint.state is EndpointState.LOST:
            repointed.pop(name, None)
        elif name != group.primary and repointed.get(name) != group.term:
            context.repoint(endpoint, primary)


def _sync_count(context):
    """Return on how many replicas each acknowledged commit is, 0 if none."""
    settings = context.group.settings
    return 0 if settings is None else settings.sync_replicas_count


def _successors(context):
    """Return the members that may become the primary, ordered by id.

    With synchronous replicas, these include lost members.  A member whose
    check-ins have stopped may have acknowledged commits that no other member
    has, and may go on doing so if only control cannot reach it.  For the same
    reason a chosen server that was abandoned before its promotion counts.
    """
    group = context.group
    needs_all = _sync_count(context) > 0
    return [
        endpoint
        for endpoint in context.members
        if (
            endpoint.endpoint != group.primary
            or (needs_all and group.is_primary_abandoned)
        )
        and (needs_all or endpoint.state is not EndpointState.LOST)
    ]


def _can_replicas_be_fenced(context):
    """Return whether enough replicas have answered to raise the term.

    Until the term is raised, a primary that comes back can continue.
    """
    successors = _successors(context)
    for endpoint in successors:
        _read_position(context, endpoint)
    since_ms = context.now_ms - context.settings.report_ttl_ms
    answered = context.progress.recently_read_servers(since_ms)
    names = {endpoint.endpoint for endpoint in successors}
    return len(names - answered) < _sync_count(context)


def _is_orderly_leave(context):
    """Return whether the old primary is leaving and still works."""
    primary = context.fleet.endpoints.get(context.group.primary)
    if primary is None or primary.state is not EndpointState.LEAVING:
        return False
    return context.down_reason() is None


def _may_be_in_use(context, waited_ms):
    """Return whether most proxies may still use the primary.

    Control receives no reports from these proxies.  They would not be
    notified of a new primary, or could not reach it.  False in any case after
    ``most_lost_limit_ms`` or ``most_lost_leave_limit_ms``.
    """
    primary = context.fleet.endpoints[context.group.primary]
    limit_ms = context.settings.most_lost_limit_ms
    if primary.state is EndpointState.LEAVING:
        limit_ms = context.settings.most_lost_leave_limit_ms
    is_waiting = waited_ms < limit_ms
    return is_waiting and context.planner.daemon_reports.are_most_unresponsive(
        context.now_ms
    )


def _read_all_positions(context):
    _read_position(context, context.fleet.endpoints[context.group.primary])
    for endpoint in _successors(context):
        _read_position(context, endpoint)


def _read_position(context, endpoint):
    """Read a position unless it is recent; each takes an endpoint slot."""
    known = context.progress.positions.get(endpoint.endpoint)
    if known is None or context.now_ms - known[1] >= _READ_INTERVAL_MS:
        context.read_position(endpoint)


def _replica_lag(context):
    """Return the lag of the best successor in LSN units, None if unknown.

    It is unknown while a position is missing or the timelines differ.
    """
    positions = context.progress.positions
    old = positions.get(context.group.primary)
    others = [
        positions[endpoint.endpoint][0]
        for endpoint in _successors(context)
        if endpoint.endpoint in positions
    ]
    if old is None or not others:
        return None
    best = max(others)
    if best.timeline != old[0].timeline:
        return None
    return old[0].lsn - best.lsn


def _is_close_behind(context):
    lag = _replica_lag(context)
    limit = context.settings.catch_up_lsn_count
    return lag is not None and lag <= limit


def _has_caught_up(context, waited_ms):
    """Return whether a successor has received all writes.

    The old primary's position counts only after all proxies have stopped
    sending it writes, or ``settle_ms`` has passed.  True in any case after
    ``catch_up_limit_ms``.
    """
    progress = context.progress
    if waited_ms >= context.settings.catch_up_limit_ms:
        return True
    if not progress.have_writes_stopped:
        have_writes_stopped = context.is_old_primary_unused()
        progress.have_writes_stopped = (
            have_writes_stopped or waited_ms >= context.settings.settle_ms
        )
        progress.positions.clear()
        return False
    _read_all_positions(context)
    lag = _replica_lag(context)
    return lag is not None and lag <= 0


def _has_enough_fenced(context, fenced, names, waited_ms):
    """Return whether the new primary may be chosen from the fenced servers.

    This is so when all successors are fenced, or after ``settle_ms`` when
    fewer than ``sync_replicas_count`` are missing.  A commit is on the
    primary and on that number of replicas, so the fenced servers then include
    every acknowledged commit.  Without synchronous replicas, any number may
    be missing.  A successor that has received all writes of a leaving primary
    includes them as well.
    """
    if fenced == names:
        return True
    sync_count = _sync_count(context)
    is_missing = sync_count > 0 and len(names - fenced) >= sync_count
    if is_missing and not _has_all_writes(context):
        return False
    return waited_ms >= context.settings.settle_ms


def _has_all_writes(context):
    """Return whether a successor has received all of a leaving primary."""
    lag = _replica_lag(context)
    is_stopped = context.progress.have_writes_stopped
    return is_stopped and lag is not None and lag <= 0


def _choose(context, fenced):
    """Propose the server that has received the most as the new primary.

    A higher timeline takes precedence over a longer log.  Among equals, a
    server that is not leaving is preferred.
    """
    positions = context.progress.positions
    leaving = {
        endpoint.endpoint
        for endpoint in context.members
        if endpoint.state is EndpointState.LEAVING
    }
    best = max(
        sorted(fenced),
        key=lambda name: (positions[name][0], name not in leaving),
    )
    _propose_choice(context, best, positions[best][0])


def _choose_old_primary(context):
    """Choose the old primary again if too few other servers answer."""
    name = context.group.primary
    primary = context.fleet.endpoints.get(name)
    if primary is None:
        return "no server answers"
    _read_position(context, primary)
    if name in context.progress.claimed_primaries:
        _propose_choice(context, name, context.progress.positions[name][0])
    return f"too few successors answer; reading the position of {name}"


def _propose_choice(context, name, position):
    group = context.group
    context.propose(
        PrimaryChosen(
            group.group,
            group.term,
            name,
            Term(position.timeline),
            Lsn(position.lsn),
        )
    )


def _must_rechoose(context):
    """Return whether another server must be chosen.

    A slow promotion alone is no reason, because its outcome is unknown.
    """
    name = context.group.primary
    if name in context.progress.not_running:
        return True
    since_ms = context.now_ms - context.settings.rechoose_after_ms
    return context.progress.is_unreachable_since(name, since_ms)


def _list_missing(names, fenced):
    return ", ".join(sorted(names - fenced)) or "no eligible server"
