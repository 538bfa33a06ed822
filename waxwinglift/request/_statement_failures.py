"""Failures that callers get for statements without a complete answer."""

import dataclasses
import enum

from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.request._statements import EndpointError
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._types import Failure
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import may_have_run
from waxwinglift.request._types import not_run
from waxwinglift.request._types import Verdict


class Interruption(enum.Enum):
    """Reason why a proxy ends a statement without waiting for its answer.

    SHUTDOWN: the proxy is shut down.
    INTERNAL_ERROR: the proxy has met an error that it does not expect.
    """

    SHUTDOWN = "shutdown"
    INTERNAL_ERROR = "internal_error"


class StreamFailed(Exception):
    """Ends an exchange and its stream; ``end`` contains the failure."""

    def __init__(self, end: ExchangeEnd):
        super().__init__(end.failure.message)
        self.end = end


# Failure codes of errors after which another endpoint may serve the request.
_RETRYABLE_ERRORS = {
    EndpointErrorCode.OVERLOADED: FailureCode.REJECTED,
    EndpointErrorCode.BEHIND: FailureCode.BEHIND,
    EndpointErrorCode.READ_ONLY: FailureCode.UNAVAILABLE,
    EndpointErrorCode.UNKNOWN_STATEMENT: FailureCode.UNAVAILABLE,
}

_INTERRUPTION_TEXTS = {
    Interruption.SHUTDOWN: "the proxy was shut down",
    Interruption.INTERNAL_ERROR: "the proxy met an internal error",
}


@dataclasses.dataclass(frozen=True, slots=True)
class StatementProgress:
    """Progress of a statement up to its failure.

    Parameters
    ----------
    is_sent : bool
        Whether the caller's statement may have reached the endpoint.
    in_block : bool
        Whether the statement belongs to a transaction block, whose work
        takes effect only with its COMMIT.
    may_commit : bool
        Whether the statement is that COMMIT.
    """

    is_sent: bool
    in_block: bool
    may_commit: bool

    @property
    def needs_later_commit(self) -> bool:
        """Whether the statement cannot take effect without a later COMMIT."""
        return self.in_block and not self.may_commit


def retryable_failure(error: EndpointError | None) -> Failure | None:
    """Return the failure after which another endpoint may be tried.

    None if there was no error, or one that is the caller's answer.
    """
    if error is None or error.code not in _RETRYABLE_ERRORS:
        return None
    message = f"the endpoint answered {error.code.value}"
    return not_run(_RETRYABLE_ERRORS[error.code], message)


def connection_lost_failure(
    progress: StatementProgress, reason: str
) -> Failure:
    """Return the failure for a connection that was lost."""
    if not progress.is_sent:
        message = f"connection lost before the statement was sent: {reason}"
        return not_run(FailureCode.UNAVAILABLE, message)
    if progress.needs_later_commit:
        message = (
            f"the transaction had no effect; its connection was lost: {reason}"
        )
        return not_run(FailureCode.ABORTED, message)
    return may_have_run(f"the endpoint's answer was lost: {reason}")


def timeout_failure(progress: StatementProgress) -> Failure:
    """Return the failure for a statement not sent or answered in time."""
    if not progress.is_sent:
        message = "the statement was not sent to the endpoint in time"
        return not_run(FailureCode.UNAVAILABLE, message)
    if progress.needs_later_commit:
        message = "the transaction was aborted: a statement timed out"
        return not_run(FailureCode.ABORTED, message)
    message = "the endpoint did not answer in time"
    return Failure(Verdict.MAY_HAVE_RUN, FailureCode.TIMED_OUT, message)


def interrupted_failure(
    progress: StatementProgress, interruption: Interruption
) -> Failure:
    """Return the failure for a statement that the proxy interrupts.

    ``progress.may_commit`` is False for a statement that changes nothing: a
    read, or a COMMIT of a transaction without a write.
    """
    reason = _INTERRUPTION_TEXTS[interruption]
    if progress.may_commit and progress.is_sent:
        return may_have_run(f"{reason} before the answer")
    return not_run(FailureCode.ABORTED, f"nothing was kept: {reason}")


def cancelled_failure(progress: StatementProgress) -> Failure:
    """Return the failure for a statement that was cancelled."""
    verdict = Verdict.MAY_HAVE_RUN if progress.is_sent else Verdict.NOT_RUN
    message = "the statement was cancelled"
    return Failure(verdict, FailureCode.CANCELLED, message)
