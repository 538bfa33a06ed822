"""Decides which callers are paused, closed or refused.

The decisions use only the byte counts and times that the connections report;
`CallerGuard` carries them out.
"""

import dataclasses
import enum
from typing import NewType

from waxwinglift.process._caller_limit_settings import CallerLimitSettings

CallerKey = NewType("CallerKey", int)

# Part of the budget above which callers with complete messages are paused.
_PAUSE_FRACTION = 0.5


class CallerVerb(enum.Enum):
    """What happens to a connection."""

    PAUSE = "pause"
    RESUME = "resume"
    CLOSE = "close"


class CloseReason(enum.Enum):
    """Limit for which a connection is closed."""

    BUDGET = "budget"
    CONNECTIONS = "connections"
    STARTUP = "startup"
    SLOW_MESSAGE = "slow_message"
    UNREAD = "unread"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAction:
    """Action on one connection; only ``CLOSE`` has a reason."""

    verb: CallerVerb
    key: CallerKey
    reason: CloseReason | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBytes:
    """Bytes that a connection holds.

    ``messages_count`` counts the complete messages so far.
    """

    incomplete_bytes: int = 0
    complete_bytes: int = 0
    unsent_bytes: int = 0
    messages_count: int = 0

    @property
    def total_bytes(self) -> int:
        """All bytes held."""
        received_bytes = self.incomplete_bytes + self.complete_bytes
        return received_bytes + self.unsent_bytes


@dataclasses.dataclass(slots=True)
class _Caller:
    opened_ms: float
    held: HeldBytes = HeldBytes()
    is_started: bool = False
    is_paused: bool = False
    # Start of the incomplete message, or the last time without one.
    incomplete_since_ms: float = 0.0
    # Last time at which unsent bytes were read, or there were none.
    read_ms: float = 0.0


class CallerLimits:
    """Limits on all callers of one process.

    Parameters
    ----------
    settings : CallerLimitSettings
    connection_limit_count : int
    """

    def __init__(
        self, settings: CallerLimitSettings, connection_limit_count: int
    ):
        self.held_bytes = 0
        self.connection_limit_count = connection_limit_count
        self._settings = settings
        # In the order in which they were opened.
        self._callers: dict[CallerKey, _Caller] = {}
        self._paused: set[CallerKey] = set()
        # Callers to which a time limit may apply; idle sessions are not here.
        self._timed: set[CallerKey] = set()

    @property
    def callers_count(self) -> int:
        """Number of open connections."""
        return len(self._callers)

    def add(self, key: CallerKey, now_ms: float) -> list[CallerAction]:
        """Add a connection; above the limit, another one or it is closed.

        Connections that have not started a session give way, the oldest
        first.  Sessions are not closed, because they may be idle for long.
        """
        self._callers[key] = _Caller(
            now_ms, incomplete_since_ms=now_ms, read_ms=now_ms
        )
        self._timed.add(key)
        if len(self._callers) <= self.connection_limit_count:
            return []
        waiting = (k for k, c in self._callers.items() if not c.is_started)
        return [self._close(next(waiting), CloseReason.CONNECTIONS)]

    def start(self, key: CallerKey):
        """Record that a connection has started its session."""
        if key in self._callers:
            self._callers[key].is_started = True
            self._update_timed(key)

    def unsent_keys(self) -> list[CallerKey]:
        """Return the connections with unsent answers."""
        callers = self._callers
        return [k for k in self._timed if callers[k].held.unsent_bytes]

    def remove(self, key: CallerKey, now_ms: float) -> list[CallerAction]:
        """Remove a connection that has ended."""
        if key not in self._callers:
            return []
        self._forget(key)
        return self._resume(now_ms)

    def record(
        self, key: CallerKey, held: HeldBytes, now_ms: float
    ) -> list[CallerAction]:
        """Record what a connection holds; return the actions that follow."""
        caller = self._callers.get(key)
        if caller is None:
            return []
        self._record_progress(caller, held, now_ms)
        self.held_bytes += held.total_bytes - caller.held.total_bytes
        caller.held = held
        self._update_timed(key)
        actions = self._close_largest()
        if key in self._callers and self._is_over(caller):
            actions += self._pause(key, caller)
        return actions + self._resume(now_ms)

    def expire(self, now_ms: float) -> list[CallerAction]:
        """Return the closures of connections that are out of time."""
        expired = [
            (key, reason)
            for key in sorted(self._timed)
            if (reason := self._expiry(self._callers[key], now_ms)) is not None
        ]
        actions = [self._close(key, reason) for key, reason in expired]
        return actions + self._resume(now_ms)

    def _record_progress(self, caller, held, now_ms):
        is_new = held.messages_count != caller.held.messages_count
        if is_new or not caller.held.incomplete_bytes:
            caller.incomplete_since_ms = now_ms
        is_read = held.unsent_bytes < caller.held.unsent_bytes
        if is_read or not caller.held.unsent_bytes:
            caller.read_ms = now_ms

    def _expiry(self, caller, now_ms):
        """Return the reason for which a caller is out of time, or None."""
        settings = self._settings
        held = caller.held
        if held.unsent_bytes:
            unread_ms = now_ms - caller.read_ms
            is_late = unread_ms >= settings.read_timeout_ms
            return CloseReason.UNREAD if is_late else None
        if not caller.is_started:
            age_ms = now_ms - caller.opened_ms
            if age_ms >= settings.startup_timeout_ms:
                return CloseReason.STARTUP
        # A paused caller cannot finish its message.
        if held.incomplete_bytes and not caller.is_paused:
            age_ms = now_ms - caller.incomplete_since_ms
            if age_ms >= settings.message_timeout_ms:
                return CloseReason.SLOW_MESSAGE
        return None

    def _close_largest(self):
        if self.held_bytes <= self._settings.budget_bytes:
            return []
        actions = []
        by_size = sorted(
            self._callers,
            key=lambda key: self._callers[key].held.total_bytes,
            reverse=True,
        )
        for key in by_size:
            if self.held_bytes <= self._settings.budget_bytes:
                break
            actions.append(self._close(key, CloseReason.BUDGET))
        return actions

    def _close(self, key, reason):
        self._forget(key)
        return CallerAction(CallerVerb.CLOSE, key, reason)

    def _forget(self, key):
        caller = self._callers.pop(key)
        self._paused.discard(key)
        self._timed.discard(key)
        self.held_bytes -= caller.held.total_bytes

    def _update_timed(self, key):
        caller = self._callers[key]
        held = caller.held
        is_idle = not (held.incomplete_bytes or held.unsent_bytes)
        if caller.is_started and is_idle:
            self._timed.discard(key)
        else:
            self._timed.add(key)

    def _is_over(self, caller):
        """Whether reading from a caller pauses.

        Without a complete message or an unsent answer a pause would last for
        ever, because only the caller can end it.
        """
        held = caller.held
        if not (held.complete_bytes or held.unsent_bytes):
            return False
        threshold_bytes = _PAUSE_FRACTION * self._settings.budget_bytes
        return (
            held.total_bytes > self._settings.caller_limit_bytes
            or self.held_bytes > threshold_bytes
        )

    def _pause(self, key, caller):
        if caller.is_paused:
            return []
        caller.is_paused = True
        self._paused.add(key)
        return [CallerAction(CallerVerb.PAUSE, key)]

    def _resume(self, now_ms):
        actions = []
        for key in sorted(self._paused):
            caller = self._callers[key]
            if self._is_over(caller):
                continue
            caller.is_paused = False
            self._paused.discard(key)
            caller.incomplete_since_ms = now_ms
            actions.append(CallerAction(CallerVerb.RESUME, key))
        return actions
