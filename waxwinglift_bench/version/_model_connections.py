"""Specification of the budget of a server's connections, for a checker.

The model has one server and three proxies: at first 0 is its owner, 1 its
standby owner and 2 neither.  Control changes the assignment once, to any other
pair.  A proxy that is isolated from control is one that neither applies the
change nor has its state confirmed.  A proxy may end at any moment.  One of
them may lose all of its connections at a time, as by a partition from the
server or by openings whose answer was lost; the server then counts them for
one more step of time.  Further proxies serve as temporary owners all the time.

Each proxy uses all connections that it may have, and time passes in steps: a
state is too old after more than one step.  The model does not cover a second
change while a former owner is still isolated, nor frozen processes.

Bounds: 200,000 states for each search.
"""

import typing

from minicheck import check_safety
from minicheck import Protocol

MAX_STATES_COUNT = 200_000

OWNER_COUNT = 6
TRANSITION_COUNT = 3
STANDBY_COUNT = 2
PROBE_COUNT = 1
# Temporary owners, with one connection each.
TEMPORARY_COUNT = 2
LIMIT_COUNT = (
    OWNER_COUNT
    + TRANSITION_COUNT
    + STANDBY_COUNT
    + PROBE_COUNT
    + TEMPORARY_COUNT
)
_AGE_LIMIT = 1
_SETTLING = 3
_PROXIES = (0, 1, 2)
_OWNER, _STANDBY, _NONE = "owner", "standby", "none"
_MUTANT_TEMPORARY_COUNT = 6

_KEEP_OLD = "owner_keeps_its_share_with_an_old_state"
# Each mutation disables one rule and is named after the resulting behaviour.
MUTATIONS = (
    "owner_takes_its_share_at_once",
    "owner_settles_before_lost_connections_end",
    _KEEP_OLD,
    "standby_takes_its_share_at_once",
    "newcomer_counts_as_promoted",
    "former_owner_keeps_its_share",
    "lost_connections_are_replaced_at_once",
    "any_proxy_is_a_temporary_owner",
)


class Proxy(typing.NamedTuple):
    """One proxy.

    ``has_applied`` is whether it knows the new assignment, ``age`` the age of
    its state, ``settling`` the time that it has had its role.  The server
    still counts ``lost`` and ``closed`` connections; the first ones ended
    without an answer, and the proxy does not replace them yet.
    """

    role: str
    has_applied: bool = False
    age: int = 0
    settling: int = _SETTLING
    is_promoted: bool = False
    is_live: bool = True
    lost: int = 0
    closed: int = 0


class State(typing.NamedTuple):
    """State of the model; ``assignment`` is that after the change."""

    proxies: tuple
    assignment: tuple | None = None
    losses_left_count: int = 1


INITIAL = State((Proxy(_OWNER), Proxy(_STANDBY), Proxy(_NONE, settling=0)))


def _share(proxy, mutation):
    """Return how many connections a proxy may have."""
    if not proxy.is_live:
        return 0
    is_old = proxy.age > _AGE_LIMIT
    if mutation == _KEEP_OLD:
        is_old = False
    settling = _SETTLING
    if mutation == "owner_settles_before_lost_connections_end":
        settling -= 1
    is_settled = proxy.settling >= settling and not is_old
    if proxy.role == _OWNER:
        if is_settled or mutation == "owner_takes_its_share_at_once":
            return OWNER_COUNT
        is_promoted = proxy.is_promoted and not is_old
        if is_promoted or mutation == "newcomer_counts_as_promoted":
            return STANDBY_COUNT + TRANSITION_COUNT
        return TRANSITION_COUNT
    if proxy.role == _STANDBY:
        if is_settled or mutation == "standby_takes_its_share_at_once":
            return STANDBY_COUNT
        return PROBE_COUNT
    was_owner = mutation == "former_owner_keeps_its_share"
    return OWNER_COUNT if was_owner and proxy.has_applied else 0


def _used_count(proxy, mutation):
    share = _share(proxy, mutation)
    if mutation == "lost_connections_are_replaced_at_once":
        return share
    return max(0, share - proxy.lost)


def _held_unused(proxy):
    return proxy.lost + proxy.closed


def _drop_irrelevant(proxy):
    """Reset the fields that no longer matter, so that fewer states differ."""
    if not proxy.is_live:
        return Proxy(_NONE, True, 0, 0, False, False, 0, _held_unused(proxy))
    if proxy.role == _NONE:
        return proxy._replace(age=0, settling=0, is_promoted=False)
    if proxy.settling == _SETTLING:
        return proxy._replace(is_promoted=False)
    return proxy


def _replace(state, number, changed, mutation):
    """Replace a proxy; the server has not noticed what it closes by this."""
    before = state.proxies[number]
    closed = _used_count(before, mutation) - _used_count(changed, mutation)
    changed = changed._replace(closed=changed.closed + max(0, closed))
    proxies = list(state.proxies)
    proxies[number] = _drop_irrelevant(changed)
    return state._replace(proxies=tuple(proxies))


def _change_assignment(state, mutation):
    if state.assignment is not None:
        return
    for owner in _PROXIES:
        for standby in _PROXIES:
            if owner != standby and (owner, standby) != (0, 1):
                label = f"owner {owner}, standby owner {standby}"
                yield label, state._replace(assignment=(owner, standby))


def _apply_change(state, mutation):
    if state.assignment is None:
        return
    owner, standby = state.assignment
    for number, proxy in enumerate(state.proxies):
        if proxy.has_applied or not proxy.is_live:
            continue
        role = {owner: _OWNER, standby: _STANDBY}.get(number, _NONE)
        changed = proxy._replace(has_applied=True, role=role, age=0)
        is_old = proxy.age > _AGE_LIMIT
        if role != proxy.role or is_old:
            is_settled = proxy.settling >= _SETTLING and not is_old
            is_promoted = proxy.role == _STANDBY and role == _OWNER
            changed = changed._replace(
                settling=0, is_promoted=is_settled and is_promoted
            )
        yield (
            f"proxy {number} applies",
            _replace(state, number, changed, mutation),
        )


def _confirm_state(state, mutation):
    for number, proxy in enumerate(state.proxies):
        is_latest = state.assignment is None or proxy.has_applied
        if proxy.is_live and is_latest and proxy.age > 0:
            changed = proxy._replace(age=0)
            yield (
                f"proxy {number} confirmed",
                _replace(state, number, changed, mutation),
            )


def _end_proxy(state, mutation):
    for number, proxy in enumerate(state.proxies):
        if proxy.is_live:
            changed = proxy._replace(is_live=False)
            yield (
                f"proxy {number} ends",
                _replace(state, number, changed, mutation),
            )


def _lose_connections(state, mutation):
    if not state.losses_left_count:
        return
    for number, proxy in enumerate(state.proxies):
        used_count = _used_count(proxy, mutation)
        if used_count and not proxy.lost:
            proxies = list(state.proxies)
            proxies[number] = proxy._replace(lost=used_count)
            yield (
                f"proxy {number} loses its connections",
                state._replace(proxies=tuple(proxies), losses_left_count=0),
            )


def _pass_time(state, mutation):
    """Advance time by a step, which ends what was lost before it."""
    proxies = []
    for proxy in state.proxies:
        used_count = _used_count(proxy, mutation)
        age = min(proxy.age + 1, _AGE_LIMIT + 1)
        settling = min(proxy.settling + 1, _SETTLING)
        changed = proxy._replace(age=age, settling=settling, lost=0, closed=0)
        if age > _AGE_LIMIT and mutation != _KEEP_OLD:
            changed = changed._replace(settling=0, is_promoted=False)
        closed = max(0, used_count - _share(changed, mutation))
        proxies.append(_drop_irrelevant(changed._replace(closed=closed)))
    yield "time", state._replace(proxies=tuple(proxies))


_TRANSITIONS = (
    _change_assignment,
    _apply_change,
    _confirm_state,
    _end_proxy,
    _lose_connections,
    _pass_time,
)


def _make_invariant(mutation):
    temporary_count = TEMPORARY_COUNT
    if mutation == "any_proxy_is_a_temporary_owner":
        temporary_count = _MUTANT_TEMPORARY_COUNT

    def is_within_limit(values):
        held = sum(
            _used_count(proxy, mutation) + _held_unused(proxy)
            for proxy in values["proxies"]
        )
        return held + temporary_count <= LIMIT_COUNT

    return is_within_limit


def check(mutation=None):
    """Check all rules, or those that a mutation leaves."""
    holds = _make_invariant(mutation)
    violated = []

    def transitions(values):
        state = State(*values)
        if mutation is not None and not violated:
            # With a mutation, one violation is enough to end the search.
            if not holds(state._asdict()):
                violated.append(state)
        if violated:
            return []
        return [
            (label, after)
            for function in _TRANSITIONS
            for label, after in function(state, mutation)
            if after != state
        ]

    protocol = Protocol(
        name=mutation or "connections",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=transitions,
        invariants={"connections stay within the limit": holds},
    )
    return check_safety(protocol, max_states=MAX_STATES_COUNT)
