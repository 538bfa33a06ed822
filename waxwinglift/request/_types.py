"""Identifiers, verdicts and failures of one request."""

import dataclasses
import enum
from typing import NewType

RequestId = NewType("RequestId", int)


class Access(enum.Enum):
    """Whether a request reads or writes, as declared by its caller.

    AUTO: not declared, so that the text of the statement decides.
    """

    READ = "read"
    WRITE = "write"
    AUTO = "auto"


class Verdict(enum.Enum):
    """Whether a failed request was executed, as far as is known."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class FailureCode(enum.Enum):
    """SQLSTATE of each failure that the proxy itself reports."""

    UNAVAILABLE = "57P03"
    REJECTED = "53400"
    OVERLOADED = "53000"
    SHUTTING_DOWN = "57P01"
    OUTCOME_UNKNOWN = "08007"
    ALREADY_RAN = "WX001"
    FLOOR_LOST = "WX002"
    BAD_PARAMETER = "22023"
    UNKNOWN_POOL = "3D000"
    BAD_MESSAGE = "08P01"
    NOT_SUPPORTED = "0A000"
    CANCELLED = "57014"
    FAILED_BLOCK = "25P02"
    BAD_PASSWORD = "28P01"
    UNAUTHENTICATED = "28000"
    OVER_QUOTA = "53P01"
    UNKNOWN_STATEMENT = "26000"
    BEHIND = "57P05"
    ABORTED = "40000"
    TIMED_OUT = "57P06"
    ENDPOINT_FAILED = "58000"
    TOO_LARGE = "54000"
    NOT_OWNER = "57P07"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Outcome of a request that has no complete answer.

    A request may be repeated safely if the verdict is NOT_RUN, otherwise
    only with its idempotency key.

    Parameters
    ----------
    verdict : Verdict
    code : FailureCode
    message : str
    retry_after_ms : int or None
        Time after which the caller may retry, if known.
    """

    verdict: Verdict
    code: FailureCode
    message: str
    retry_after_ms: int | None = None


def not_run(code, message, retry_after_ms=None):
    """Return a failure of a request that did not run."""
    return Failure(Verdict.NOT_RUN, code, message, retry_after_ms)


def may_have_run(message):
    """Return a failure of a request whose outcome is unknown."""
    return Failure(Verdict.MAY_HAVE_RUN, FailureCode.OUTCOME_UNKNOWN, message)
