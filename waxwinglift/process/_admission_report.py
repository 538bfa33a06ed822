"""Tells operators when the queue of an endpoint refuses requests."""

from collections.abc import Callable
import logging

from waxwinglift.process._data_path_types import Metrics
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.version import EndpointId
from waxwinglift.version import Rank

logger = logging.getLogger(__name__)

# Time without a refusal after which the queue counts as accepting.  It is
# twice the longest return time, so that whoever was refused has returned.
_QUIET_MS = 2000.0


class AdmissionReport:
    """Counts the refusals of a queue and logs when they begin and end.

    Parameters
    ----------
    endpoint : EndpointId
    queue : AdmissionQueue
    metrics : Metrics
    now_ms : callable
    """

    def __init__(
        self,
        endpoint: EndpointId,
        queue: AdmissionQueue,
        metrics: Metrics,
        now_ms: Callable[[], float],
    ):
        self._endpoint = endpoint
        self._queue = queue
        self._metrics = metrics
        self._now_ms = now_ms
        self._began_ms: float | None = None
        self._last_ms = 0.0
        self._count = 0

    def record_refusal(self, rank: Rank, failure: Failure):
        """Record a refusal of the queue; others than REJECTED do not count."""
        if failure.code is not FailureCode.REJECTED:
            return
        self._metrics.incr(f"owner.rejected.{rank}")
        self._last_ms = self._now_ms()
        self._count += 1
        if self._began_ms is not None:
            return
        self._began_ms = self._last_ms
        load = self._queue.load()
        logger.info(
            "the queue of endpoint %s refuses requests",
            self._endpoint,
            extra={
                "rank": rank,
                "slots_count": load.slots_count,
                "running_count": load.running_count,
                "waiting_count": load.waiting_count,
                "expected_wait_ms": round(load.expected_wait_ms),
                "service_ms": round(self._queue.service_ms, 1),
            },
        )

    def tick(self):
        """Log the end of the refusals."""
        now_ms = self._now_ms()
        if self._began_ms is None or now_ms - self._last_ms < _QUIET_MS:
            return
        logger.info(
            "the queue of endpoint %s accepts all requests again",
            self._endpoint,
            extra={
                "refused_count": self._count,
                "refusals_ms": round(self._last_ms - self._began_ms),
            },
        )
        self._began_ms = None
        self._count = 0
