"""Accepts callers that use the PostgreSQL protocol.

The database name selects the pool.  If ``EntrySettings.passwords`` contains
the pool, callers must send its clear-text password; otherwise they are
trusted.  Errors of the proxy itself have the detail ``verdict=...``; errors
of an endpoint are forwarded unchanged.  docs/OPERATIONS.md describes which
statements may have taken effect.
"""

import asyncio

from pygwire.messages import CancelRequest

from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.connection._cancel_key import SessionIdAllocator
from waxwinglift.connection._data_path_session import EntrySession
from waxwinglift.connection._data_path_session import protocol_failure
from waxwinglift.connection._data_path_session import with_timeout
from waxwinglift.connection._frontend import CallerConnection
from waxwinglift.connection._frontend import encode_failure
from waxwinglift.connection._protocol_registry import caller_protocol
from waxwinglift.connection._unread_close import close_transport
from waxwinglift.connection._wire import WireError
from waxwinglift.process._cancel_router import CancelRouter
from waxwinglift.process._data_path_types import RunningStatement
from waxwinglift.process._listener import open_listener


@caller_protocol("postgresql")
class PostgresCallers:
    """Accepts PostgreSQL connections for an EntryServer.

    Parameters
    ----------
    entry : EntryServer
    """

    def __init__(self, entry):
        self._entry = entry
        context = entry.context
        self._session_ids = SessionIdAllocator(
            context.view.daemon, context.rng
        )
        self._cancel_router = CancelRouter(
            context.view,
            context.executors,
            entry.sessions.get,
            context.metrics,
        )

    def find_statement(self, key: CancelKey) -> RunningStatement | None:
        """Return the running statement of the key's session, or None."""
        return self._cancel_router.find_statement(key)

    async def listen(self) -> asyncio.Server:
        """Return the listening server."""
        settings = self._entry.settings
        return await open_listener(
            self._make_protocol, settings.host, settings.port
        )

    def _make_protocol(self):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(loop=loop)
        return asyncio.StreamReaderProtocol(reader, self._accept, loop)

    async def _accept(self, reader, writer):
        try:
            await self._entry.serve_connection(self._serve(reader, writer))
        finally:
            close_transport(writer.transport)

    async def _serve(self, reader, writer):
        settings = self._entry.settings
        caller = CallerConnection(
            reader,
            writer,
            settings.message_limit_bytes,
            settings.write_buffer_bytes,
            self._entry.guard,
        )
        try:
            startup = await with_timeout(
                caller.read_startup(), settings.startup_timeout_ms
            )
            if isinstance(startup, CancelRequest):
                await self._cancel(startup)
            elif startup is not None:
                caller_host = writer.get_extra_info("peername")[0]
                await self._serve_session(caller, startup, caller_host)
        except WireError as error:
            self._entry.context.metrics.incr("entry.bad_message")
            failure = protocol_failure(error)
            caller.flush(encode_failure(failure, "FATAL"))
        finally:
            caller.stop_counting()

    async def _serve_session(self, caller, startup, caller_host):
        session_id = self._session_ids.allocate(self._entry.sessions)
        session = EntrySession(
            self._entry.context,
            caller,
            session_id,
            caller_host,
            lambda: self._entry.is_draining,
        )
        with self._entry.track_session(session_id, session):
            await session.serve(startup)

    async def _cancel(self, request):
        # A caller treats the end of this connection as the end of its request,
        # so the connection stays open until the request can no longer cancel
        # a later statement.
        key = CancelKey(request.process_id, request.secret_key)
        await self._cancel_router.cancel(key)
