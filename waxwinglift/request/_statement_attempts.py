"""State and outcome of the attempts to run one typed statement.

Statements are typed in protocols with one statement per message; see
`_statements.py`.
"""

import dataclasses

from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import Verdict
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._statements import Statement

# Delay after which a caller may retry, unless the failure contains another.
_RETRY_AFTER_MS = 500
# Failures after which another daemon, such as the standby owner, may serve the
# endpoint.
OTHER_DAEMON_CODES = frozenset(
    {FailureCode.NOT_OWNER, FailureCode.SHUTTING_DOWN}
)
# Errors after which a read is retried at another endpoint.
_RETRYABLE_READ_ERRORS = frozenset(
    {
        EndpointErrorCode.FAILED,
        EndpointErrorCode.TIMED_OUT,
        EndpointErrorCode.OTHER,
    }
)


@dataclasses.dataclass(slots=True)
class StatementAttempts:
    """Attempts to run a single statement or the first one of a block."""

    access: Access
    arrived_ms: float
    deadline_ms: float
    is_block: bool
    # Endpoints that must not be chosen again.
    excluded: set = dataclasses.field(default_factory=set)
    count: int = 0
    # Whether a queue rejected the last attempt.
    was_rejected: bool = False
    # Refusals by the queues of endpoints, which must not be asked again.
    rejections: dict = dataclasses.field(default_factory=dict)
    # Pairs of an endpoint and a daemon that cannot be reached or no longer
    # serves the endpoint.
    unreachable: set = dataclasses.field(default_factory=set)
    # Outcome of the last attempt that may have run; set for reads only.
    last_outcome_after_run: ExchangeEnd | None = None


def can_use_other_daemon(end):
    """Return whether another daemon may serve the same endpoint."""
    if end.failure is None:
        return False
    return end.is_owner_unreachable or end.failure.code in OTHER_DAEMON_CODES


def mark_retryable_error(
    statement: Statement, attempts: StatementAttempts, end: ExchangeEnd
) -> ExchangeEnd:
    """Return an endpoint's error as a failure if a retry may succeed.

    Only a read outside of a block can be retried after it ran.
    """
    answer = end.answer
    if answer is None or answer.error is None or attempts.is_block:
        return end
    if statement.is_write or answer.error.code not in _RETRYABLE_READ_ERRORS:
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
        if attempts.is_block or attempts.last_outcome_after_run is None:
            return dataclasses.replace(end, failure=failure)
    if statement.is_write:
        return end
    # A read changes nothing, so it counts as not run.
    message = f"the read failed: {failure.message}"
    aborted = not_run(FailureCode.ABORTED, message, failure.retry_after_ms)
    return dataclasses.replace(end, failure=aborted)
