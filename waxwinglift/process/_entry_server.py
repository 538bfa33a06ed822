"""Entry side of a proxy: accepts callers of one protocol."""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import random

from opentelemetry import trace

from waxwinglift.connection import SessionId
from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.process._drain_phase import DrainPhase
from waxwinglift.connection._protocol_registry import find_caller_protocol
from waxwinglift.process._caller_guard import CallerGuard
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._entry_context import EntryContext
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._data_path_types import Executors
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._data_path_types import RunningStatement
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._listener import close_listener
from waxwinglift.process._types import Address
from waxwinglift.request._endpoint_load import LoadBook

_DRAIN_CHECK_INTERVAL_S = 0.02
# A session that has not ended after this time is cancelled again, because
# `asyncio.wait_for` of Python 3.11 discards a cancellation that comes together
# with the end of the wait.
_CANCEL_INTERVAL_S = 0.05
# Longest time that a stop waits for the sessions.
STOP_TIMEOUT_S = 0.25

logger = logging.getLogger(__name__)


class EntryServer:
    """Listens for callers and tracks their sessions.

    Parameters
    ----------
    settings : EntrySettings
    view : FleetView
    executors : Executors
        Finds the owners, in this process or at other proxies.
    now_ms : callable
        Monotonic clock.
    metrics : Metrics
    tracer : opentelemetry.trace.Tracer
    rng : random.Random
        Used for routing and for the jitter of retries.
    loads : LoadBook, optional
        Reported loads of endpoints, shared with the owners of this process.
    """

    def __init__(
        self,
        settings: EntrySettings,
        view: FleetView,
        executors: Executors,
        *,
        now_ms: Callable[[], float] = monotonic_ms,
        metrics: Metrics | None = None,
        tracer: trace.Tracer | None = None,
        rng: random.Random | None = None,
        loads: LoadBook | None = None,
    ):
        self.settings = settings
        self.context = EntryContext(
            settings,
            view,
            executors,
            now_ms,
            metrics or NoMetrics(),
            tracer or trace.NoOpTracer(),
            rng or random.Random(),
            loads,
        )
        self.guard = CallerGuard(
            settings.caller_limits, now_ms, self.context.metrics
        )
        self.sessions: dict = {}
        self.drain_phase = DrainPhase.SERVING
        self._is_stopped = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._caller_protocol = find_caller_protocol(settings.protocol)(self)

    @property
    def address(self) -> Address:
        """Address that the server listens on."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    @property
    def is_draining(self) -> bool:
        """Whether the proxy shuts down and ends its sessions."""
        return self.drain_phase is not DrainPhase.SERVING

    @property
    def session_count(self) -> int:
        """Number of open sessions."""
        return len(self.sessions)

    def find_statement(self, key: CancelKey) -> RunningStatement | None:
        """Return the running statement of the key's session, or None."""
        return self._caller_protocol.find_statement(key)

    async def start(self):
        """Listen for callers."""
        self._server = await self._caller_protocol.listen()

    async def drain(self):
        """Finish running transactions, refuse new ones, close idle sessions.

        New callers are accepted for ``drain_linger_ms``, because the load
        balancer sends them until it notices that the proxy is not ready.
        Open transactions are ended after ``drain_timeout_ms``, but a statement
        that runs then is still answered.  Returns when no session is left or
        ``drain_answer_timeout_ms`` has passed too; ``stop`` ends the remaining
        sessions.
        """
        settings = self.settings
        limit_ms = self.context.now_ms() + settings.drain_timeout_ms
        if settings.drain_linger_ms:
            await asyncio.sleep(settings.drain_linger_ms / 1000)
            await close_listener(self._server)
        await self._end_sessions(DrainPhase.ENDING_IDLE, limit_ms)
        limit_ms += settings.drain_answer_timeout_ms
        await self._end_sessions(DrainPhase.ENDING_BLOCKS, limit_ms)

    async def stop(self):
        """Close the listening socket and every session.

        The callers of open transactions and of statements that run, or that
        have not been read, get a failure.
        """
        self.drain_phase = DrainPhase.ENDING_BLOCKS
        self._is_stopped = True
        if self._server is not None:
            await close_listener(self._server)
        self.context.is_stopping = True
        for session in list(self.sessions.values()):
            session.end_if_possible(self.drain_phase)
        await self._cancel_sessions()
        self.context.close()

    async def _cancel_sessions(self):
        """Cancel the tasks of all sessions until they end, or time is up."""
        limit_ms = self.context.now_ms() + 1000 * STOP_TIMEOUT_S
        while self._tasks and self.context.now_ms() < limit_ms:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=_CANCEL_INTERVAL_S)
        if self._tasks:
            logger.warning("%d sessions did not end", len(self._tasks))

    async def _end_sessions(self, phase, limit_ms):
        """End the sessions of a phase until none is left or it is over."""
        self.drain_phase = phase
        while self.sessions:
            for session in list(self.sessions.values()):
                session.end_if_possible(phase)
            if self.context.now_ms() >= limit_ms:
                return
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)

    async def serve_connection(self, coroutine):
        """Serve one connection in the current task until it ends.

        A connection that was accepted just before ``stop`` is not served; the
        code that calls this closes it.
        """
        if self._is_stopped:
            coroutine.close()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await coroutine
        except OSError:
            # The caller has disconnected; its open transaction is rolled back.
            self.context.metrics.incr("entry.disconnected")
        except asyncio.CancelledError:
            if not self.is_draining:
                raise
        finally:
            self._tasks.discard(task)

    @contextlib.contextmanager
    def track_session(self, session_id: SessionId, session):
        """Register a session while the context is open."""
        self.sessions[session_id] = session
        self.context.metrics.incr("entry.session")
        try:
            yield
        finally:
            del self.sessions[session_id]
