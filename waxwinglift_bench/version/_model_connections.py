"""Specification of the budget of a server's connections, for a checker.

The model has one server and three proxies: at first 0 is its owner, 1 its
standby owner and 2 neither.  Control changes the assignment once, to any other
pair.  It may name the former owner; another entry then removes the name, after
the former owner has released the server or when its lease has run out.  A
proxy that is isolated from control is one that neither applies these entries
nor has its state confirmed.  A proxy may end at any moment.  One of them may
lose all of its connections at a time, as by a partition from the server or by
openings whose answer was lost; the server then counts them for one more step
of time.  Further proxies serve as temporary owners all the time.

Each proxy uses all connections that it may have, and time passes in steps: a
state is too old after more than one step, and much too old after more than
three; when it is confirmed, the lowered share stays for the rest of the step.
The model does not cover a second change of the owner while a former one is
still isolated, nor frozen processes.

Bounds: 500,000 states for each search.
"""

import typing

from minicheck import check_safety
from minicheck import Protocol

MAX_STATES_COUNT = 500_000

OWNER_COUNT = 7
HALF_COUNT = 5
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
_LONG_AGE_LIMIT = 3
# Steps after which lost connections of a proxy have ended that was replaced
# and has reduced its share once, or twice.
_SETTLING = _AGE_LIMIT + 2
_LONG_SETTLING = _LONG_AGE_LIMIT + 2
# The same for a proxy that has released the server.
_RELEASE_SETTLING = 1
_LOWERED_TWICE = 2
_PROXIES = (0, 1, 2)
_OWNER, _STANDBY, _NONE = "owner", "standby", "none"
_MUTANT_TEMPORARY_COUNT = 6
# Entries of the log that change the assignment.
_FIRST_ENTRY, _LAST_ENTRY = 1, 2

_KEEP_OLD = "owner_keeps_its_share_with_an_old_state"
_KEEP_HALF = "owner_keeps_half_with_a_much_too_old_state"
_RETURN_AT_ONCE = "owner_returns_to_its_share_before_closed_connections_end"
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
    _KEEP_HALF,
    _RETURN_AT_ONCE,
    "successor_takes_half_at_once",
    "successor_settles_while_the_former_owner_has_half",
    "successor_settles_before_the_second_reduction_ends",
    "lost_former_owner_counts_as_released",
    "successor_settles_at_once_after_a_release",
    "successor_settles_while_the_former_owner_is_named",
)


class Proxy(typing.NamedTuple):
    """One proxy.

    ``applied`` is the number of entries that it knows, ``age`` the age of its
    state, negative in the step in which it is confirmed after it was too old,
    ``settling`` the time that it has had its role without a former owner being
    named, ``is_after_release`` whether that one has released the server.  The
    server still counts ``lost`` and ``closed`` connections; the first ones
    ended without an answer, and the proxy does not replace them yet.
    """

    role: str
    applied: int = 0
    age: int = 0
    settling: int = _LONG_SETTLING
    is_promoted: bool = False
    is_after_release: bool = False
    is_live: bool = True
    lost: int = 0
    closed: int = 0


class State(typing.NamedTuple):
    """State of the model.

    ``assignment`` is that after the change, ``entries`` the number of entries
    of the change so far, ``is_named`` whether the first one names the former
    owner, and ``is_released`` whether that one has released the server.
    """

    proxies: tuple
    assignment: tuple | None = None
    entries: int = 0
    is_named: bool = False
    is_released: bool = False
    losses_left_count: int = 1


INITIAL = State((Proxy(_OWNER), Proxy(_STANDBY), Proxy(_NONE, settling=0)))


def _lowering(proxy, mutation=None):
    """Return how often the age of its state has lowered a proxy's share."""
    if mutation == _KEEP_OLD:
        return 0
    if proxy.age < 0:
        return 0 if mutation == _RETURN_AT_ONCE else -proxy.age
    if proxy.age > _LONG_AGE_LIMIT and mutation != _KEEP_HALF:
        return _LOWERED_TWICE
    return int(proxy.age > _AGE_LIMIT)


def _settling_times(proxy, mutation):
    """Return the times after which an owner has half and all of its share."""
    is_after_release = (
        proxy.is_after_release
        or mutation == "lost_former_owner_counts_as_released"
    )
    if is_after_release:
        if mutation == "successor_settles_at_once_after_a_release":
            return 0, 0
        return _RELEASE_SETTLING, _RELEASE_SETTLING
    if mutation == "owner_settles_before_lost_connections_end":
        return _SETTLING - 1, _LONG_SETTLING
    if mutation == "successor_takes_half_at_once":
        return 0, _LONG_SETTLING
    if mutation == "successor_settles_while_the_former_owner_has_half":
        return _SETTLING, _SETTLING
    if mutation == "successor_settles_before_the_second_reduction_ends":
        return _SETTLING, _LONG_SETTLING - 1
    return _SETTLING, _LONG_SETTLING


def _owner_share(proxy, mutation):
    if mutation == "owner_takes_its_share_at_once":
        return OWNER_COUNT
    half_time, full_time = _settling_times(proxy, mutation)
    lowering = _lowering(proxy, mutation)
    if proxy.settling >= half_time and lowering < _LOWERED_TWICE:
        is_full = proxy.settling >= full_time and not lowering
        return OWNER_COUNT if is_full else HALF_COUNT
    is_promoted = proxy.is_promoted and not lowering
    if is_promoted or mutation == "newcomer_counts_as_promoted":
        return STANDBY_COUNT + TRANSITION_COUNT
    return TRANSITION_COUNT


def _share(proxy, mutation):
    """Return how many connections a proxy may have."""
    if not proxy.is_live:
        return 0
    if proxy.role == _OWNER:
        return _owner_share(proxy, mutation)
    if proxy.role == _STANDBY:
        is_settled = proxy.settling >= _SETTLING and not _lowering(proxy)
        if is_settled or mutation == "standby_takes_its_share_at_once":
            return STANDBY_COUNT
        return PROBE_COUNT
    was_owner = mutation == "former_owner_keeps_its_share"
    return OWNER_COUNT if was_owner and proxy.applied else 0


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
        return Proxy(
            _NONE, _LAST_ENTRY, 0, 0, is_live=False, closed=_held_unused(proxy)
        )
    if proxy.role == _NONE:
        applied = _LAST_ENTRY if proxy.applied else 0
        return proxy._replace(
            applied=applied,
            age=0,
            settling=0,
            is_promoted=False,
            is_after_release=False,
        )
    if proxy.role == _STANDBY:
        return proxy._replace(
            age=max(-1, min(proxy.age, _AGE_LIMIT + 1)),
            settling=min(proxy.settling, _SETTLING),
            is_promoted=False,
            is_after_release=False,
        )
    if proxy.settling == _LONG_SETTLING:
        return proxy._replace(is_promoted=False, is_after_release=False)
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
            if owner == standby or (owner, standby) == (0, 1):
                continue
            after = state._replace(assignment=(owner, standby))
            label = f"owner {owner}, standby owner {standby}"
            yield label, after._replace(entries=_LAST_ENTRY)
            if owner != 0:
                named = after._replace(entries=_FIRST_ENTRY, is_named=True)
                yield f"{label}, former owner 0", named


def _remove_name(state, mutation):
    """Remove the name of the former owner from the assignment."""
    if not state.is_named or state.entries != _FIRST_ENTRY:
        return
    after = state._replace(entries=_LAST_ENTRY)
    yield "the former owner's lease runs out", after
    former = state.proxies[0]
    if former.is_live and former.applied:
        yield "the former owner has released", after._replace(is_released=True)


def _apply_entry(state, mutation):
    for number, proxy in enumerate(state.proxies):
        if proxy.applied >= state.entries or not proxy.is_live:
            continue
        if proxy.applied == 0:
            changed = _apply_change(state, number, proxy)
            applied = _FIRST_ENTRY if state.is_named else _LAST_ENTRY
        else:
            changed = proxy._replace(is_after_release=state.is_released)
            applied = _LAST_ENTRY
        changed = changed._replace(applied=applied)
        if changed.applied == state.entries:
            changed = changed._replace(age=-_lowering(proxy))
        yield (
            f"proxy {number} applies entry {applied}",
            _replace(state, number, changed, mutation),
        )


def _apply_change(state, number, proxy):
    owner, standby = state.assignment
    role = {owner: _OWNER, standby: _STANDBY}.get(number, _NONE)
    if role == proxy.role:
        return proxy
    is_settled = proxy.settling >= _SETTLING and not _lowering(proxy)
    is_promoted = is_settled and proxy.role == _STANDBY and role == _OWNER
    return proxy._replace(role=role, settling=0, is_promoted=is_promoted)


def _confirm_state(state, mutation):
    for number, proxy in enumerate(state.proxies):
        is_latest = proxy.applied >= state.entries
        if proxy.is_live and is_latest and proxy.age > 0:
            changed = proxy._replace(age=-_lowering(proxy))
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
        age = min(max(0, proxy.age) + 1, _LONG_AGE_LIMIT + 1)
        changed = proxy._replace(age=age, lost=0, closed=0)
        is_named = state.is_named and proxy.applied == _FIRST_ENTRY
        if mutation == "successor_settles_while_the_former_owner_is_named":
            is_named = False
        if not is_named:
            settling = min(proxy.settling + 1, _LONG_SETTLING)
            changed = changed._replace(settling=settling)
        closed = max(0, used_count - _share(changed, mutation))
        proxies.append(_drop_irrelevant(changed._replace(closed=closed)))
    yield "time", state._replace(proxies=tuple(proxies))


_TRANSITIONS = (
    _change_assignment,
    _remove_name,
    _apply_entry,
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
