"""Tests what a process concludes while it is short of processor time."""

import random

import pytest

from waxwinglift.connection import HealthState
from waxwinglift.connection._health_monitor import HealthMonitor
from waxwinglift.connection._health_monitor import TryNewConnection
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._loop_lag import LoopLag
from waxwinglift.process._policy_settings import SheddingSettings
from waxwinglift.request._load_shedder import LoadShedder

_TICK_MS = 50.0


class Clock:
    """Clock that the test moves."""

    def __init__(self):
        self.now_ms = 0.0

    def __call__(self):
        return self.now_ms


def _loop_lag(clock):
    shedder = LoadShedder(SheddingSettings(), random.Random(1))
    shedder.ranks_count = 3
    return LoopLag(shedder, clock, NoMetrics()), shedder


@pytest.mark.parametrize("lag_ms", [0.0, 100.0, 250.0, 900.0])
def test_late_process_does_not_report_its_endpoint_down(lag_ms):
    """Answers that wait in the process's own sockets are not missing.

    Owners short of processor time reported their servers down, and control
    replaced primaries that worked.  The endpoint answers 400 ms after the
    process has had time to read.
    """
    clock = Clock()
    loop_lag, _ = _loop_lag(clock)
    monitor = HealthMonitor()
    monitor.on_answer(loop_lag.awake_ms())
    had_time_ms = 0.0
    while had_time_ms < 400.0:
        loop_lag.expect(_TICK_MS)
        clock.now_ms += _TICK_MS + lag_ms
        had_time_ms += _TICK_MS
        loop_lag.observe()
        monitor.tick(loop_lag.awake_ms())
    assert monitor.state is not HealthState.DOWN


def test_silent_endpoint_is_reported_down_by_a_late_process():
    """A late process must still find an endpoint that is really down."""
    clock = Clock()
    loop_lag, _ = _loop_lag(clock)
    monitor = HealthMonitor()
    monitor.on_answer(0.0)
    attempts_count = 0
    for _ in range(40):
        loop_lag.expect(_TICK_MS)
        clock.now_ms += _TICK_MS + 100.0
        loop_lag.observe()
        actions = monitor.tick(loop_lag.awake_ms())
        attempts_count += sum(
            isinstance(action, TryNewConnection) for action in actions
        )
    assert attempts_count
    assert monitor.state is HealthState.DOWN


@pytest.mark.parametrize(
    "lags_ms, refuses_least_urgent",
    [
        ((5.0,) * 40, False),
        ((100.0,) + (2.0,) * 10, False),
        ((100.0,) * 20, True),
        ((100.0,) * 20 + (0.0,) * 40, False),
    ],
    ids=["spare time", "one late timer", "standing lag", "recovered"],
)
def test_only_a_standing_lag_refuses_requests(lags_ms, refuses_least_urgent):
    """A single late timer must not refuse requests, a standing lag must."""
    clock = Clock()
    loop_lag, shedder = _loop_lag(clock)
    for lag_ms in lags_ms:
        loop_lag.expect(_TICK_MS)
        clock.now_ms += _TICK_MS + lag_ms
        loop_lag.observe()
    refusals_count = sum(
        shedder.refusal_ms(2, 0.1) is not None for _ in range(100)
    )
    assert (refusals_count > 50) is refuses_least_urgent
    assert shedder.refusal_ms(0, 0.0) is None
