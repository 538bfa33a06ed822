"""Tests which callers are paused and closed under each kind of load."""

import pytest

from waxwinglift.process._caller_limit_settings import CallerLimitSettings
from waxwinglift.process._caller_limits import CallerAction
from waxwinglift.process._caller_limits import CallerKey
from waxwinglift.process._caller_limits import CallerLimits
from waxwinglift.process._caller_limits import CallerVerb
from waxwinglift.process._caller_limits import CloseReason
from waxwinglift.process._caller_limits import HeldBytes

_KIB = 2**10
_SETTINGS = CallerLimitSettings(
    budget_bytes=1000 * _KIB,
    caller_limit_bytes=200 * _KIB,
    message_timeout_ms=1000,
    read_timeout_ms=500,
    startup_timeout_ms=2000,
)
_CONNECTION_LIMIT_COUNT = 3
_A, _B, _C, _D = map(CallerKey, range(4))


def _pause(key):
    return CallerAction(CallerVerb.PAUSE, key)


def _resume(key):
    return CallerAction(CallerVerb.RESUME, key)


def _close(key, reason):
    return CallerAction(CallerVerb.CLOSE, key, reason)


def _incomplete(kib, messages_count=0):
    return HeldBytes(
        incomplete_bytes=kib * _KIB, messages_count=messages_count
    )


def _complete(kib):
    return HeldBytes(complete_bytes=kib * _KIB)


def _unsent(kib):
    return HeldBytes(unsent_bytes=kib * _KIB)


def _add(key):
    return lambda limits, now_ms: limits.add(key, now_ms)


def _start(key):
    return lambda limits, now_ms: limits.start(key) or []


def _record(key, held):
    return lambda limits, now_ms: limits.record(key, held, now_ms)


def _remove(key):
    return lambda limits, now_ms: limits.remove(key, now_ms)


def _expire():
    return lambda limits, now_ms: limits.expire(now_ms)


def _session(key):
    return [(0, _add(key)), (0, _start(key))]


@pytest.mark.parametrize(
    "events, expected",
    [
        pytest.param(
            [*_session(_A), (0, _record(_A, _incomplete(900)))],
            [],
            id="one large message without other load is received",
        ),
        pytest.param(
            [
                *_session(_A),
                *_session(_B),
                (0, _record(_A, _incomplete(400))),
                (0, _record(_B, _incomplete(700))),
            ],
            [_close(_B, CloseReason.BUDGET)],
            id="unfinished messages: the largest is closed",
        ),
        pytest.param(
            [
                *_session(_A),
                (0, _record(_A, _complete(300))),
                (1, _record(_A, _complete(100))),
            ],
            [_pause(_A), _resume(_A)],
            id="messages sent ahead: one caller waits",
        ),
        pytest.param(
            [
                *_session(_A),
                *_session(_B),
                (0, _record(_A, _incomplete(490))),
                (0, _record(_B, _complete(20))),
                (1, _remove(_A)),
            ],
            [_pause(_B), _resume(_B)],
            id="half of the budget: those with complete messages wait",
        ),
        pytest.param(
            [
                *_session(_A),
                (0, _record(_A, _incomplete(10))),
                (900, _record(_A, _incomplete(10, 1))),
                (1800, _expire()),
                (1900, _expire()),
            ],
            [_close(_A, CloseReason.SLOW_MESSAGE)],
            id="slow sender: the time counts for each message",
        ),
        pytest.param(
            [
                *_session(_A),
                (0, _record(_A, HeldBytes(_KIB, 300 * _KIB))),
                (1100, _expire()),
                (1200, _record(_A, _incomplete(1))),
                (2100, _expire()),
                (2200, _expire()),
            ],
            [
                _pause(_A),
                _resume(_A),
                _close(_A, CloseReason.SLOW_MESSAGE),
            ],
            id="slow sender: time in which it is paused does not count",
        ),
        pytest.param(
            [
                *_session(_A),
                (0, _record(_A, _unsent(100))),
                (400, _record(_A, _unsent(50))),
                (800, _expire()),
                (900, _expire()),
            ],
            [_close(_A, CloseReason.UNREAD)],
            id="slow reader: any progress counts",
        ),
        pytest.param(
            [
                (0, _add(_A)),
                (10, _add(_B)),
                (10, _start(_B)),
                (20, _add(_C)),
                (30, _add(_D)),
            ],
            [_close(_A, CloseReason.CONNECTIONS)],
            id="silent connections: the oldest one gives way",
        ),
        pytest.param(
            [*_session(_A), *_session(_B), *_session(_C), (30, _add(_D))],
            [_close(_D, CloseReason.CONNECTIONS)],
            id="too many sessions: the new connection is refused",
        ),
        pytest.param(
            [(0, _add(_A)), *_session(_B), (2000, _expire())],
            [_close(_A, CloseReason.STARTUP)],
            id="an idle session stays, a silent connection does not",
        ),
    ],
)
def test_actions(events, expected):
    """Only the callers that cause the load are paused or closed."""
    limits = CallerLimits(_SETTINGS, _CONNECTION_LIMIT_COUNT)
    actions = []
    for now_ms, event in events:
        actions += event(limits, now_ms)
    assert actions == expected


@pytest.mark.parametrize(
    "descriptors_count, limit_count, expected_count",
    [(1605, 0, 1005), (96, 0, 48), (1605, 100, 100), (96, 100, 48)],
)
def test_connection_limit(descriptors_count, limit_count, expected_count):
    """Callers must not use the descriptors of endpoints and proxies."""
    settings = CallerLimitSettings(connection_limit_count=limit_count)
    assert settings.connection_limit(descriptors_count) == expected_count
