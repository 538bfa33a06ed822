"""State transitions of consecutive changes of primary."""

import itertools
from typing import NamedTuple

ACTIVE = 0
PROMOTING = 1

SERVERS = (0, 1, 2, 3)
QUORUM_COUNT = 3
FENCED_COUNT = 2
NO_SERVER = -1
# Size of the record that represents several writes of a promoted server.
OWN_RECORDS_SIZE = 2


class Write(NamedTuple):
    """A write of a caller; (``term``, ``end``) is the resulting floor."""

    term: int
    end: int
    is_acknowledged: bool


class State(NamedTuple):
    """One state of the model; nested values are tuples so that it is hashable.

    Parameters
    ----------
    step, term, primary : int
        Phase, term and primary of the group in the control log.
    logs : tuple
        Records of each server, as tuples of timeline, size and name.
    upstreams : tuple
        Upstream of each server, or NO_SERVER.
    in_recovery : tuple
        Whether each server is in recovery; False after its promotion.
    timelines, ends : tuple
        Pairs (timeline, term) and pairs (term, end) in the control log.
    requested : tuple
        Pairs (term, server) of requested promotions, each of which may still
        be executed at any time.
    writes : tuple
        Writes in order of execution.
    terms_count, writes_count, rebuilds_count, strays_count : int
        Remaining number of raised terms, of writes, of rebuilt servers and of
        promotions after which the server appends records that belong to no
        caller's write.
    """

    step: int
    term: int
    primary: int
    logs: tuple
    upstreams: tuple
    in_recovery: tuple
    timelines: tuple = ((1, 1),)
    ends: tuple = ()
    requested: tuple = ()
    writes: tuple = ()
    terms_count: int = 2
    writes_count: int = 1
    rebuilds_count: int = 1
    strays_count: int = 1


# Swaps the names of servers 2 and 3, see `canonical`.
SWAP = {2: 3, 3: 2}


def canonical(state):
    """Return the smaller of the state and the state with 2 and 3 swapped.

    The two servers have the same initial state, so both states are
    equivalent and only one of them has to be explored.
    """
    first, second, third, fourth = (
        (state.logs[s], SWAP.get(u, u), state.in_recovery[s])
        for s, u in enumerate(state.upstreams)
    )
    logs, upstreams, in_recovery = zip(
        first, second, fourth, third, strict=True
    )
    requested = sorted((term, SWAP.get(s, s)) for term, s in state.requested)
    swapped = state._replace(
        primary=SWAP.get(state.primary, state.primary),
        logs=logs,
        upstreams=upstreams,
        in_recovery=in_recovery,
        requested=tuple(requested),
    )
    return min(state, swapped)


TRANSITIONS = []


def transition(function):
    """Register a generator of the successors of a state.

    It takes ``(state, mutation)`` and yields pairs of label and state.
    """
    TRANSITIONS.append(function)
    return function


def timeline_of(log):
    """Return the timeline of the last record, 1 for an empty log."""
    return log[-1][0] if log else 1


def end_of(log):
    """Return the offset at which a server's log ends."""
    return sum(size for _, size, _ in log)


def term_of(state, timeline):
    """Return the term of a timeline, None if it is not in the history."""
    return dict(state.timelines).get(timeline)


def contains_write(log, number):
    """Return whether a log contains a write."""
    return any(name == f"write {number}" for _, _, name in log)


def _set(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def _append(state, server, record):
    log = (*state.logs[server], record)
    return state._replace(logs=_set(state.logs, server, log))


def _acknowledge(state):
    """Acknowledge each write as soon as a quorum has it.

    A later acknowledgement would only delay the checks of the write.
    """
    if state.step != ACTIVE:
        return state
    writes = tuple(
        write._replace(is_acknowledged=True)
        if write.term == state.term
        and sum(contains_write(log, n) for log in state.logs) >= QUORUM_COUNT
        else write
        for n, write in enumerate(state.writes)
    )
    return state._replace(writes=writes)


@transition
def _write(state, mutation):
    if state.step != ACTIVE or not state.writes_count:
        return
    timeline = timeline_of(state.logs[state.primary])
    record = (timeline, 1, f"write {len(state.writes)}")
    after = _append(state, state.primary, record)
    write = Write(state.term, end_of(after.logs[state.primary]), False)
    yield (
        f"write on {state.primary}",
        after._replace(
            writes=(*state.writes, write),
            writes_count=state.writes_count - 1,
        ),
    )


@transition
def _receive(state, mutation):
    """A replica receives the next record of its upstream.

    While the group is active, the replica may be repointed to the primary in
    the same step.
    """
    for server, current in enumerate(state.upstreams):
        upstreams = {current}
        if state.step == ACTIVE:
            upstreams.add(state.primary)
        for upstream in upstreams - {NO_SERVER, server}:
            log, source = state.logs[server], state.logs[upstream]
            is_behind = len(log) < len(source) and source[: len(log)] == log
            if not state.in_recovery[server] or not is_behind:
                continue
            after = _append(state, server, source[len(log)])._replace(
                upstreams=_set(state.upstreams, server, upstream)
            )
            yield f"{server} receives from {upstream}", _acknowledge(after)


@transition
def _change_primary(state, mutation):
    """Raise the term, fence, read the positions and choose, in one step.

    A record that a replica receives in between could also have arrived before
    the term was raised, when it still counted towards an acknowledgement.
    """
    if not state.terms_count:
        return
    readable = [s for s in SERVERS if _is_readable(state, mutation, s)]
    for count in range(FENCED_COUNT, len(readable) + 1):
        for read in itertools.combinations(readable, count):
            if not _omits_required_follower(state, mutation, read):
                yield from _choose(state, mutation, read)


def _is_readable(state, mutation, server):
    is_promoted = not state.in_recovery[server]
    if is_promoted and mutation != "fence_a_promoted_server":
        return False
    if server == state.primary and state.step == ACTIVE:
        return False
    return term_of(state, timeline_of(state.logs[server])) is not None


def _omits_required_follower(state, mutation, read):
    """Return whether a server that may have a later term was not read.

    Unless a server on the latest known timeline was read, all servers in
    recovery must be read.
    """
    latest = max(timeline for timeline, _ in state.timelines)
    if any(timeline_of(state.logs[s]) == latest for s in read):
        return False
    if mutation == "leave_out_a_later_term":
        return False
    followers = {s for s in SERVERS if state.in_recovery[s]}
    if mutation == "leave_out_the_given_up_server":
        followers.discard(state.primary)
    return not followers <= set(read)


def _choose(state, mutation, read):
    positions = {
        s: (timeline_of(state.logs[s]), end_of(state.logs[s])) for s in read
    }
    highest = max(positions.values())
    upstreams = [
        NO_SERVER if server in read else upstream
        for server, upstream in enumerate(state.upstreams)
    ]
    raised = state._replace(
        step=PROMOTING,
        term=state.term + 1,
        terms_count=state.terms_count - 1,
        upstreams=tuple(upstreams),
    )
    for server in read:
        if positions[server] == highest:
            label = f"fence {read}, choose {server} in term {raised.term}"
            yield label, _record_choice(raised, mutation, server, highest)


def _record_choice(state, mutation, server, position):
    """Record the chosen server and the ends of the earlier terms."""
    timeline, end = position
    old_term = term_of(state, timeline)
    ends = {t: lsn for t, lsn in state.ends if t < old_term}
    # Terms between that of the chosen server and the new one end here.
    skipped_terms_end = min(dict(state.ends).get(old_term, end), end)
    ends |= {
        term: skipped_terms_end for term in range(old_term + 1, state.term)
    }
    ends[old_term] = end
    if mutation == "compare_timelines_with_terms":
        ends = {**dict(state.ends), timeline: end}
    requested = [pair for pair in state.requested if pair[1] != server]
    return state._replace(
        primary=server,
        timelines=tuple(p for p in state.timelines if p[1] <= old_term),
        ends=tuple(sorted(ends.items())),
        requested=(*requested, (state.term, server)),
    )


@transition
def _promote(state, mutation):
    """Execute a requested promotion, even after another server was chosen.

    A promoted server may write records of its own.  They follow immediately,
    so that its replicas can receive as many of them as possible.
    """
    for term, server in state.requested:
        timeline = timeline_of(state.logs[server]) + 1
        record = (timeline, 1, f"promotion of term {term}")
        after = _append(state, server, record)._replace(
            in_recovery=_set(state.in_recovery, server, False),
            upstreams=_set(state.upstreams, server, NO_SERVER),
            requested=tuple(p for p in state.requested if p[1] != server),
        )
        label = f"promote {server} to timeline {timeline}"
        yield label, after
        if state.strays_count:
            stray = _append(
                after, server, (timeline, OWN_RECORDS_SIZE, "stray")
            )
            strays_count = state.strays_count - 1
            with_own_records = stray._replace(strays_count=strays_count)
            yield f"{label}, with records of its own", with_own_records


@transition
def _activate(state, mutation):
    if state.step != PROMOTING or state.in_recovery[state.primary]:
        return
    timeline = timeline_of(state.logs[state.primary])
    if term_of(state, timeline) is None:
        timelines = (*state.timelines, (timeline, state.term))
        yield (
            f"timeline {timeline} is term {state.term}",
            state._replace(step=ACTIVE, timelines=timelines),
        )


@transition
def _rebuild(state, mutation):
    """Rebuild a former primary as a replica with a copy of the primary."""
    if state.step != ACTIVE or not state.rebuilds_count:
        return
    for server in SERVERS:
        if server == state.primary or state.in_recovery[server]:
            continue
        copy = state.logs[state.primary]
        rebuilt = state._replace(
            logs=_set(state.logs, server, copy),
            in_recovery=_set(state.in_recovery, server, True),
            upstreams=_set(state.upstreams, server, state.primary),
            rebuilds_count=state.rebuilds_count - 1,
        )
        yield f"rebuild {server}", _acknowledge(rebuilt)
