"""Monitoring connection to one endpoint: probes, polls and health."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from waxwinglift.connection import ConnectionId
from waxwinglift.connection import HealthState
from waxwinglift.connection._backend import EndpointConnection
from waxwinglift.connection._backend import EndpointConnectionLost
from waxwinglift.connection._backend import EndpointRefused
from waxwinglift.connection._silence import HealthChanged
from waxwinglift.connection._silence import HealthMonitor
from waxwinglift.connection._silence import SendProbe
from waxwinglift.connection._silence import SuspectSiblings
from waxwinglift.connection._silence import TryNewConnection
from waxwinglift.process import Registry
from waxwinglift.process._policy_settings import HealthSettings

# Id of the monitoring connection, which no pool contains.
_MONITOR_CONNECTION = ConnectionId(0)
# Methods that perform one type of health action.
_performers = Registry()
_performs = _performers.register


class EndpointMonitor:
    """Keeps one connection for probes and polls, and judges the health.

    Parameters
    ----------
    settings : HealthSettings
    open_connection : callable
        Opens a connection; raises EndpointRefused.
    now_ms : callable
    on_suspect : callable
        Called with the id of a silent connection.
    on_health : callable
        Called with each new HealthState.
    """

    def __init__(
        self,
        settings: HealthSettings,
        open_connection: Callable[[], Awaitable[EndpointConnection]],
        now_ms: Callable[[], float],
        on_suspect: Callable,
        on_health: Callable[[HealthState], None],
    ):
        self.health = HealthMonitor(settings)
        self._settings = settings
        self._open_connection = open_connection
        self._now_ms = now_ms
        self._on_suspect = on_suspect
        self._on_health = on_health
        self._connection: EndpointConnection | None = None
        self._lock = asyncio.Lock()
        self._attempt: asyncio.Task | None = None
        self._attempt_ms = float("-inf")
        self._probe: asyncio.Task | None = None

    def start(self):
        """Open the connection."""
        self._try_new()

    def stop(self):
        """Close the connection and stop the attempts."""
        for task in (self._attempt, self._probe):
            if task is not None:
                task.cancel()
        if self._connection is not None:
            self._connection.close()

    def tick(self):
        """Send the probes that are due and judge the silence."""
        self.perform(self.health.tick(self._now_ms()))
        is_gone = self._connection is None or not self._connection.is_usable
        is_due = (
            self._now_ms() - self._attempt_ms
            >= self._settings.probe_interval_ms
        )
        if is_gone and is_due and not self._is_running(self._attempt):
            self._try_new()

    def note_life(self):
        """Record bytes from the endpoint on any connection."""
        self.perform(self.health.on_answer(self._now_ms()))

    def note_silence(self, connection):
        """Record that a request on a connection got no answer in time."""
        self.perform(self.health.on_silent(connection, self._now_ms()))

    async def query(self, *texts: str):
        """Run statements on the monitoring connection.

        Raises
        ------
        EndpointConnectionLost
            There is no connection, or it gave no answer in time.
        """
        async with self._lock:
            connection = self._connection
            if connection is None or not connection.is_usable:
                raise EndpointConnectionLost("no monitoring connection")
            limit_ms = 2 * self._settings.probe_interval_ms
            try:
                async with asyncio.timeout(limit_ms / 1000):
                    steps = await connection.query(*texts)
            except TimeoutError as error:
                connection.close()
                # Held answers wait for polls, so a new connection is opened
                # at once.
                self.note_silence(_MONITOR_CONNECTION)
                raise EndpointConnectionLost("no answer in time") from error
            except asyncio.CancelledError:
                connection.close()
                raise
        if all(step.error is None for step in steps):
            self.note_life()
        return steps

    def perform(self, actions):
        """Perform the actions of the health monitor in order."""
        for action in actions:
            _performers[type(action)](self, action)

    @_performs(SendProbe)
    def _send_probe(self, action):
        if not self._is_running(self._probe):
            self._probe = asyncio.ensure_future(self._run_probe())

    @_performs(TryNewConnection)
    def _try_new_connection(self, action):
        self._try_new()

    @_performs(SuspectSiblings)
    def _suspect_siblings(self, action):
        self._on_suspect(action.connection)

    @_performs(HealthChanged)
    def _change_health(self, action):
        self._on_health(action.state)

    def _try_new(self):
        if self._is_running(self._attempt):
            self._attempt.cancel()
        self._attempt_ms = self._now_ms()
        self._attempt = asyncio.ensure_future(self._run_attempt())

    async def _run_attempt(self):
        limit_ms = 2 * self._settings.probe_interval_ms
        try:
            async with asyncio.timeout(limit_ms / 1000):
                connection = await self._open_checked()
        except EndpointRefused:
            # Attempts must not follow each other without a pause.
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
        self.perform(self.health.on_opened(self._now_ms()))

    async def _open_checked(self):
        """Open a connection that answers a statement without an error.

        A server that only accepts connections serves nobody.
        """
        connection = await self._open_connection()
        try:
            (step,) = await connection.query("SELECT 1")
            if step.error is not None:
                raise EndpointConnectionLost("the endpoint answers errors")
        except BaseException:
            connection.close()
            raise
        return connection

    async def _run_probe(self):
        try:
            await self.query("SELECT 1")
        except EndpointConnectionLost:
            return

    def _is_running(self, task):
        return task is not None and not task.done()
