"""Routes cancel requests of callers to the proxy that has the session."""

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

# Limit on concurrent forwarded requests.  A cancel request needs no password,
# so an attacker could send any number of them.
_FORWARDED_LIMIT_COUNT = 256


class CancelRouter:
    """Cancels statements of this proxy's sessions; forwards other requests.

    Parameters
    ----------
    view : FleetView
    executors : Executors
        Used to reach the other proxies.
    find_session : callable
        Returns the session with a process id, or None.
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
        """Cancel the running statement of the key's session.

        If this proxy has no such session, the request is forwarded to the
        proxies that may have issued the key.  Returns when the statement has
        been cancelled, when no proxy has the session, or when the other
        proxies have not answered in time.
        """
        if self._find_matching_session(key) is None:
            await self._forward(key)
            return
        statement = self.find_statement(key)
        if statement is not None:
            statement.cancel()

    def find_statement(self, key: CancelKey) -> RunningStatement | None:
        """Return the running statement of the key's session, or None."""
        session = self._find_matching_session(key)
        statement = None if session is None else session.running_exchange()
        if statement is not None:
            self._metrics.incr("entry.cancel")
        return statement

    def _find_matching_session(self, key):
        session = self._find_session(SessionId(key.process_id))
        if session is None:
            return None
        is_match = hmac.compare_digest(session.secret_key, key.secret_key)
        return session if is_match else None

    async def _forward(self, key):
        proxies = proxies_of(key, self._view.fleet.daemons)
        other_proxies = [
            proxy for proxy in proxies if proxy != self._view.daemon
        ]
        if not other_proxies:
            self._metrics.incr("entry.cancel_unknown")
            return
        if self._forwarded_count >= _FORWARDED_LIMIT_COUNT:
            self._metrics.incr("entry.cancel_dropped")
            return
        self._metrics.incr("entry.cancel_forwarded")
        self._forwarded_count += 1
        try:
            await asyncio.gather(
                *(
                    self._executors.cancel(other_proxy, key)
                    for other_proxy in other_proxies
                )
            )
        finally:
            self._forwarded_count -= 1
