"""Whether another proxy answers, judged while requests wait for it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

# Silence of a peer that has requests after which it is asked for a sign of
# life, and the time that it has for that.  The way to another region and
# back takes 24 ms.
_SILENCE_MS = 250.0
_PING_TIMEOUT_MS = 250.0
# Time between two looks at a peer with requests, and between two questions
# to a silent one.
_CHECK_INTERVAL_MS = 50.0
_SILENT_INTERVAL_MS = 300.0


class PeerHealth:
    """Finds out that a peer is frozen, cut off or gone.

    A connection to a machine that lost its power, or whose packets are
    dropped, shows no error for a long time.

    Parameters
    ----------
    ping : callable
        Coroutine that returns whether the peer answers within a time.
    on_unresponsive : callable
        Called when the peer has stopped answering.
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
        self._waiting_count = 0
        self._answer_ms = now_ms()
        self._task: asyncio.Task | None = None

    def record_request(self):
        """Record that a request was sent."""
        if not self._waiting_count:
            self._answer_ms = self._now_ms()
        self._waiting_count += 1
        self._watch()

    def record_answer(self):
        """Record bytes from the peer."""
        self._answer_ms = self._now_ms()
        self.is_unresponsive = False

    def record_end(self):
        """Record that a request waits no more."""
        self._waiting_count -= 1

    def record_connection_failure(self):
        """Record that the connection ended or could not be opened."""
        self.is_unresponsive = True
        self._watch()

    def close(self):
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    def _watch(self):
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        while self._waiting_count or self.is_unresponsive:
            if self.is_unresponsive:
                await asyncio.sleep(_SILENT_INTERVAL_MS / 1000)
                if await self._ping(_PING_TIMEOUT_MS):
                    self.record_answer()
                continue
            await asyncio.sleep(_CHECK_INTERVAL_MS / 1000)
            silent_ms = self._now_ms() - self._answer_ms
            if self._waiting_count and silent_ms >= _SILENCE_MS:
                await self._ask()

    async def _ask(self):
        if await self._ping(_PING_TIMEOUT_MS):
            self.record_answer()
        elif self._now_ms() - self._answer_ms >= _SILENCE_MS:
            self.is_unresponsive = True
            self._on_unresponsive()
