"""Limits the idle time between two statements of a transaction block."""

import asyncio
from collections.abc import Callable


class IdleTimer:
    """Calls a function when a transaction block has been idle too long.

    Parameters
    ----------
    on_idle : callable
        Called without arguments once the limit has passed.
    """

    def __init__(self, on_idle: Callable[[], None]):
        self._on_idle = on_idle
        self._handle: asyncio.TimerHandle | None = None

    def start(self, limit_ms: float):
        """Start the timer; do nothing if the limit is 0."""
        if limit_ms <= 0:
            return
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(limit_ms / 1000, self._on_idle)

    def stop(self):
        """Stop the timer if it runs."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
