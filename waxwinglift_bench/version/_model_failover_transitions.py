"""State transitions of a single change of primary."""

from typing import NamedTuple

ACTIVE = 0
FENCING = 1
PROMOTING = 2
REPLACED = 3

OLD_PRIMARY = 0
REPLICAS = (1, 2)
PROXIES = (0, 1)
QUORUM_COUNT = 2
FENCED_COUNT = 2

# State that a proxy has applied: old primary, raised term or new primary.
OLD_VIEW = 0
NO_VIEW = 1
NEW_VIEW = 2

UNSENT = -1
ACKNOWLEDGED = -2


class State(NamedTuple):
    """One state of the model; nested values are tuples so that it is hashable.

    Parameters
    ----------
    step : int
        Phase of the change, by its last entry in the control log.
    logs : tuple
        Writes in the log of each server, in order.  The write of a proxy is
        identified by the number of the proxy.
    timelines : tuple
        Timeline of each server's last write.
    upstreams : tuple
        Upstream of each server, or None.
    fenced, positions : tuple
        Servers fenced and positions read by the control leader.
    chosen : int or None
        New primary.
    views, has_lease, has_assumed_lease : tuple
        For each proxy: its applied state, whether it has a lease, and
        whether the control leader assumes that it has one.
    writes : tuple
        Server that executed each proxy's write, UNSENT or ACKNOWLEDGED.
    is_late : bool
        Whether a write was acknowledged after its primary was replaced.
    leader_changes_count, late_actions_count : int
        Remaining number of these failures.
    """

    step: int
    logs: tuple
    timelines: tuple
    upstreams: tuple
    fenced: tuple = (False, False, False)
    positions: tuple = (None, None, None)
    chosen: int | None = None
    views: tuple = (OLD_VIEW, OLD_VIEW)
    has_lease: tuple = (True, True)
    has_assumed_lease: tuple = (True, True)
    writes: tuple = (UNSENT, UNSENT)
    is_late: bool = False
    leader_changes_count: int = 1
    late_actions_count: int = 1


TRANSITIONS = []


def transition(function):
    """Register a generator of the successors of a state.

    It takes ``(state, mutation)`` and yields pairs of label and state.
    """
    TRANSITIONS.append(function)
    return function


def _set(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def _primary_of(state, view):
    return OLD_PRIMARY if view == OLD_VIEW else state.chosen


def _is_prefix(shorter, longer):
    return longer[: len(shorter)] == shorter


@transition
def _write(state, mutation):
    """Execute a write, possibly long after the proxy sent it."""
    for proxy in PROXIES:
        if state.writes[proxy] != UNSENT or state.views[proxy] == NO_VIEW:
            continue
        server = _primary_of(state, state.views[proxy])
        logs = _set(state.logs, server, (*state.logs[server], proxy))
        writes = _set(state.writes, proxy, server)
        yield (
            f"write {proxy} on {server}",
            state._replace(logs=logs, writes=writes),
        )


@transition
def _replicate(state, mutation):
    for server, upstream in enumerate(state.upstreams):
        if upstream is None:
            continue
        log, source = state.logs[server], state.logs[upstream]
        if log == source or not _is_prefix(log, source):
            continue
        logs = _set(state.logs, server, source[: len(log) + 1])
        yield (
            f"{server} receives from {upstream}",
            state._replace(logs=logs),
        )


@transition
def _acknowledge(state, mutation):
    for proxy, server in enumerate(state.writes):
        if server < 0:
            continue
        if not _may_acknowledge(state, mutation, proxy, server):
            continue
        is_late = state.step == REPLACED and server == OLD_PRIMARY
        yield (
            f"acknowledge {proxy}",
            state._replace(
                writes=_set(state.writes, proxy, ACKNOWLEDGED),
                is_late=state.is_late or is_late,
            ),
        )


def _may_acknowledge(state, mutation, proxy, server):
    servers_count = sum(proxy in log for log in state.logs)
    if servers_count < QUORUM_COUNT and mutation != "acknowledge_at_once":
        return False
    if not state.has_lease[proxy] and mutation != "acknowledge_without_lease":
        return False
    if mutation == "acknowledge_in_ended_term":
        return True
    view = state.views[proxy]
    return view != NO_VIEW and _primary_of(state, view) == server


@transition
def _apply(state, mutation):
    for proxy, view in enumerate(state.views):
        is_ended = view == OLD_VIEW and state.step >= FENCING
        is_replaced = view == NO_VIEW and state.step == REPLACED
        if is_ended or is_replaced:
            after = _with_lease(state, proxy, True)
            views = _set(state.views, proxy, view + 1)
            label = f"proxy {proxy} applies {view + 1}"
            yield label, after._replace(views=views)


@transition
def _grant(state, mutation):
    for proxy in PROXIES:
        is_behind = state.step >= FENCING and state.views[proxy] == OLD_VIEW
        if is_behind and mutation != "extend_leases_behind_the_raise":
            continue
        yield f"grant {proxy}", _with_lease(state, proxy, True)


@transition
def _grant_of_former_leader(state, mutation):
    # A former leader without a quorum would grant leases that the new leader
    # does not know of.
    if mutation != "grant_without_quorum" or state.leader_changes_count:
        return
    for proxy in PROXIES:
        is_assumed = state.has_assumed_lease[proxy]
        yield f"former grant {proxy}", _with_lease(state, proxy, is_assumed)


def _with_lease(state, proxy, has_assumed_lease):
    return state._replace(
        has_lease=_set(state.has_lease, proxy, True),
        has_assumed_lease=_set(
            state.has_assumed_lease, proxy, has_assumed_lease
        ),
    )


@transition
def _end_lease(state, mutation):
    for proxy in PROXIES:
        if state.views[proxy] != OLD_VIEW:
            continue
        if state.has_lease[proxy]:
            has_lease = _set(state.has_lease, proxy, False)
            ended = state._replace(has_lease=has_lease)
            yield f"lease of {proxy} ends", ended
        is_early = mutation == "leader_ends_lease_before_daemon"
        if state.has_assumed_lease[proxy] and (
            not state.has_lease[proxy] or is_early
        ):
            has_assumed_lease = _set(state.has_assumed_lease, proxy, False)
            ended = state._replace(has_assumed_lease=has_assumed_lease)
            yield f"leader sees lease of {proxy} end", ended


@transition
def _raise_term(state, mutation):
    if state.step == ACTIVE:
        yield "raise the term", state._replace(step=FENCING)


@transition
def _fence(state, mutation):
    if state.step != FENCING:
        return
    for server in REPLICAS:
        if not state.fenced[server]:
            yield (
                f"fence {server}",
                state._replace(
                    fenced=_set(state.fenced, server, True),
                    upstreams=_set(state.upstreams, server, None),
                ),
            )


def _fenced_needed_count(mutation):
    return 1 if mutation == "fence_a_minority" else FENCED_COUNT


def _is_old_primary_unused(state, mutation):
    """Return whether, as far as the leader knows, no lease is left.

    Leases of proxies that have applied the raised term do not matter.
    """
    if mutation == "no_lease_wait":
        return True
    return not any(
        is_assumed and view == OLD_VIEW
        for is_assumed, view in zip(
            state.has_assumed_lease, state.views, strict=True
        )
    )


def _is_fenced(state, mutation):
    return sum(state.fenced) >= _fenced_needed_count(mutation)


def _may_read(state, mutation, server):
    if mutation == "positions_read_before_fencing":
        return True
    if not state.fenced[server] or not _is_fenced(state, mutation):
        return False
    if mutation == "positions_read_before_lease_wait":
        return True
    return _is_old_primary_unused(state, mutation)


@transition
def _read_position(state, mutation):
    if state.step != FENCING:
        return
    for server in REPLICAS:
        if state.positions[server] is not None:
            continue
        if _may_read(state, mutation, server):
            position = (state.timelines[server], len(state.logs[server]))
            positions = _set(state.positions, server, position)
            read = state._replace(positions=positions)
            yield f"read position of {server}", read


@transition
def _choose(state, mutation):
    if state.step != FENCING or not _is_fenced(state, mutation):
        return
    read = [s for s in REPLICAS if state.positions[s] is not None]
    if len(read) < _fenced_needed_count(mutation):
        return
    if not _is_old_primary_unused(state, mutation):
        return
    # With 1 the comparison ignores the timeline.
    first_field = 1 if mutation == "choose_by_offset_only" else 0
    chosen = max(read, key=lambda s: state.positions[s][first_field:])
    yield (
        f"choose {chosen}",
        state._replace(
            step=PROMOTING,
            chosen=chosen,
            fenced=(False, False, False),
            positions=(None, None, None),
            has_assumed_lease=(True, True),
        ),
    )


@transition
def _promote(state, mutation):
    if state.step == PROMOTING:
        upstreams = _set(state.upstreams, state.chosen, None)
        yield (
            f"promote {state.chosen}",
            state._replace(step=REPLACED, upstreams=upstreams),
        )


@transition
def _repoint(state, mutation):
    """Repoint the other replica unless it has diverged."""
    if state.step != REPLACED:
        return
    for server in REPLICAS:
        if server == state.chosen or state.upstreams[server] == state.chosen:
            continue
        if _is_prefix(state.logs[server], state.logs[state.chosen]):
            upstreams = _set(state.upstreams, server, state.chosen)
            repointed = state._replace(upstreams=upstreams)
            yield f"repoint {server}", repointed


@transition
def _execute_late_action(state, mutation):
    """Run a former leader's repoint to the old primary: it undoes a fence."""
    if not state.late_actions_count or state.step != FENCING:
        return
    for server in REPLICAS:
        if state.upstreams[server] is None:
            yield (
                f"late repoint of {server}",
                state._replace(
                    upstreams=_set(state.upstreams, server, OLD_PRIMARY),
                    late_actions_count=state.late_actions_count - 1,
                ),
            )


@transition
def _change_leader(state, mutation):
    if not state.leader_changes_count or state.step != FENCING:
        return
    skips_wait = mutation == "new_leader_skips_lease_wait"
    yield (
        "new control leader",
        state._replace(
            fenced=(False, False, False),
            positions=(None, None, None),
            has_assumed_lease=(not skips_wait, not skips_wait),
            leader_changes_count=state.leader_changes_count - 1,
        ),
    )
