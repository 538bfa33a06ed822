"""Apply functions for pools, endpoints and changes of primary."""

from result import Ok

from waxwinglift.version._apply_registry import Applied
from waxwinglift.version._apply_registry import applies
from waxwinglift.version._apply_registry import RefusalCode
from waxwinglift.version._apply_registry import refuse
from waxwinglift.version._edits import apply_edit
from waxwinglift.version._edits import find_table_error
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import LogIndex
from waxwinglift.version._types import Term
from waxwinglift.version._types import Timeline


@applies(EntryKind.POOL_EDITED)
def _apply_pool_edited(state, index, entry):
    if entry.edit_id not in state.edit_answers:
        error = find_table_error(entry.pool, entry.table)
        if error:
            return refuse(RefusalCode.INVALID_TABLE, error)
    return Ok(apply_edit(state, entry))


@applies(EntryKind.ENDPOINT_JOINED)
def _apply_endpoint_joined(state, index, entry):
    refusal = _find_join_refusal(state, entry)
    if refusal is not None:
        return refusal
    _update_group_size(state, entry)
    group = state.groups[entry.group]
    if group.primary == entry.endpoint:
        group.has_primary_left = False
    endpoint = Endpoint(
        endpoint=entry.endpoint,
        group=entry.group,
        address=entry.address,
        location=entry.location,
        role=entry.role,
        term=entry.term,
        slots_count=entry.slots_count,
        connection_limit_count=entry.connection_limit_count,
        state=EndpointState.JOINED,
        started_ms=entry.started_ms,
    )
    state.set_endpoint(endpoint)
    state.departed.pop(entry.endpoint, None)
    return Ok(Applied(index))


def _find_join_refusal(state, entry):
    known = state.endpoints.get(entry.endpoint)
    if known is not None and known.group != entry.group:
        message = (
            f"{entry.endpoint} belongs to group {known.group}, not"
            f" {entry.group}"
        )
        return refuse(RefusalCode.GROUP_MISMATCH, message)
    group = state.groups.get(entry.group)
    if group is not None and group.is_server_fenced:
        return None
    if entry.group_size_count < 1:
        message = f"group size {entry.group_size_count} is below 1"
        return refuse(RefusalCode.GROUP_SIZE_MISMATCH, message)
    if group is None:
        return None
    return _find_size_refusal(state, group, entry)


def _find_size_refusal(state, group, entry):
    """Return a refusal if a join would change the quorum of a formed group.

    A commit is acknowledged by a majority of ``size_count`` servers, and a
    change of primary fences enough servers to overlap that majority.  With
    more than ``size_count`` servers, an acknowledged write could be on none
    of the fenced ones.
    """
    is_formed = group.phase is not GroupPhase.FORMING
    if is_formed and entry.group_size_count != group.size_count:
        message = (
            f"group {group.group} has size {group.size_count}, not"
            f" {entry.group_size_count}"
        )
        return refuse(RefusalCode.GROUP_SIZE_MISMATCH, message)
    others = _present_endpoints(state, group.group) - {entry.endpoint}
    if len(others) >= entry.group_size_count:
        message = (
            f"group {group.group} already has {len(others)} other servers;"
            f" its size is {entry.group_size_count}"
        )
        return refuse(RefusalCode.GROUP_FULL, message)
    return None


def _present_endpoints(state, group):
    return {
        endpoint.endpoint
        for endpoint in state.endpoints_of(group)
        if endpoint.state is not EndpointState.LOST
    }


def _update_group_size(state, entry):
    group = state.groups.get(entry.group)
    if group is not None:
        group.size_count = entry.group_size_count
        return
    state.groups[entry.group] = Group(
        group=entry.group,
        phase=GroupPhase.FORMING,
        size_count=entry.group_size_count,
        term=Term(0),
        primary=None,
        raised_index=LogIndex(0),
        term_ends={},
        timelines={},
    )


@applies(EntryKind.ENDPOINT_LEAVING)
def _apply_endpoint_leaving(state, index, entry):
    allowed = {EndpointState.JOINED}
    return _set_endpoint_state(
        state, index, entry, allowed, EndpointState.LEAVING
    )


@applies(EntryKind.ENDPOINT_LOST)
def _apply_endpoint_lost(state, index, entry):
    allowed = {EndpointState.JOINED, EndpointState.LEAVING}
    return _set_endpoint_state(
        state, index, entry, allowed, EndpointState.LOST
    )


def _set_endpoint_state(state, index, entry, allowed, target):
    known = state.endpoints.get(entry.endpoint)
    if known is None:
        return refuse(RefusalCode.UNKNOWN_ENDPOINT, entry.endpoint)
    if known.state not in allowed:
        message = (
            f"{entry.endpoint} is {known.state.value} and cannot become"
            f" {target.value}"
        )
        return refuse(RefusalCode.WRONG_STATE, message)
    known.state = target
    return Ok(Applied(index))


@applies(EntryKind.ENDPOINT_REMOVED)
def _apply_endpoint_removed(state, index, entry):
    """Remove an endpoint; a current primary is kept until it is replaced."""
    known = state.endpoints.get(entry.endpoint)
    if known is None:
        return refuse(RefusalCode.UNKNOWN_ENDPOINT, entry.endpoint)
    if entry.ended_start_ms:
        state.record_departure(entry.endpoint, entry.ended_start_ms)
    group = state.groups[known.group]
    if group.primary == entry.endpoint:
        group.has_primary_left = True
        known.state = EndpointState.LOST
        return Ok(Applied(index))
    state.remove_endpoint(entry.endpoint)
    return Ok(Applied(index))


def _find_phase_or_term_refusal(state, entry, phases, term_offset):
    """Return a refusal if the group's phase or the entry's term is wrong.

    The group must be in one of ``phases``, and the entry's term must be the
    group's term plus ``term_offset``.  If ``term_offset`` is None, any
    positive term is accepted.
    """
    group = state.groups.get(entry.group)
    if group is None:
        return refuse(RefusalCode.UNKNOWN_GROUP, entry.group)
    if group.phase not in phases:
        message = (
            f"group {entry.group} is {group.phase.value}, which excludes"
            f" {entry.kind.value}"
        )
        return refuse(RefusalCode.WRONG_PHASE, message)
    if term_offset is None:
        is_expected = entry.term > 0
    else:
        is_expected = entry.term == group.term + term_offset
    if not is_expected:
        message = (
            f"{entry.kind.value} with term {entry.term} cannot follow term"
            f" {group.term} of group {entry.group}"
        )
        return refuse(RefusalCode.WRONG_TERM, message)
    return None


def _find_primary_refusal(state, entry):
    primary = state.endpoints.get(entry.primary)
    if primary is None:
        return refuse(RefusalCode.UNKNOWN_ENDPOINT, entry.primary)
    if primary.group != entry.group:
        message = (
            f"{entry.primary} belongs to group {primary.group}, not"
            f" {entry.group}"
        )
        return refuse(RefusalCode.GROUP_MISMATCH, message)
    return None


@applies(EntryKind.GROUP_FORMED)
def _apply_group_formed(state, index, entry):
    refusal = _find_phase_or_term_refusal(
        state, entry, {GroupPhase.FORMING}, None
    ) or _find_primary_refusal(state, entry)
    if refusal is not None:
        return refusal
    group = state.groups[entry.group]
    if group.is_server_fenced:
        group.term = entry.term
        group.primary = entry.primary
        group.phase = GroupPhase.ACTIVE
        return Ok(Applied(index))
    present_count = len(_present_endpoints(state, entry.group))
    if present_count != group.size_count:
        message = (
            f"group {entry.group} has {present_count} of {group.size_count}"
            " servers"
        )
        return refuse(RefusalCode.GROUP_SIZE_MISMATCH, message)
    group.term = entry.term
    # The first term equals the timeline that the primary announced.  A
    # replica that does not follow it yet is on an earlier timeline, which
    # maps to term 0.
    group.timelines = {
        Timeline(entry.term - 1): Term(0),
        Timeline(entry.term): entry.term,
    }
    group.primary = entry.primary
    group.phase = GroupPhase.ACTIVE
    return Ok(Applied(index))


@applies(EntryKind.TERM_RAISED)
def _apply_term_raised(state, index, entry):
    phases = {GroupPhase.ACTIVE, GroupPhase.PROMOTING}
    refusal = _find_phase_or_term_refusal(state, entry, phases, 1)
    if refusal is not None:
        return refusal
    group = state.groups[entry.group]
    group.is_primary_abandoned = group.phase is GroupPhase.PROMOTING
    group.term = entry.term
    group.phase = GroupPhase.FENCING
    group.raised_index = index
    return Ok(Applied(index))


@applies(EntryKind.PRIMARY_CHOSEN)
def _apply_primary_chosen(state, index, entry):
    refusal = _find_phase_or_term_refusal(
        state, entry, {GroupPhase.FENCING}, 0
    ) or _find_primary_refusal(state, entry)
    if refusal is not None:
        return refusal
    group = state.groups[entry.group]
    # In a server-fenced group, ``old_term`` is a timeline of the server, which
    # need not be lower than the group's term.
    is_past = group.is_server_fenced or entry.old_term < entry.term
    if entry.old_term < 0 or not is_past or entry.old_term_end_lsn < 0:
        message = (
            f"invalid old term {entry.old_term} or end"
            f" {entry.old_term_end_lsn} for term {entry.term}"
        )
        return refuse(RefusalCode.WRONG_TERM, message)
    if not group.is_server_fenced:
        skipped = range(entry.old_term + 1, entry.term)
        _record_term_ends(
            group, entry.old_term, entry.old_term_end_lsn, skipped
        )
        group.timelines = {
            timeline: term
            for timeline, term in group.timelines.items()
            if term <= entry.old_term
        }
    else:
        _remove_primary_that_left(state, group, entry.primary)
    group.primary = entry.primary
    group.is_primary_abandoned = False
    group.phase = GroupPhase.PROMOTING
    return Ok(Applied(index))


def _remove_primary_that_left(state, group, successor):
    """Remove a replaced primary that does not come back.

    It would count for ever as a server whose commits must be waited for.
    """
    if group.has_primary_left and group.primary != successor:
        state.remove_endpoint(group.primary)
    group.has_primary_left = False


# Ends of past timelines that are kept.  Sessions are assumed to have
# reconnected within that many changes of primary, so that no session floor is
# older.
_KEPT_ENDS_COUNT = 16


def _record_timeline_ends(group, entry):
    """Record the ends of the timelines that a promotion has ended.

    A timeline ends only if the server has left it.  If the server that was
    chosen is still the primary, its timeline goes on.
    """
    last_write = entry.last_write
    if last_write is None:
        return
    group.was_primary_kept = last_write.timeline >= entry.timeline
    if group.was_primary_kept:
        return
    first_kept = max(
        last_write.timeline + 1, entry.timeline - _KEPT_ENDS_COUNT
    )
    skipped = range(first_kept, entry.timeline)
    _record_term_ends(group, last_write.timeline, last_write.lsn, skipped)
    for timeline in sorted(group.term_ends)[:-_KEPT_ENDS_COUNT]:
        del group.term_ends[timeline]


def _record_term_ends(group, old_term, end_lsn, skipped_terms):
    """Record the history of a new primary.

    ``old_term`` is the term of its last write, at ``end_lsn``.  The terms
    after it, ``skipped_terms``, are not part of its history.  They share it
    up to where they diverged, at most to the end of ``old_term``: a session
    floor up to that position can still be met, a later one cannot.
    """
    diverged_lsn = min(group.term_ends.get(old_term, end_lsn), end_lsn)
    for term in map(Term, skipped_terms):
        known_lsn = group.term_ends.get(term, diverged_lsn)
        group.term_ends[term] = min(known_lsn, diverged_lsn)
    group.term_ends[Term(old_term)] = end_lsn


@applies(EntryKind.PRIMARY_ACTIVE)
def _apply_primary_active(state, index, entry):
    refusal = _find_phase_or_term_refusal(
        state, entry, {GroupPhase.PROMOTING}, 0
    )
    if refusal is not None:
        return refusal
    group = state.groups[entry.group]
    if group.is_server_fenced:
        _record_timeline_ends(group, entry)
        group.phase = GroupPhase.ACTIVE
        return Ok(Applied(index))
    latest = max(group.timelines, default=Timeline(0))
    if entry.timeline <= latest:
        message = f"timeline {entry.timeline} does not follow {latest}"
        return refuse(RefusalCode.WRONG_TERM, message)
    group.timelines[entry.timeline] = entry.term
    group.phase = GroupPhase.ACTIVE
    return Ok(Applied(index))
