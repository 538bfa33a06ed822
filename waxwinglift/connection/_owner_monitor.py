"""Health monitoring of one PostgreSQL endpoint on its own connection."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from waxwinglift.connection import ConnectionId
from waxwinglift.connection import HealthState
from waxwinglift.connection._backend import EndpointConnection
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._endpoint_errors import EndpointRefused
from waxwinglift.connection._health_monitor import HealthChanged
from waxwinglift.connection._health_monitor import HealthMonitor
from waxwinglift.connection._health_monitor import MarkOthersSuspect
from waxwinglift.connection._health_monitor import SendProbe
from waxwinglift.connection._health_monitor import TryNewConnection
from waxwinglift.process import Registry
from waxwinglift.process._policy_settings import HealthSettings

# Id of the monitoring connection, which no pool contains.
_MONITOR_CONNECTION = ConnectionId(0)
# Methods that execute one type of health action.
_action_handlers = Registry()
_on_action = _action_handlers.register


class EndpointMonitor:
    """Keeps one connection to an endpoint and tracks the endpoint's health.

    The connection serves for probes and for the proxy's own statements, such
    as those that read positions.

    Parameters
    ----------
    settings : HealthSettings
    open_connection : callable
        Opens a connection; raises EndpointRefused.
    now_ms : callable
    on_request_timeout : callable
        Called with the id of a connection on which a request timed out; all
        others must be probed before their next use.
    on_health : callable
        Called with each new HealthState.
    probe_serving : callable
        Called with a time; probes a serving connection that has been idle
        since before that time, and returns whether there was one.
    """

    def __init__(
        self,
        settings: HealthSettings,
        open_connection: Callable[[], Awaitable[EndpointConnection]],
        now_ms: Callable[[], float],
        on_request_timeout: Callable,
        on_health: Callable[[HealthState], None],
        probe_serving: Callable[[float], bool],
    ):
        self.health = HealthMonitor(settings)
        self._settings = settings
        self._open_connection = open_connection
        self._now_ms = now_ms
        self._on_request_timeout = on_request_timeout
        self._on_health = on_health
        self._probe_serving = probe_serving
        self._connection: EndpointConnection | None = None
        self._is_stopped = False
        self._lock = asyncio.Lock()
        self._attempt: asyncio.Task | None = None
        self._attempt_ms = float("-inf")
        self._answer_ms = float("-inf")
        self._probe_ms: float | None = None

    def start(self):
        """Start to open the connection."""
        self._try_new()

    def stop(self):
        """Close the connection and cancel a pending attempt to open one."""
        self._is_stopped = True
        if self._attempt is not None:
            self._attempt.cancel()
        if self._connection is not None:
            self._connection.close()

    def tick(self):
        """Send due probes; update the health of an unresponsive endpoint."""
        now_ms = self._now_ms()
        if now_ms >= self.health.due_ms:
            self.perform(self.health.tick(now_ms))
        self._close_if_probe_is_late(now_ms)
        if self._is_usable():
            return
        self._close_lost()
        attempt_age_ms = now_ms - self._attempt_ms
        is_due = attempt_age_ms >= self._settings.probe_interval_ms
        if is_due and not self._is_attempting():
            self._try_new()

    def record_response(self):
        """Record that the endpoint sent bytes on any connection."""
        self.perform(self.health.on_answer(self._now_ms()))

    def record_timeout(self, connection):
        """Record that a request on a connection timed out."""
        self.perform(self.health.on_timeout(connection, self._now_ms()))

    async def query(self, *texts: str):
        """Run statements on the monitoring connection.

        Raises
        ------
        EndpointConnectionLost
            There is no connection, it was lost, or the statements timed out.
        """
        async with self._lock:
            connection = self._connection
            if not self._is_usable():
                raise EndpointConnectionLost("no monitoring connection")
            try:
                async with asyncio.timeout(self._timeout_ms / 1000):
                    steps = await connection.query(*texts)
            except TimeoutError as error:
                self._close_after_timeout(connection)
                raise EndpointConnectionLost(
                    f"no answer within {self._timeout_ms} ms"
                ) from error
            except asyncio.CancelledError:
                self._close(connection)
                raise
        if all(step.error is None for step in steps):
            self._record_answer()
        return steps

    def perform(self, actions):
        """Execute the actions of the health monitor in order."""
        for action in actions:
            _action_handlers[type(action)](self, action)

    @_on_action(SendProbe)
    def _send_probe(self, action):
        if self._probe_serving(self._answer_ms):
            return
        # A running statement shows the endpoint's health just as a probe
        # would, so none is sent.
        is_free = self._probe_ms is None and not self._lock.locked()
        if is_free and self._is_usable():
            self._probe_ms = self._now_ms()
            self._connection.probe(self._end_probe)

    @_on_action(TryNewConnection)
    def _try_new_connection(self, action):
        self._try_new()

    @_on_action(MarkOthersSuspect)
    def _mark_others_suspect(self, action):
        self._on_request_timeout(action.connection)

    @_on_action(HealthChanged)
    def _report_health(self, action):
        self._on_health(action.state)

    def _try_new(self):
        # A statement may time out after the owner has stopped.
        if self._is_stopped:
            return
        if self._is_attempting():
            self._attempt.cancel()
        self._attempt_ms = self._now_ms()
        self._attempt = asyncio.ensure_future(self._run_attempt())

    async def _run_attempt(self):
        try:
            async with asyncio.timeout(self._timeout_ms / 1000):
                connection = await self._open_checked()
        except EndpointRefused:
            # This task is still running; _try_new, which on_refused may
            # cause, must not cancel it.
            self._attempt = None
            self.perform(self.health.on_refused(self._now_ms()))
            return
        except (TimeoutError, EndpointConnectionLost):
            self._attempt = None
            self.perform(self.health.on_attempt_failed(self._now_ms()))
            return
        if self._connection is not None:
            self._connection.close()
        self._connection = connection
        self._probe_ms = None
        self._answer_ms = self._now_ms()
        self.perform(self.health.on_opened(self._answer_ms))

    async def _open_checked(self):
        """Open a connection that answers a statement without an error.

        A server that accepts connections but runs no statements is not
        usable.
        """
        connection = await self._open_connection()
        try:
            (step,) = await connection.query("SELECT 1")
            if step.error is not None:
                raise EndpointConnectionLost("the probe returned an error")
        except BaseException:
            connection.close()
            raise
        return connection

    @property
    def _timeout_ms(self):
        return 2 * self._settings.probe_interval_ms

    def _close_if_probe_is_late(self, now_ms):
        if (
            self._probe_ms is None
            or now_ms - self._probe_ms < self._timeout_ms
        ):
            return
        self._close_after_timeout(self._connection)

    def _close_lost(self):
        # A running statement may still have to read the last bytes.
        if self._connection is not None and not self._lock.locked():
            self._connection.close()

    def _close(self, connection):
        connection.close()
        if connection is self._connection:
            self._probe_ms = None

    def _close_after_timeout(self, connection):
        self._close(connection)
        # Answers that wait for replication depend on positions that are read
        # on this connection, so a new one must be opened now.
        self.record_timeout(_MONITOR_CONNECTION)

    def _end_probe(self, is_success):
        self._probe_ms = None
        if is_success:
            self._record_answer()

    def _record_answer(self):
        self._answer_ms = self._now_ms()
        self.record_response()

    def _is_usable(self):
        return self._connection is not None and self._connection.is_usable

    def _is_attempting(self):
        return self._attempt is not None and not self._attempt.done()
