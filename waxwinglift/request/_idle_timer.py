"""Limits the pause between two statements of a transaction block."""

import asyncio
from collections.abc import Callable


class IdleTimer:
    """Calls a function once a pause has lasted too long.

    Parameters
    ----------
    on_idle : callable
    """

    def __init__(self, on_idle: Callable[[], None]):
        self._on_idle = on_idle
        self._handle: asyncio.TimerHandle | None = None

    def start(self, limit_ms: float):
        """Start a pause; 0 sets no limit."""
        if limit_ms <= 0:
            return
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(limit_ms / 1000, self._on_idle)

    def stop(self):
        """End the pause."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
