"""What a statement that got no complete answer may tell its caller."""

import dataclasses

from waxwinglift.request._types import Failure
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import may_have_run
from waxwinglift.request._types import not_run
from waxwinglift.request._types import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class StatementProgress:
    """How far a statement has come.

    Parameters
    ----------
    is_sent : bool
        Whether the caller's statement may have reached the endpoint.
    in_block : bool
        Whether it belongs to a transaction block, whose work is kept by its
        COMMIT only.
    may_commit : bool
        Whether it is that COMMIT.
    """

    is_sent: bool
    in_block: bool
    may_commit: bool

    @property
    def is_kept_by_commit(self) -> bool:
        """Whether nothing can be kept yet."""
        return self.in_block and not self.may_commit


def lost(state: StatementProgress, reason: str) -> Failure:
    """Return the failure of a connection that has ended."""
    if not state.is_sent:
        message = f"connection lost before the statement: {reason}"
        return not_run(FailureCode.UNAVAILABLE, message)
    if state.is_kept_by_commit:
        message = f"the transaction was lost: {reason}"
        return not_run(FailureCode.ABORTED, message)
    return may_have_run(f"the endpoint's answer was lost: {reason}")


def timed_out(state: StatementProgress) -> Failure:
    """Return the failure of an endpoint that took too long."""
    if not state.is_sent:
        message = "the endpoint did not take the statement in time"
        return not_run(FailureCode.UNAVAILABLE, message)
    if state.is_kept_by_commit:
        message = "a statement took too long; the transaction was ended"
        return not_run(FailureCode.ABORTED, message)
    message = "the endpoint did not answer in time"
    return Failure(Verdict.MAY_HAVE_RUN, FailureCode.TIMED_OUT, message)


def cancelled(state: StatementProgress) -> Failure:
    """Return the failure of a statement that was given up."""
    verdict = Verdict.MAY_HAVE_RUN if state.is_sent else Verdict.NOT_RUN
    message = "the statement was cancelled"
    return Failure(verdict, FailureCode.CANCELLED, message)
