"""State of the attempts of one exchange at the entry side."""

from collections.abc import Callable
import dataclasses

from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import Sink
from waxwinglift.request import Access
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import Verdict

# Failures that say something about the endpoint; others are the request's.
_ENDPOINT_CODES = frozenset(
    {
        FailureCode.UNAVAILABLE,
        FailureCode.REJECTED,
        FailureCode.SHUTTING_DOWN,
        FailureCode.OUTCOME_UNKNOWN,
    }
)


@dataclasses.dataclass(slots=True)
class Attempts:
    """State of the attempts of one transaction's first exchange."""

    access: Access
    deadline_ms: float
    key: str
    excluded: set = dataclasses.field(default_factory=set)
    count: int = 0
    may_have_run: bool = False
    was_rejected: bool = False


class LeaseGuard:
    """Sink that stops once the entry proxy's lease has expired."""

    def __init__(self, sink: Sink, lease_is_live: Callable[[], bool]):
        self.has_forwarded = False
        self.has_expired = False
        self._sink = sink
        self._lease_is_live = lease_is_live

    async def take(self, data: bytes):
        """Pass bytes on while the lease is live."""
        if self.has_expired or not self._lease_is_live():
            self.has_expired = True
            return
        self.has_forwarded = True
        await self._sink(data)


def endpoint_failure(end: ExchangeEnd):
    """Return the failure that routing should count against the endpoint.

    None when the endpoint was merely behind, its owner was not the current
    one, or the request itself was at fault.
    """
    is_behind = end.failed_position is not None or end.is_stale_owner
    if is_behind or end.failure.code not in _ENDPOINT_CODES:
        return None
    return end.failure


def with_earlier(attempts: Attempts, end: ExchangeEnd) -> ExchangeEnd:
    """Return the outcome, with the verdict of all attempts together."""
    failure = end.failure
    if not attempts.may_have_run or failure.verdict is not Verdict.NOT_RUN:
        return end
    message = f"an earlier attempt may have run; {failure.message}"
    return dataclasses.replace(end, failure=may_have_run(message))
