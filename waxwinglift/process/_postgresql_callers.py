"""Listens for callers that speak PostgreSQL.

The database name is the pool.  Callers are trusted, or give the pool's
clear-text password, by ``EntrySettings.passwords``.  Every error that the
proxy itself reports has the detail ``verdict=...``; errors of an endpoint
are passed on as they came; docs/OPERATIONS.md says what took effect.
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
from waxwinglift.connection._wire import WireError
from waxwinglift.process._cancel_router import CancelRouter
from waxwinglift.process._data_path_types import RunningStatement

_BACKLOG_COUNT = 1024


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
        self._numbers = SessionIdAllocator(context.view.daemon, context.rng)
        self._cancels = CancelRouter(
            context.view,
            context.executors,
            entry.sessions.get,
            context.metrics,
        )

    def find_statement(self, key: CancelKey) -> RunningStatement | None:
        """Return what the session of a key runs here, None for nothing."""
        return self._cancels.find_statement(key)

    async def listen(self) -> asyncio.Server:
        """Return the listening server."""
        settings = self._entry.settings
        return await asyncio.start_server(
            self._accept,
            settings.host,
            settings.port,
            backlog=_BACKLOG_COUNT,
        )

    async def _accept(self, reader, writer):
        try:
            await self._entry.run(self._serve(reader, writer))
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        settings = self._entry.settings
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
            self._entry.context.metrics.incr("entry.bad_message")
            failure = protocol_failure(error)
            caller.flush(encode_failure(failure, "FATAL"))

    async def _serve_session(self, caller, startup, peer_host):
        number = self._numbers.allocate(self._entry.sessions)
        session = EntrySession(
            self._entry.context,
            caller,
            number,
            peer_host,
            lambda: self._entry.is_draining,
        )
        with self._entry.track_session(number, session):
            await session.serve(startup)

    async def _cancel(self, request):
        # The caller takes the end of its connection as the answer, so it is
        # closed only when the cancel can no longer reach a later statement.
        key = CancelKey(request.process_id, request.secret_key)
        await self._cancels.cancel(key)
