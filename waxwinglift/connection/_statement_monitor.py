"""Health monitoring of one endpoint without a connection of its own.

The probes use the connections that also run the callers' statements.
"""

from collections.abc import Callable

from waxwinglift.connection import HealthState
from waxwinglift.connection._health_monitor import HealthChanged
from waxwinglift.connection._health_monitor import HealthMonitor
from waxwinglift.connection._health_monitor import MarkOthersSuspect
from waxwinglift.connection._health_monitor import SendProbe
from waxwinglift.connection._health_monitor import TryNewConnection
from waxwinglift.connection._owner_connections import OpenResult
from waxwinglift.process import Registry
from waxwinglift.process._policy_settings import HealthSettings

# Methods that execute one type of health action.
_action_handlers = Registry()
_on_action = _action_handlers.register


class StatementMonitor:
    """Monitors an endpoint without a connection of its own.

    Endpoints that take typed statements have few connections, and the answer
    to any statement shows that the endpoint works.

    Parameters
    ----------
    settings : HealthSettings
    now_ms : callable
    on_health : callable
        Called with each new HealthState.
    """

    def __init__(
        self,
        settings: HealthSettings,
        now_ms: Callable[[], float],
        on_health: Callable[[HealthState], None],
    ):
        self.health = HealthMonitor(settings)
        self._now_ms = now_ms
        self._on_health = on_health
        self._connections = None
        self._answer_ms = float("-inf")

    def attach(self, connections):
        """Set the ConnectionManager whose connections are probed."""
        self._connections = connections

    def start(self):
        """Do nothing: the pool opens the connections."""

    def stop(self):
        """Do nothing: the pool closes the connections."""

    def tick(self):
        """Send due probes; update the health of an unresponsive endpoint."""
        now_ms = self._now_ms()
        if now_ms >= self.health.due_ms:
            self.perform(self.health.tick(now_ms))

    def record_response(self):
        """Record an answer on any connection."""
        self._answer_ms = self._now_ms()
        self.perform(self.health.on_answer(self._answer_ms))

    def record_timeout(self, connection):
        """Record that a request on a connection timed out."""
        self.perform(self.health.on_timeout(connection, self._now_ms()))

    def record_attempt(self, result: OpenResult):
        """Record the outcome of an attempt to open a connection."""
        now_ms = self._now_ms()
        if result is OpenResult.REFUSED:
            self.perform(self.health.on_refused(now_ms))
        else:
            # An endpoint that has no free connection has answered as well.
            self._answer_ms = now_ms
            self.perform(self.health.on_opened(now_ms))

    def perform(self, actions):
        """Execute the actions of the health monitor in order."""
        for action in actions:
            _action_handlers[type(action)](self, action)

    @_on_action(SendProbe)
    def _send_probe(self, action):
        self._connections.probe_longest_idle(self._answer_ms)

    @_on_action(TryNewConnection)
    def _try_new_connection(self, action):
        self._connections.open_one()

    @_on_action(MarkOthersSuspect)
    def _mark_others_suspect(self, action):
        self._connections.mark_others_suspect(action.connection)

    @_on_action(HealthChanged)
    def _report_health(self, action):
        self._on_health(action.state)
