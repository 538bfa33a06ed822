"""Failure detector of one endpoint, based on probes and answers."""

import dataclasses

from waxwinglift.connection._types import ConnectionId
from waxwinglift.connection._types import HealthState
from waxwinglift.process._policy_settings import HealthSettings


@dataclasses.dataclass(frozen=True, slots=True)
class SendProbe:
    """Send a probe on any idle connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class TryNewConnection:
    """Open one more connection and report the outcome.

    An earlier attempt that is still pending is abandoned.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class MarkOthersSuspect:
    """Probe all other connections before they are used again."""

    connection: ConnectionId


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChanged:
    """Report a new health state to control and to routing."""

    state: HealthState


class HealthMonitor:
    """Health of one endpoint as seen by its owner or standby owner.

    The endpoint is down only when neither existing nor new connections get
    an answer, because a single connection can become unresponsive
    permanently while the endpoint works.  It is also down after
    ``refusal_limit_count`` refused connections without an answer in between.

    Every method returns a list of actions: `SendProbe`, `TryNewConnection`,
    `MarkOthersSuspect` and `HealthChanged`.

    ``is_standby`` is true while another proxy owns the endpoint.

    Parameters
    ----------
    settings : HealthSettings, optional
    """

    def __init__(self, settings=None):
        self.settings = settings or HealthSettings()
        self.state = HealthState.UNKNOWN
        self.is_standby = False
        self._answer_ms = float("-inf")
        self._probe_ms = None
        self._attempt_ms = None
        self._first_attempt_ms = None
        self._unanswered_since_ms = None
        self._refusal_count = 0

    @property
    def due_ms(self):
        """Time before which `tick` would do nothing."""
        if self._unanswered_since_ms is not None:
            return float("-inf")
        return self._answer_ms + self._probe_after_ms()

    def tick(self, now_ms):
        """Send due probes; update the health of an unresponsive endpoint.

        Call it at least every half probe interval.
        """
        actions = self._report_down_if_due(now_ms)
        interval_ms = self.settings.probe_interval_ms
        if now_ms - self._answer_ms < self._probe_after_ms():
            return actions
        if self._probe_ms is None or now_ms - self._probe_ms >= interval_ms:
            self._probe_ms = now_ms
            if self._unanswered_since_ms is None:
                self._unanswered_since_ms = now_ms
            actions.append(SendProbe())
        return actions + self._try_new(now_ms)

    def on_answer(self, now_ms):
        """Record that the endpoint answered on an existing connection."""
        return self._record_response(now_ms)

    def on_opened(self, now_ms):
        """Record that a new connection became usable."""
        return self._record_response(now_ms)

    def on_refused(self, now_ms):
        """Record that the endpoint refused a connection."""
        self._attempt_ms = None
        self._refusal_count += 1
        if self._refusal_count < self.settings.refusal_limit_count:
            return self._start_attempt(now_ms)
        return self._set_state(HealthState.DOWN)

    def on_timeout(self, connection, now_ms):
        """Record that a request on ``connection`` timed out."""
        actions = [MarkOthersSuspect(connection)]
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        return actions + self._try_new(now_ms, at_once=True)

    def on_attempt_failed(self, now_ms):
        """Record that a new connection timed out or ended during its start."""
        self._attempt_ms = None
        return self._report_down_if_due(now_ms)

    def _record_response(self, now_ms):
        self._answer_ms = max(self._answer_ms, now_ms)
        self._probe_ms = None
        self._attempt_ms = None
        self._first_attempt_ms = None
        self._unanswered_since_ms = None
        self._refusal_count = 0
        return self._set_state(HealthState.UP)

    def _try_new(self, now_ms, at_once=False):
        """Open a connection after one probe interval without an answer.

        With ``at_once``, open it without waiting for the interval.
        """
        interval_ms = self.settings.probe_interval_ms
        if self._unanswered_ms(now_ms) < interval_ms and not at_once:
            return []
        if self._pending_ms(now_ms) < 2 * interval_ms:
            return []
        actions = self._start_attempt(now_ms)
        if self.state is HealthState.UP:
            actions += self._set_state(HealthState.SUSPECT)
        return actions

    def _start_attempt(self, now_ms):
        self._attempt_ms = now_ms
        if self._first_attempt_ms is None:
            self._first_attempt_ms = now_ms
        return [TryNewConnection()]

    def _report_down_if_due(self, now_ms):
        if self._unanswered_ms(now_ms) < self.settings.down_after_ms:
            return []
        # After a pause of this process, the first tick must not report the
        # endpoint down before a new connection could have been opened.
        if self._first_attempt_ms is None:
            return []
        attempt_age_ms = now_ms - self._first_attempt_ms
        if attempt_age_ms < 2 * self.settings.probe_interval_ms:
            return []
        return self._set_state(HealthState.DOWN)

    def _probe_after_ms(self):
        interval_ms = self.settings.probe_interval_ms
        if not self.is_standby:
            return interval_ms
        return max(interval_ms, self.settings.standby_probe_interval_ms)

    def _pending_ms(self, now_ms):
        if self._attempt_ms is None:
            return float("inf")
        return now_ms - self._attempt_ms

    def _unanswered_ms(self, now_ms):
        if self._unanswered_since_ms is None:
            return 0.0
        return now_ms - self._unanswered_since_ms

    def _set_state(self, state):
        if state is self.state:
            return []
        self.state = state
        return [HealthChanged(state)]
