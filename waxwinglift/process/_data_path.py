"""Entry side of a proxy: accepts callers that speak PostgreSQL.

The database name is the pool.  Callers are trusted, or give the pool's
clear-text password, by ``EntrySettings.passwords``.  Every error that the
proxy itself reports has the detail ``verdict=...``; errors of an endpoint
are passed on as they came; docs/operations.md says what took effect.
"""

import asyncio
from collections.abc import Callable
import random

from opentelemetry import trace
from pygwire.messages import CancelRequest

from waxwinglift.connection import SessionId
from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.connection._cancel_key import SessionNumbers
from waxwinglift.connection._data_path_session import EntrySession
from waxwinglift.connection._data_path_session import protocol_failure
from waxwinglift.connection._data_path_session import with_timeout
from waxwinglift.connection._frontend import CallerConnection
from waxwinglift.connection._frontend import encode_failure
from waxwinglift.connection._wire import WireError
from waxwinglift.process._cancel_router import CancelRouter
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._data_path_route import EntryContext
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._data_path_types import Executors
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._data_path_types import RunningStatement
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._types import Address

_DRAIN_CHECK_S = 0.02
_BACKLOG_COUNT = 1024


class EntryServer:
    """Listens for callers and serves their sessions.

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
    ):
        self.settings = settings
        self._context = EntryContext(
            settings,
            view,
            executors,
            now_ms,
            metrics or NoMetrics(),
            tracer or trace.NoOpTracer(),
            rng or random.Random(),
        )
        self._server: asyncio.Server | None = None
        self._sessions: dict[SessionId, EntrySession] = {}
        self._tasks: set[asyncio.Task] = set()
        self._numbers = SessionNumbers(view.daemon, self._context.rng)
        self._cancels = CancelRouter(
            view, executors, self._sessions.get, self._context.metrics
        )
        self._is_draining = False

    @property
    def address(self) -> Address:
        """Address that the server listens on."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    @property
    def session_count(self) -> int:
        """Open sessions."""
        return len(self._sessions)

    def find_statement(self, key: CancelKey) -> RunningStatement | None:
        """Return what the session of a key runs here, None for nothing."""
        return self._cancels.find_statement(key)

    async def start(self):
        """Listen for callers."""
        self._server = await asyncio.start_server(
            self._accept,
            self.settings.host,
            self.settings.port,
            backlog=_BACKLOG_COUNT,
        )

    async def drain(self):
        """Finish what runs, refuse new work, close idle sessions.

        Returns when no session is left, or when the time that the settings
        allow has passed; ``stop`` then ends the others.
        """
        until_ms = self._context.now_ms() + self.settings.drain_timeout_ms
        self._is_draining = True
        for session in list(self._sessions.values()):
            if session.is_idle:
                session.close_for_drain()
        while self._sessions and self._context.now_ms() < until_ms:
            await asyncio.sleep(_DRAIN_CHECK_S)

    async def stop(self):
        """Close the listening socket and every session."""
        self._is_draining = True
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))
        self._context.close()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except OSError:
            # The caller has gone; its open transaction is rolled back.
            self._context.metrics.incr("entry.disconnected")
        except asyncio.CancelledError:
            if not self._is_draining:
                raise
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(self, reader, writer):
        settings = self.settings
        caller = CallerConnection(
            reader,
            writer,
            settings.message_limit_bytes,
            settings.write_buffer_bytes,
        )
        try:
            startup = await with_timeout(
                caller.read_startup(), settings.startup_timeout_ms
            )
            if isinstance(startup, CancelRequest):
                await self._cancel(startup)
            elif startup is not None:
                peer_host = writer.get_extra_info("peername")[0]
                await self._serve_session(caller, startup, peer_host)
        except WireError as error:
            self._context.metrics.incr("entry.bad_message")
            failure = protocol_failure(error)
            caller.flush(encode_failure(failure, "FATAL"))

    async def _serve_session(self, caller, startup, peer_host):
        number = self._numbers.take(self._sessions)
        session = EntrySession(
            self._context, caller, number, peer_host, lambda: self._is_draining
        )
        self._sessions[number] = session
        self._context.metrics.incr("entry.session")
        try:
            await session.serve(startup)
        finally:
            del self._sessions[number]

    async def _cancel(self, request):
        # The caller takes the end of its connection as the answer, so it is
        # closed only when the cancel can no longer reach a later statement.
        key = CancelKey(request.process_id, request.secret_key)
        await self._cancels.cancel(key)
