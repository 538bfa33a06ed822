"""Transitions of the specification of a change of primary."""

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

# What a proxy has applied: the old term, its end, or the new primary.
OLD_VIEW = 0
NO_VIEW = 1
NEW_VIEW = 2

UNSENT = -1
ACKNOWLEDGED = -2


class State(NamedTuple):
    """One state of the specification; the checker needs tuples.

    Parameters
    ----------
    step : int
        Last entry of the change in the control log.
    logs : tuple
        Writes that each server holds, in order.
    timelines : tuple
        Term in which each server's last write was made.
    upstreams : tuple
        Server that each server follows, None for none.
    fenced, positions : tuple
        Progress of the control leader for each server.
    chosen : int or None
        New primary.
    views, has_lease, is_leased : tuple
        Of each proxy: what it has applied, whether it counts on a lease,
        and whether the leader does.
    writes : tuple
        Server that each proxy's write went to, UNSENT or ACKNOWLEDGED.
    is_late : bool
        A write was acknowledged after its primary had been replaced.
    leader_changes_count, late_actions_count : int
        Failures that may still happen.
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
    is_leased: tuple = (True, True)
    writes: tuple = (UNSENT, UNSENT)
    is_late: bool = False
    leader_changes_count: int = 1
    late_actions_count: int = 1


TRANSITIONS = []


def transition(function):
    """Register a transition: ``(state, mutation) -> (label, state)...``."""
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
    """A write is executed; it may have been sent long before."""
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
    holders_count = sum(proxy in log for log in state.logs)
    if holders_count < QUORUM_COUNT and mutation != "acknowledge_at_once":
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
            leased = _with_lease(state, proxy, True)
            views = _set(state.views, proxy, view + 1)
            label = f"proxy {proxy} applies {view + 1}"
            yield label, leased._replace(views=views)


@transition
def _grant(state, mutation):
    for proxy in PROXIES:
        is_behind = state.step >= FENCING and state.views[proxy] == OLD_VIEW
        if is_behind and mutation != "extend_leases_behind_the_raise":
            continue
        yield f"grant {proxy}", _with_lease(state, proxy, True)


@transition
def _grant_of_former_leader(state, mutation):
    if mutation != "grant_without_quorum" or state.leader_changes_count:
        return
    for proxy in PROXIES:
        leased = state.is_leased[proxy]
        yield f"former grant {proxy}", _with_lease(state, proxy, leased)


def _with_lease(state, proxy, is_leased):
    return state._replace(
        has_lease=_set(state.has_lease, proxy, True),
        is_leased=_set(state.is_leased, proxy, is_leased),
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
        if state.is_leased[proxy] and (not state.has_lease[proxy] or is_early):
            is_leased = _set(state.is_leased, proxy, False)
            ended = state._replace(is_leased=is_leased)
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


def _needed_count(mutation):
    return 1 if mutation == "fence_a_minority" else FENCED_COUNT


def _is_old_primary_unused(state, mutation):
    if mutation == "no_lease_wait":
        return True
    return not any(
        leased and view == OLD_VIEW
        for leased, view in zip(state.is_leased, state.views, strict=True)
    )


def _is_fenced(state, mutation):
    return sum(state.fenced) >= _needed_count(mutation)


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
    if len(read) < _needed_count(mutation):
        return
    if not _is_old_primary_unused(state, mutation):
        return
    first_key = 1 if mutation == "choose_by_offset_only" else 0
    chosen = max(read, key=lambda s: state.positions[s][first_key:])
    yield (
        f"choose {chosen}",
        state._replace(
            step=PROMOTING,
            chosen=chosen,
            fenced=(False, False, False),
            positions=(None, None, None),
            is_leased=(True, True),
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
    """The other replica follows the new primary unless it has diverged."""
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
    """A former leader's repoint to the old primary undoes a fence."""
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
            is_leased=(not skips_wait, not skips_wait),
            leader_changes_count=state.leader_changes_count - 1,
        ),
    )
