"""Accepts callers of protocols with typed statements."""

import asyncio
from collections.abc import Callable

from waxwinglift.connection import SessionId
from waxwinglift.connection._statement_session import StatementSession
from waxwinglift.process._listener import open_listener


class StatementCallers:
    """Accepts connections for an EntryServer.

    Parameters
    ----------
    entry : EntryServer
    make_connection : callable
        Called with a function ``accept`` and the `CallerGuard`.  Returns the
        asyncio protocol of a new connection, a `StatementCaller`, which calls
        ``accept(self)`` once the caller has connected.
    """

    def __init__(self, entry, make_connection: Callable):
        self._entry = entry
        self._make_connection = make_connection
        self._last_number = 0

    def find_statement(self, key) -> None:
        """Return None: these protocols have no cancel requests."""
        return None

    async def listen(self) -> asyncio.Server:
        """Start to listen and return the server."""
        settings = self._entry.settings
        guard = self._entry.guard
        return await open_listener(
            lambda: self._make_connection(self._accept, guard),
            settings.host,
            settings.port,
        )

    def _accept(self, connection):
        task = asyncio.ensure_future(
            self._entry.serve_connection(self._serve(connection))
        )
        task.add_done_callback(lambda _: connection.close())
        task.add_done_callback(_report_error)

    async def _serve(self, connection):
        self._last_number += 1
        session = StatementSession(
            self._entry.context,
            connection,
            lambda: self._entry.drain_phase,
        )
        with self._entry.track_session(SessionId(self._last_number), session):
            await session.serve()


def _report_error(task):
    """Report the error of a failed session; the others continue."""
    if not task.cancelled() and task.exception() is not None:
        task.get_loop().call_exception_handler(
            {"message": "session failed", "exception": task.exception()}
        )
