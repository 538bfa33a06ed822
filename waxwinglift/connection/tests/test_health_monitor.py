"""Tests that endpoints are reported down neither late nor wrongly."""

import pytest

from waxwinglift.connection import HealthState
from waxwinglift.connection._health_monitor import HealthChanged
from waxwinglift.connection._health_monitor import HealthMonitor
from waxwinglift.connection._health_monitor import MarkOthersSuspect
from waxwinglift.connection._health_monitor import SendProbe
from waxwinglift.connection._health_monitor import TryNewConnection
from waxwinglift.process._policy_settings import HealthSettings

IDLE_TICK_MS = 80.0
# Time after an owner's last renewal for which control counts its lease.
LEASE_MS = 1100.0


def run(monitor, until_ms, on_action=None, from_ms=0.0, step_ms=50.0):
    """Call tick at each step if it is due; return (time, action) pairs."""
    log = []
    now_ms = from_ms
    while now_ms <= until_ms:
        is_due = now_ms >= monitor.due_ms
        for action in monitor.tick(now_ms) if is_due else ():
            log.append((now_ms, action))
            if on_action:
                on_action(action, now_ms)
        now_ms += step_ms
    return log


def live_monitor():
    monitor = HealthMonitor()
    assert monitor.on_opened(0.0) == [HealthChanged(HealthState.UP)]
    return monitor


def test_idle_endpoint_is_probed_and_stays_up():
    monitor = live_monitor()

    def answer(action, now_ms):
        assert isinstance(action, SendProbe)
        monitor.on_answer(now_ms)

    log = run(monitor, 3000.0, answer)
    assert monitor.state is HealthState.UP
    assert 15 <= len(log) <= 21


def test_unresponsive_endpoint_is_down_in_time():
    # Every additional delay makes the outage of a failover longer.
    monitor = live_monitor()
    log = run(monitor, 1000.0)
    down = [t for t, a in log if a == HealthChanged(HealthState.DOWN)]
    assert len(down) == 1
    assert 600.0 <= down[0] <= 800.0
    assert TryNewConnection() in [a for _, a in log]


@pytest.mark.parametrize("phase_ms", [1.0, 27.0, 53.0, 79.0])
@pytest.mark.parametrize(
    ("interval_ms", "down_after_ms", "is_standby", "limit_ms"),
    [
        (150.0, 600.0, False, 910.0),
        # If detection takes longer than the lease of an owner that failed
        # with the primary, the failover would wait for the standby owner.
        (150.0, 600.0, True, LEASE_MS),
        # Settings for a target that allows an outage of up to 10 s.
        (500.0, 2000.0, False, 2660.0),
        (500.0, 2000.0, True, 2660.0),
    ],
)
def test_time_to_detect_an_unresponsive_endpoint(
    interval_ms, down_after_ms, is_standby, limit_ms, phase_ms
):
    settings = HealthSettings(
        probe_interval_ms=interval_ms, down_after_ms=down_after_ms
    )
    monitor = HealthMonitor(settings)
    monitor.is_standby = is_standby
    monitor.on_opened(0.0)
    last_answer_ms = 0.0

    def answer(action, now_ms):
        # The endpoint stops answering just after the answer near 2 s.
        nonlocal last_answer_ms
        if isinstance(action, SendProbe) and now_ms < 2000.0:
            last_answer_ms = now_ms + 1.0
            monitor.on_answer(last_answer_ms)

    log = run(monitor, 9000.0, answer, phase_ms, IDLE_TICK_MS)
    down = [t for t, a in log if a == HealthChanged(HealthState.DOWN)]
    assert len(down) == 1
    unanswered_ms = down[0] - last_answer_ms
    assert down_after_ms <= unanswered_ms <= limit_ms


@pytest.mark.parametrize(
    ("is_standby", "probe_counts"), [(False, (60, 70)), (True, (28, 35))]
)
def test_probes_of_an_idle_endpoint(is_standby, probe_counts):
    # Probes are the largest cost of an idle endpoint; see docs/CAPACITY.md.
    monitor = live_monitor()
    monitor.is_standby = is_standby

    def answer(action, now_ms):
        monitor.on_answer(now_ms + 1.0)

    log = run(monitor, 10_000.0, answer, step_ms=IDLE_TICK_MS)
    least, most = probe_counts
    assert least <= len(log) <= most
    assert {type(action) for _, action in log} == {SendProbe}


def test_standby_that_becomes_the_owner_probes_at_once():
    # Otherwise it would detect an unresponsive primary later than an owner.
    monitor = live_monitor()
    monitor.is_standby = True
    assert run(monitor, 290.0) == []
    monitor.is_standby = False
    assert run(monitor, 290.0, from_ms=290.0) == [(290.0, SendProbe())]


def test_one_unresponsive_connection_does_not_mark_the_endpoint_down():
    monitor = live_monitor()
    actions = monitor.on_timeout(3, 100.0)
    assert actions[:2] == [MarkOthersSuspect(3), TryNewConnection()]

    def answer(action, now_ms):
        if isinstance(action, TryNewConnection):
            monitor.on_opened(now_ms)

    # Existing connections never answer again, but new ones work.
    monitor.on_opened(110.0)
    log = run(monitor, 5000.0, answer, 150.0)
    assert HealthChanged(HealthState.DOWN) not in [a for _, a in log]


@pytest.mark.parametrize(
    ("events", "state"),
    [
        (["refused"], HealthState.UP),
        (["refused", "refused"], HealthState.DOWN),
        (["refused", "opened", "refused"], HealthState.UP),
        (["refused", "refused", "opened"], HealthState.UP),
    ],
)
def test_refusals_in_a_row(events, state):
    # A single refusal must not start a failover.
    monitor = live_monitor()
    for event in events:
        if event == "refused":
            monitor.on_refused(10.0)
        else:
            monitor.on_opened(10.0)
    assert monitor.state is state


def test_pause_of_the_process_does_not_mark_the_endpoint_down():
    # After a pause of the process all timers are late.  No answer could have
    # been read in the meantime, so the endpoint need not be unresponsive.
    monitor = live_monitor()
    run(monitor, 300.0)
    monitor = live_monitor()
    monitor.tick(200.0)
    actions = monitor.tick(5000.0)
    assert HealthChanged(HealthState.DOWN) not in actions
    monitor.on_answer(5001.0)
    assert monitor.state is HealthState.UP


def test_down_endpoint_is_tried_again():
    # An endpoint that works again would otherwise stay down.
    monitor = live_monitor()
    run(monitor, 1000.0)
    log = run(monitor, 3000.0, from_ms=1050.0)
    tries = [t for t, a in log if a == TryNewConnection()]
    assert len(tries) >= 4
    assert monitor.on_opened(3000.0) == [HealthChanged(HealthState.UP)]
