"""Carries out the limits on callers at their connections."""

import asyncio
import collections
from collections.abc import Callable
import itertools
import logging
import resource
from typing import Protocol

from waxwinglift.process._caller_limit_settings import CallerLimitSettings
from waxwinglift.process._caller_limits import CallerKey
from waxwinglift.process._caller_limits import CallerLimits
from waxwinglift.process._caller_limits import CallerVerb
from waxwinglift.process._caller_limits import HeldBytes
from waxwinglift.process._data_path_types import Metrics

logger = logging.getLogger(__name__)

# Interval at which time limits are checked and closures are logged.
_TICK_S = 0.5


class GuardedConnection(Protocol):
    """Connection whose bytes are counted."""

    def held_bytes(self) -> HeldBytes:
        """Return what the connection holds now."""

    def hold_reading(self, is_held: bool):
        """Pause reading from the caller, or allow it again."""

    def abort(self):
        """Close the connection and discard what it holds."""


class CallerGuard:
    """Counts the bytes of all callers' connections and enforces the limits.

    Parameters
    ----------
    settings : CallerLimitSettings
    now_ms : callable
        Monotonic clock.
    metrics : Metrics
    name : str
        First part of the counters' names.
    """

    def __init__(
        self,
        settings: CallerLimitSettings,
        now_ms: Callable[[], float],
        metrics: Metrics,
        name: str = "entry",
    ):
        descriptors_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._limits = CallerLimits(
            settings, settings.connection_limit(descriptors_count)
        )
        self._settings = settings
        self._now_ms = now_ms
        self._metrics = metrics
        self._name = name
        self._keys = itertools.count(1)
        self._connections: dict[CallerKey, GuardedConnection] = {}
        self._closed = collections.Counter()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, connection: GuardedConnection) -> CallerKey:
        """Count a new connection, which may be closed at once."""
        key = CallerKey(next(self._keys))
        self._connections[key] = connection
        self._carry_out(self._limits.add(key, self._now_ms()))
        if self._timer is None:
            self._set_timer()
        return key

    def start(self, key: CallerKey):
        """Record that a connection has started its session."""
        self._limits.start(key)

    def update(self, key: CallerKey):
        """Count what a connection holds now."""
        connection = self._connections.get(key)
        if connection is not None:
            held = connection.held_bytes()
            self._carry_out(self._limits.record(key, held, self._now_ms()))

    def remove(self, key: CallerKey):
        """Stop to count a connection that has ended."""
        if self._connections.pop(key, None) is not None:
            self._carry_out(self._limits.remove(key, self._now_ms()))

    def _carry_out(self, actions):
        for action in actions:
            if action.verb is CallerVerb.CLOSE:
                connection = self._connections.pop(action.key, None)
                self._closed[action.reason] += 1
                name = f"{self._name}.closed.{action.reason.value}"
                self._metrics.incr(name)
                if connection is not None:
                    connection.abort()
                continue
            connection = self._connections.get(action.key)
            if connection is not None:
                is_held = action.verb is CallerVerb.PAUSE
                connection.hold_reading(is_held)

    def _set_timer(self):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_TICK_S, self._tick)

    def _tick(self):
        self._timer = None
        # Unsent bytes shrink without a call of the connection.
        for key in self._limits.unsent_keys():
            self.update(key)
        self._carry_out(self._limits.expire(self._now_ms()))
        self._log_closed()
        if self._connections:
            self._set_timer()

    def _log_closed(self):
        """Write one line for each reason, since crowds come at once."""
        closed, self._closed = self._closed, collections.Counter()
        for reason, count in closed.items():
            logger.warning(
                "closed %d connections of callers for the limit %s; now "
                "%d of %d bytes are held, %d of %d connections are open",
                count,
                reason.value,
                self._limits.held_bytes,
                self._settings.budget_bytes,
                self._limits.callers_count,
                self._limits.connection_limit_count,
            )
