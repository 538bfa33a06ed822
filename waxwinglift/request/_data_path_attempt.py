"""State of the attempts to run one exchange, at the entry proxy."""

from collections.abc import Callable
import dataclasses

from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import Sink
from waxwinglift.request import Access
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import Verdict

# Codes of the failures that routing counts against the endpoint; most others
# are due to the request.
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
    """State of the attempts to run a first exchange or to look up a key."""

    access: Access
    deadline_ms: float
    key: str
    # Endpoints that must not be chosen again.
    excluded: set = dataclasses.field(default_factory=set)
    count: int = 0
    # Whether an attempt before the current one may have run.
    earlier_may_have_run: bool = False
    # Whether a queue rejected the last attempt.
    was_rejected: bool = False


class LeaseGuard:
    """Sink that passes no more bytes on after the proxy's lease expires."""

    def __init__(self, sink: Sink, lease_is_live: Callable[[], bool]):
        self.has_forwarded = False
        self.has_dropped = False
        self._sink = sink
        self._lease_is_live = lease_is_live

    async def write(self, data: bytes):
        """Pass bytes on if the lease is live; drop them otherwise."""
        if self.has_dropped or not self._lease_is_live():
            self.has_dropped = True
            return
        self.has_forwarded = True
        await self._sink(data)


def endpoint_failure(end: ExchangeEnd):
    """Return the failure that routing should count against the endpoint.

    None if the endpoint was only behind, if the request was sent with an
    outdated assignment or term, or if the failure has another code than
    those of ``_ENDPOINT_CODES``.
    """
    is_behind_or_stale = end.failed_position is not None or end.is_stale_owner
    if is_behind_or_stale or end.failure.code not in _ENDPOINT_CODES:
        return None
    return end.failure


def with_combined_verdict(attempts: Attempts, end: ExchangeEnd) -> ExchangeEnd:
    """Return the outcome with a verdict that covers all attempts."""
    failure = end.failure
    if (
        not attempts.earlier_may_have_run
        or failure.verdict is not Verdict.NOT_RUN
    ):
        return end
    message = f"an earlier attempt may have run; {failure.message}"
    return dataclasses.replace(end, failure=may_have_run(message))
