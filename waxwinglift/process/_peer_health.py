"""Detects that another proxy does not answer pending requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

# Time without an answer to pending requests after which a peer is pinged, and
# time limit for the answer to the ping.  A round trip to another region takes
# 24 ms.
_PING_AFTER_MS = 250.0
_PING_TIMEOUT_MS = 250.0
# Interval of the checks while requests are pending, and of the pings while the
# peer does not answer.
_CHECK_INTERVAL_MS = 50.0
_PING_INTERVAL_MS = 300.0


class PeerHealth:
    """Detects that a peer is frozen, isolated or down.

    ``is_unresponsive`` is true from a failed ping or a lost connection until
    the peer answers again.

    A connection to a VM that has lost power, or whose packets are dropped,
    reports no error for a long time.

    Parameters
    ----------
    ping : callable
        Coroutine function; returns whether the peer answers within a timeout
        in milliseconds.
    on_unresponsive : callable
        Called when the peer does not answer a ping while requests are
        pending.
    now_ms : callable
    """

    def __init__(
        self,
        ping: Callable[[float], Awaitable[bool]],
        on_unresponsive: Callable[[], None],
        now_ms: Callable[[], float],
    ):
        self.is_unresponsive = False
        self._ping = ping
        self._on_unresponsive = on_unresponsive
        self._now_ms = now_ms
        self._pending_count = 0
        self._last_answer_ms = now_ms()
        self._task: asyncio.Task | None = None

    def record_request(self):
        """Record that a request was sent."""
        if not self._pending_count:
            self._last_answer_ms = self._now_ms()
        self._pending_count += 1
        self._start_checks()

    def record_answer(self):
        """Record that the peer has sent data."""
        self._last_answer_ms = self._now_ms()
        self.is_unresponsive = False

    def record_request_end(self):
        """Record that a request has ended, answered or not."""
        self._pending_count -= 1

    def record_connection_failure(self):
        """Record that the connection ended or could not be opened."""
        self.is_unresponsive = True
        self._start_checks()

    def close(self):
        """Stop the checks."""
        if self._task is not None:
            self._task.cancel()

    def _start_checks(self):
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        while self._pending_count or self.is_unresponsive:
            if self.is_unresponsive:
                await asyncio.sleep(_PING_INTERVAL_MS / 1000)
                if await self._ping(_PING_TIMEOUT_MS):
                    self.record_answer()
                continue
            await asyncio.sleep(_CHECK_INTERVAL_MS / 1000)
            unanswered_ms = self._now_ms() - self._last_answer_ms
            if self._pending_count and unanswered_ms >= _PING_AFTER_MS:
                await self._check_by_ping()

    async def _check_by_ping(self):
        if await self._ping(_PING_TIMEOUT_MS):
            self.record_answer()
        elif self._now_ms() - self._last_answer_ms >= _PING_AFTER_MS:
            self.is_unresponsive = True
            self._on_unresponsive()
