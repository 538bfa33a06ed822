"""Pending proposals to the control log and leadership confirmations."""

import asyncio
import dataclasses
import enum

from result import Err


class ProposalError(enum.Enum):
    """Why a proposal failed or has an unknown outcome."""

    NOT_LEADER = "this member is not the control leader"
    NOT_APPENDED = "the entry was not appended to the control log"
    OUTCOME_UNKNOWN = "the leader changed; resend with the same edit id"
    REFUSED = "the entry contradicts the state"


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalFailure:
    """Result of a proposal that was not applied or may not have been."""

    error: ProposalError
    message: str


@dataclasses.dataclass(slots=True)
class _AppendedProposal:
    term: int
    future: asyncio.Future


class ProposalTable:
    """Pending proposals of this member.

    They are kept by proposal number until they are appended to the log, then
    by log index.
    """

    def __init__(self):
        self._next_number = 1
        self._unappended = {}
        self._appended = {}

    def open(self):
        """Return the number and the future of a new proposal."""
        number = self._next_number
        self._next_number += 1
        future = asyncio.get_running_loop().create_future()
        self._unappended[number] = future
        return number, future

    def accept(self, action):
        """Record the index and term of an accepted proposal."""
        future = self._unappended.pop(action.proposal)
        self._appended[action.index] = _AppendedProposal(action.term, future)

    def refuse(self, action):
        """Fail a proposal that was not appended."""
        future = self._unappended.pop(action.proposal)
        if action.leader is None:
            error = ProposalError.NOT_LEADER
        else:
            error = ProposalError.NOT_APPENDED
        message = f"{error.value}: {action.reason.value}"
        _resolve(future, Err(ProposalFailure(error, message)))

    def commit(self, entry, outcome):
        """Resolve the proposal at the index of a committed log entry."""
        pending = self._appended.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            error = ProposalError.OUTCOME_UNKNOWN
            outcome = Err(ProposalFailure(error, error.value))
        elif outcome.is_err():
            refusal = outcome.err_value
            failure = ProposalFailure(
                ProposalError.REFUSED,
                f"{refusal.code.value}: {refusal.message}",
            )
            outcome = Err(failure)
        _resolve(pending.future, outcome)

    def fail_all(self):
        """Fail all appended proposals, whose outcome is unknown here."""
        error = ProposalError.OUTCOME_UNKNOWN
        appended, self._appended = self._appended, {}
        for pending in appended.values():
            failure = ProposalFailure(error, error.value)
            _resolve(pending.future, Err(failure))


def _resolve(future, outcome):
    if not future.done():
        future.set_result(outcome)


class ConfirmationTable:
    """Pending requests to confirm leadership, with their times."""

    def __init__(self):
        self._pending = []

    def open(self, now_ms):
        """Return the future of a request made at ``now_ms``."""
        future = asyncio.get_running_loop().create_future()
        self._pending.append((now_ms, future))
        return future

    def resolve_confirmed(self, node, now_ms):
        """Resolve the requests that a majority confirmed after they were made.

        Parameters
        ----------
        node : ConsensusNode
        now_ms : float
        """
        if not self._pending:
            return
        contact_ms = node.quorum_contact_ms
        is_leader = node.is_leader_with_quorum(now_ms)
        pending, self._pending = self._pending, []
        for requested_ms, future in pending:
            if future.done():
                continue
            if is_leader and contact_ms >= requested_ms:
                future.set_result(node.commit_index)
            else:
                self._pending.append((requested_ms, future))
