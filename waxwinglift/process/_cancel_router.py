"""Takes a caller's cancel request to the proxy that has the session."""

import asyncio
import hmac
from collections.abc import Callable

from waxwinglift.connection import SessionId
from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.connection._cancel_key import proxies_of
from waxwinglift.connection._data_path_session import EntrySession
from waxwinglift.process._data_path_types import Executors
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._data_path_types import RunningStatement
from waxwinglift.process._fleet_view import FleetView

# Cancel requests need no password, so that forged ones could pile up.
_FORWARDED_LIMIT_COUNT = 256


class CancelRouter:
    """Cancels statements of this proxy's sessions, and those of others.

    Parameters
    ----------
    view : FleetView
    executors : Executors
        Reach the other proxies.
    find_session : callable
        Returns the session of a process id, None when there is none.
    metrics : Metrics
    """

    def __init__(
        self,
        view: FleetView,
        executors: Executors,
        find_session: Callable[[SessionId], EntrySession | None],
        metrics: Metrics,
    ):
        self._view = view
        self._executors = executors
        self._find_session = find_session
        self._metrics = metrics
        self._forwarded_count = 0

    async def cancel(self, key: CancelKey):
        """Cancel what the key's session runs now, wherever it is.

        Returns once it has been cancelled, or no proxy has such a session
        or answers in time.
        """
        if self._session_of(key) is None:
            await self._forward(key)
            return
        statement = self.find_statement(key)
        if statement is not None:
            statement.cancel()

    def find_statement(self, key: CancelKey) -> RunningStatement | None:
        """Return what a session of this proxy runs now, None for nothing."""
        session = self._session_of(key)
        statement = None if session is None else session.running_statement()
        if statement is not None:
            self._metrics.incr("entry.cancel")
        return statement

    def _session_of(self, key):
        session = self._find_session(SessionId(key.process_id))
        if session is None:
            return None
        is_right = hmac.compare_digest(session.secret_key, key.secret_key)
        return session if is_right else None

    async def _forward(self, key):
        proxies = proxies_of(key, self._view.fleet.daemons)
        others = [proxy for proxy in proxies if proxy != self._view.daemon]
        if not others:
            self._metrics.incr("entry.cancel_unknown")
            return
        if self._forwarded_count >= _FORWARDED_LIMIT_COUNT:
            self._metrics.incr("entry.cancel_dropped")
            return
        self._metrics.incr("entry.cancel_forwarded")
        self._forwarded_count += 1
        try:
            await asyncio.gather(
                *(self._executors.cancel(other, key) for other in others)
            )
        finally:
            self._forwarded_count -= 1
