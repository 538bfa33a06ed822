"""Apply functions for proxies, owners and control members."""

from result import Ok

from waxwinglift.version._apply_registry import Applied
from waxwinglift.version._apply_registry import applies
from waxwinglift.version._apply_registry import RefusalCode
from waxwinglift.version._apply_registry import refuse
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._fleet import Daemon
from waxwinglift.version._fleet import Member
from waxwinglift.version._types import DaemonState


@applies(EntryKind.DAEMON_JOINED)
def _apply_daemon_joined(state, index, entry):
    state.daemons[entry.daemon] = Daemon(
        daemon=entry.daemon,
        address=entry.address,
        location=entry.location,
        state=DaemonState.ACTIVE,
    )
    return Ok(Applied(index))


@applies(EntryKind.DAEMON_DRAINING)
def _apply_daemon_draining(state, index, entry):
    known = state.daemons.get(entry.daemon)
    if known is None:
        return refuse(RefusalCode.UNKNOWN_DAEMON, entry.daemon)
    if known.state is not DaemonState.ACTIVE:
        message = f"{entry.daemon} is {known.state.value}, not active"
        return refuse(RefusalCode.WRONG_STATE, message)
    known.state = DaemonState.DRAINING
    return Ok(Applied(index))


@applies(EntryKind.DAEMON_LEFT)
def _apply_daemon_left(state, index, entry):
    """Remove the daemon, so that ids do not accumulate over restarts.

    Assignments that name it stay until OwnersAssigned replaces them: the
    next epoch must be higher than the last one assigned.
    """
    if entry.daemon not in state.daemons:
        return refuse(RefusalCode.UNKNOWN_DAEMON, entry.daemon)
    del state.daemons[entry.daemon]
    return Ok(Applied(index))


@applies(EntryKind.OWNERS_ASSIGNED)
def _apply_owners_assigned(state, index, entry):
    endpoints = [a.endpoint for a in entry.assignments]
    if len(set(endpoints)) != len(endpoints):
        message = "an endpoint is assigned twice"
        return refuse(RefusalCode.INVALID_ASSIGNMENT, message)
    for assignment in entry.assignments:
        refusal = _find_assignment_refusal(state, assignment)
        if refusal is not None:
            return refusal
    for assignment in entry.assignments:
        state.owners[assignment.endpoint] = assignment
    return Ok(Applied(index))


def _find_assignment_refusal(state, assignment):
    if assignment.endpoint not in state.endpoints:
        return refuse(RefusalCode.UNKNOWN_ENDPOINT, assignment.endpoint)
    named = [d for d in (assignment.owner, assignment.standby) if d]
    if len(set(named)) != len(named):
        message = f"{assignment.owner} is both owner and standby owner"
        return refuse(RefusalCode.INVALID_ASSIGNMENT, message)
    for daemon in named:
        if daemon not in state.daemons:
            return refuse(RefusalCode.UNKNOWN_DAEMON, daemon)
    known = state.owners.get(assignment.endpoint)
    known_epoch = known.epoch if known else 0
    if assignment.epoch <= known_epoch:
        message = (
            f"epoch {assignment.epoch} of {assignment.endpoint} is not above"
            f" {known_epoch}"
        )
        return refuse(RefusalCode.STALE_EPOCH, message)
    return None


@applies(EntryKind.MEMBER_ADDED)
def _apply_member_added(state, index, entry):
    if entry.member in state.members:
        return refuse(RefusalCode.KNOWN_MEMBER, entry.member)
    state.members[entry.member] = Member(
        member=entry.member,
        address=entry.address,
        is_voter=False,
        location=entry.location,
    )
    return Ok(Applied(index))


@applies(EntryKind.MEMBER_PROMOTED)
def _apply_member_promoted(state, index, entry):
    known = state.members.get(entry.member)
    if known is None:
        return refuse(RefusalCode.UNKNOWN_MEMBER, entry.member)
    if known.is_voter:
        message = f"{entry.member} is already a voter"
        return refuse(RefusalCode.WRONG_STATE, message)
    known.is_voter = True
    return Ok(Applied(index))


@applies(EntryKind.MEMBER_REMOVED)
def _apply_member_removed(state, index, entry):
    known = state.members.get(entry.member)
    if known is None:
        return refuse(RefusalCode.UNKNOWN_MEMBER, entry.member)
    voters = {m.member for m in state.members.values() if m.is_voter}
    if voters == {entry.member}:
        return refuse(RefusalCode.LAST_VOTER, entry.member)
    del state.members[entry.member]
    return Ok(Applied(index))
