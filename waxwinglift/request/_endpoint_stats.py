"""Statistics on latency, lag and failures of the endpoints of a group."""

import bisect
import dataclasses

from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift.request._endpoint_load import LoadBook
from waxwinglift.request._primary_read_budget import PrimaryReadBudget
from waxwinglift.request._types import FailureCode
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version import ZERO_POSITION

# Time for which a replica counts as behind after a refusal, where its owner
# reports no lag.
_BEHIND_AGE_LIMIT_MS = 2000.0
# Maximum counted number of consecutive failures.  It keeps the exponential
# backoff, which exceeds any configured limit by then, from overflowing.
_FAILURE_LIMIT_COUNT = 32


@dataclasses.dataclass(slots=True)
class _Record:
    position: Position = ZERO_POSITION
    lag_ms: float | None = None
    # Time of the last refusal of a read that needs newer data.
    behind_ms: float = float("-inf")
    service_ms: float | None = None
    queue_wait_ms: float = 0.0
    observed_ms: float = float("-inf")
    failure_count: int = 0
    avoided_until_ms: float = float("-inf")
    in_flight_count: int = 0


class LogProgress:
    """Times at which the group's log reached the offsets seen in answers."""

    # 200 samples at intervals of 5 ms cover one second, well above the
    # replicas' usual lag of 200 ms.
    SAMPLE_LIMIT_COUNT = 200
    SAMPLE_INTERVAL_MS = 5.0

    def __init__(self):
        self.term = Term(0)
        self._lsns = []
        self._times_ms = []

    def record(self, position, now_ms):
        """Add an observed position if it is the highest so far."""
        if position.term > self.term:
            self.term = position.term
            self._lsns, self._times_ms = [], []
        if position.term < self.term:
            return
        if self._lsns and position.lsn <= self._lsns[-1]:
            return
        if self._is_within_sample_interval(now_ms):
            self._lsns[-1] = position.lsn
            self._times_ms[-1] = now_ms
            return
        self._lsns.append(position.lsn)
        self._times_ms.append(now_ms)
        del self._lsns[: -self.SAMPLE_LIMIT_COUNT]
        del self._times_ms[: -self.SAMPLE_LIMIT_COUNT]

    def reached_ms(self, position):
        """Return when the log reached ``position``, or None if unknown.

        For a position before the oldest sample, this is the time of that
        sample.
        """
        if position.term < self.term and self._times_ms:
            return self._times_ms[0]
        if position.term > self.term or not self._lsns:
            return None
        index = bisect.bisect_left(self._lsns, position.lsn)
        if index == len(self._lsns):
            return None
        if index == 0:
            return self._times_ms[0]
        return self._interpolate(index, position.lsn)

    def _is_within_sample_interval(self, now_ms):
        """Return whether a new sample should replace the last one.

        It does so until it is one interval later than the last but one.
        """
        if len(self._times_ms) < 2:
            return False
        return now_ms - self._times_ms[-2] < self.SAMPLE_INTERVAL_MS

    def _interpolate(self, index, lsn):
        low_lsn, high_lsn = self._lsns[index - 1 : index + 1]
        low_ms, high_ms = self._times_ms[index - 1 : index + 1]
        fraction = (lsn - low_lsn) / (high_lsn - low_lsn)
        return low_ms + fraction * (high_ms - low_ms)


class EndpointStats:
    """Statistics on the endpoints of one group, kept by each entry proxy.

    Parameters
    ----------
    settings : RoutingSettings, optional
    loads : LoadBook, optional
        Reports of the owners; read by the policy ``load``.

    Attributes
    ----------
    primary_read_budget : PrimaryReadBudget
        Budget of the reads that may be routed to the primary.
    """

    def __init__(self, settings=None, loads=None):
        self.settings = settings or RoutingSettings()
        self.loads = LoadBook() if loads is None else loads
        self._records = {}
        self._log_progress = LogProgress()
        self.primary_read_budget = PrimaryReadBudget(self.settings)

    def observe_start(self, endpoint, now_ms):
        """Record that a request was sent to ``endpoint``."""
        self._record(endpoint).in_flight_count += 1

    def observe_answer(
        self, endpoint, position, latency_ms, queue_wait_ms, now_ms
    ):
        """Record a complete answer.

        Parameters
        ----------
        endpoint : EndpointId
        position : Position or None
            Position of the endpoint after the request.
        latency_ms : float
            Time from sending the request to its answer, excluding waits for
            a floor or for a quorum.
        queue_wait_ms : float
            Part of ``latency_ms`` that the request waited for a slot.
        now_ms : float
        """
        record = self._record(endpoint)
        self._finish_request(record)
        service_ms = max(0.0, latency_ms - queue_wait_ms)
        weight = self.settings.latency_weight
        record.service_ms = self._average(
            record.service_ms, service_ms, weight
        )
        record.queue_wait_ms = self._average(
            record.queue_wait_ms, queue_wait_ms, weight
        )
        record.observed_ms = now_ms
        record.failure_count = 0
        self._observe_position(record, position, now_ms)

    def observe_failure(self, endpoint, failure, now_ms, position=None):
        """Record a failed request.

        Parameters
        ----------
        endpoint : EndpointId
        failure : Failure or None
            None if the endpoint is not at fault, for example because it was
            only behind the floor.  After any failure but a rejection by its
            queue, the endpoint is avoided for a time.
        now_ms : float
        position : Position, optional
            Position of the endpoint, if the response contained it.
        """
        record = self._record(endpoint)
        self._finish_request(record)
        self._observe_position(record, position, now_ms)
        if position is not None:
            record.behind_ms = now_ms
        if failure is None:
            return
        if failure.code is FailureCode.REJECTED:
            self.primary_read_budget.revoke_earned_token()
            return
        record.failure_count = min(
            record.failure_count + 1, _FAILURE_LIMIT_COUNT
        )
        delay_ms = self.settings.backoff_ms * 2 ** (record.failure_count - 1)
        delay_ms = min(delay_ms, self.settings.backoff_limit_ms)
        record.avoided_until_ms = now_ms + delay_ms

    def position(self, endpoint):
        """Return the last known position of ``endpoint``."""
        return self._record(endpoint).position

    def lag_ms(self, endpoint):
        """Return the expected replication lag of ``endpoint``."""
        return self._record(endpoint).lag_ms or 0.0

    def was_behind(self, endpoint, now_ms):
        """Return whether ``endpoint`` recently refused a read as behind."""
        age_ms = now_ms - self._record(endpoint).behind_ms
        return age_ms <= _BEHIND_AGE_LIMIT_MS

    def catch_up_ms(self, endpoint, floor, now_ms, lag_ms=None):
        """Return the expected time until ``endpoint`` reaches ``floor``.

        The endpoint is expected to reach the floor ``lag_ms``, by default its
        average lag, after the primary did.  If the floor is above all
        observed positions, the primary is assumed to reach it now.
        """
        record = self._record(endpoint)
        if floor is None or record.position >= floor:
            return 0.0
        reached_ms = self._log_progress.reached_ms(floor)
        if reached_ms is None:
            reached_ms = now_ms
        if lag_ms is None:
            lag_ms = self.lag_ms(endpoint)
        return max(0.0, reached_ms + lag_ms - now_ms)

    def expected_latency_ms(self, view, now_ms, wait_ms=None):
        """Return the expected latency of a new request.

        The weight of old measurements decays, so that single requests are
        routed to a slow endpoint again.  ``wait_ms`` is the wait for a slot
        that the owner has reported, if it has.
        """
        record = self._record(view.endpoint)
        base_ms = self.settings.distance_ms[view.distance]
        if record.service_ms is None:
            return base_ms + (wait_ms or 0.0)
        age_ms = now_ms - record.observed_ms
        decay = 0.5 ** (age_ms / self.settings.stale_after_ms)
        service_ms = base_ms + (record.service_ms - base_ms) * decay
        # The network round trip does not occupy a slot.
        execution_ms = max(0.0, service_ms - base_ms)
        queued_ms = record.in_flight_count * execution_ms / view.slots_count
        if wait_ms is None:
            wait_ms = record.queue_wait_ms * decay
        return service_ms + wait_ms + queued_ms

    def traffic_share(self, endpoint, now_ms):
        """Return the share of its usual traffic that ``endpoint`` may get.

        It is 0 while the endpoint is avoided and then rises from 0.05 to 1
        within ``return_ms``, so that not all proxies send their full traffic
        again at once.
        """
        until_ms = self._record(endpoint).avoided_until_ms
        if now_ms < until_ms:
            return 0.0
        return min(1.0, 0.05 + (now_ms - until_ms) / self.settings.return_ms)

    def _record(self, endpoint):
        return self._records.setdefault(endpoint, _Record())

    def _finish_request(self, record):
        record.in_flight_count = max(0, record.in_flight_count - 1)

    def _average(self, old_ms, new_ms, weight):
        if old_ms is None:
            return new_ms
        return old_ms + weight * (new_ms - old_ms)

    def _observe_position(self, record, position, now_ms):
        if position is None or position < record.position:
            return
        record.position = position
        self._log_progress.record(position, now_ms)
        reached_ms = self._log_progress.reached_ms(position)
        record.lag_ms = self._average(
            record.lag_ms, now_ms - reached_ms, self.settings.lag_weight
        )
