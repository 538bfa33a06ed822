"""State and outcome of the attempts of one typed statement."""

import dataclasses

from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import Verdict
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._statements import Statement

# When a caller may come back if nothing better is known.
_RETRY_AFTER_MS = 500
_REPEATED_ERRORS = frozenset(
    {
        EndpointErrorCode.FAILED,
        EndpointErrorCode.TIMED_OUT,
        EndpointErrorCode.OTHER,
    }
)


@dataclasses.dataclass(slots=True)
class StatementAttempts:
    """State of the attempts of one statement or of a block's first one."""

    access: Access
    arrived_ms: float
    deadline_ms: float
    is_block: bool
    excluded: set = dataclasses.field(default_factory=set)
    count: int = 0
    was_rejected: bool = False
    # Endpoints with a daemon that cannot be reached or has given them up.
    unreached: set = dataclasses.field(default_factory=set)
    # Whether an earlier attempt may have run; reads only.
    last: ExchangeEnd | None = None


def classify_answer(
    statement: Statement, attempts: StatementAttempts, end: ExchangeEnd
) -> ExchangeEnd:
    """Turn an error that another endpoint may not have into a failure.

    Only a read outside of a block can be repeated after it ran.
    """
    answer = end.answer
    if answer is None or answer.error is None or attempts.is_block:
        return end
    if statement.is_write or answer.error.code not in _REPEATED_ERRORS:
        return end
    failure = Failure(
        Verdict.RAN,
        FailureCode.ENDPOINT_FAILED,
        f"the endpoint answered {answer.error.code.value}",
    )
    return dataclasses.replace(end, failure=failure)


def final_outcome(
    statement: Statement, attempts: StatementAttempts, end: ExchangeEnd
) -> ExchangeEnd:
    """Return the outcome that the caller gets after the last attempt."""
    failure = end.failure
    if failure.verdict is Verdict.NOT_RUN:
        if failure.retry_after_ms is None:
            failure = dataclasses.replace(
                failure, retry_after_ms=_RETRY_AFTER_MS
            )
        if attempts.is_block or attempts.last is None:
            return dataclasses.replace(end, failure=failure)
    if statement.is_write:
        return end
    # A read keeps nothing, whether it ran or not.
    message = f"the read failed: {failure.message}"
    aborted = not_run(FailureCode.ABORTED, message, failure.retry_after_ms)
    return dataclasses.replace(end, failure=aborted)
