"""Handling of requests: verdicts, routing, admission, commits, retries."""

from waxwinglift.request._types import Access
from waxwinglift.request._types import Failure
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import may_have_run
from waxwinglift.request._types import not_run
from waxwinglift.request._types import RequestId
from waxwinglift.request._types import Verdict

__all__ = [
    "Access",
    "Failure",
    "FailureCode",
    "RequestId",
    "Verdict",
    "may_have_run",
    "not_run",
]
