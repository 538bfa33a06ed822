"""Failures that a session of typed statements reports by itself."""

from waxwinglift.connection._statement_protocols import CallerFault
from waxwinglift.connection._statement_protocols import InvalidCallerMessage
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run

_FAULT_CODES = {
    CallerFault.MALFORMED: FailureCode.BAD_MESSAGE,
    CallerFault.TOO_LARGE: FailureCode.TOO_LARGE,
}
FAILED_BLOCK = not_run(
    FailureCode.FAILED_BLOCK,
    "the transaction failed; only COMMIT or ROLLBACK is accepted",
)
SHUTTING_DOWN = not_run(
    FailureCode.SHUTTING_DOWN, "the proxy is shutting down"
)
BLOCK_ENDED = not_run(
    FailureCode.ABORTED,
    "the transaction was aborted: the proxy is shutting down",
)
SESSION_FAILED = not_run(
    FailureCode.UNAVAILABLE,
    "the session has ended: the proxy met an internal error",
)
WRITE_IN_READ_BLOCK = not_run(
    FailureCode.ABORTED, "cannot write in a read-only transaction"
)


def message_failure(message) -> Failure:
    """Return the failure of a message that cannot be served."""
    if isinstance(message, InvalidCallerMessage):
        return not_run(_FAULT_CODES[message.fault], message.message)
    return not_run(
        FailureCode.BAD_MESSAGE,
        "expected one start-up message and then only statements",
    )
