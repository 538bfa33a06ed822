"""Tests exclusive use, the connection limit and opening in advance."""

import random

import pytest

from waxwinglift.connection import ConnectionState
from waxwinglift.connection._endpoint_pool_actions import CloseConnection
from waxwinglift.connection._endpoint_pool import EndpointPool
from waxwinglift.connection._endpoint_pool_actions import OpenConnection
from waxwinglift.connection._endpoint_pool_actions import ProbeConnection
from waxwinglift.connection._endpoint_pool_actions import ReportTimeout
from waxwinglift.connection._endpoint_pool_actions import UseConnection
from waxwinglift.process._policy_settings import EndpointPoolSettings

SETTINGS = EndpointPoolSettings()


def pool_with_connections(limit_count=25, slots_count=3):
    pool = EndpointPool(SETTINGS, limit_count, slots_count)
    for action in pool.enable(0.0):
        pool.on_opened(action.connection, 0.0)
    return pool


def connections_of(kind, actions):
    return [a.connection for a in actions if isinstance(a, kind)]


@pytest.mark.parametrize(
    ("limit_count", "slots_count", "expected"),
    [(25, 3, 5), (30, 2, 4), (5, 3, 2), (2, 3, 0), (25, 40, 12)],
)
def test_connections_are_opened_ahead_within_half_the_limit(
    limit_count, slots_count, expected
):
    # The other half is reserved for the next owner during a handover.
    pool = EndpointPool(SETTINGS, limit_count, slots_count)
    assert len(connections_of(OpenConnection, pool.enable(0.0))) == expected


def test_connection_belongs_to_one_transaction():
    # On a shared connection, one caller's COMMIT would end another's block.
    pool = pool_with_connections(5, 3)
    used = [pool.acquire(holder, 1.0) for holder in "abc"]
    assert [len(connections_of(UseConnection, u)) for u in used] == [1, 1, 0]
    actions = pool.release(used[0][0].connection, 2.0)
    assert actions == [UseConnection(used[0][0].connection, "c")]
    assert pool.release(99, 3.0) == []


def test_discarded_connection_is_closed_and_replaced():
    # On a reused connection, a late answer would reach the wrong caller.
    pool = pool_with_connections()
    connection = connections_of(UseConnection, pool.acquire("a", 1.0))[0]
    actions = pool.discard(connection, 2.0)
    assert connections_of(CloseConnection, actions) == [connection]
    assert len(connections_of(OpenConnection, actions)) == 1
    assert pool.state(connection) is ConnectionState.CLOSED
    assert pool.on_probe_answer(connection, 3.0) == []


def test_suspects_are_probed_before_use():
    # A transaction on an unresponsive connection would wait until it times
    # out.
    pool = pool_with_connections()
    busy = [
        connections_of(UseConnection, pool.acquire(h, 1.0))[0] for h in "ab"
    ]
    actions = pool.mark_others_suspect(busy[0], 2.0)
    probed = connections_of(ProbeConnection, actions)
    assert len(probed) == 3
    # All idle connections are suspect, so the next holder gets a new one.
    actions = pool.acquire("c", 3.0)
    opened = connections_of(OpenConnection, actions)
    assert opened and not connections_of(UseConnection, actions)
    # Another busy connection is probed once its transaction has ended.
    assert busy[1] in connections_of(
        ProbeConnection, pool.release(busy[1], 4.0)
    )
    assert (
        connections_of(UseConnection, pool.on_opened(opened[0], 15.0))
        == opened[:1]
    )
    closed = connections_of(CloseConnection, pool.tick(400.0))
    assert set(closed) == {*probed, busy[1]}


def test_pool_is_released_once_all_connections_are_closed():
    # The next owner but one may start only after this owner has closed its
    # connections.
    pool = pool_with_connections()
    pool.acquire("a", 1.0)
    closed = connections_of(CloseConnection, pool.close_all(2.0))
    assert len(closed) == 5
    assert not pool.is_released
    for connection in closed:
        assert pool.on_closed(connection, 3.0) == []
    assert pool.is_released
    assert pool.acquire("b", 4.0) == pool.tick(5.0) == []


def test_failed_openings_back_off():
    # Immediate retries would flood an endpoint that refuses connections.
    pool = EndpointPool(SETTINGS, 25, 3)
    pending = connections_of(OpenConnection, pool.enable(0.0))
    attempts = len(pending)
    now_ms = 0.0
    while now_ms < 5000.0:
        actions = [a for c in pending for a in pool.on_open_failed(c, now_ms)]
        now_ms += 10.0
        # Ticks that are not due must not be needed for the next attempt.
        ticked = pool.tick(now_ms) if now_ms >= pool.due_ms else []
        pending = connections_of(OpenConnection, actions + ticked)
        attempts += len(pending)
    assert 20 < attempts < 100


@pytest.mark.parametrize("waiting_count", [1, 5, 20])
def test_failed_openings_are_retried_with_few_connections(waiting_count):
    # An endpoint that refuses connections got all missing ones again at each
    # retry: 219 a second at a server that had just restarted, each of which
    # takes a slot and processor time of the owner.
    pool = EndpointPool(SETTINGS, 91, 4)
    opened = connections_of(OpenConnection, pool.enable(0.0))
    for number in range(waiting_count):
        opened += connections_of(OpenConnection, pool.acquire(number, 0.0))
    for connection in opened:
        pool.on_open_failed(connection, 1.0)
    retries = connections_of(OpenConnection, pool.tick(5000.0))
    assert 1 <= len(retries) <= 2
    # After a success, the others follow.
    assert connections_of(OpenConnection, pool.on_opened(retries[0], 5001.0))


@pytest.mark.parametrize("opening_limit_count", [1, 2, 4])
def test_connections_that_open_occupy_few_slots(opening_limit_count):
    # Opening a connection takes a slot of the endpoint, so that a burst of
    # openings delays the statements of every rank.
    settings = EndpointPoolSettings(opening_limit_count=opening_limit_count)
    pool = EndpointPool(settings, 91, 4)
    opening = connections_of(OpenConnection, pool.enable(0.0))
    for number in range(30):
        opening += connections_of(OpenConnection, pool.acquire(number, 0.0))
    served = 0
    while opening:
        assert len(opening) <= opening_limit_count
        actions = pool.on_opened(opening.pop(0), 1.0)
        opening += connections_of(OpenConnection, actions)
        served += len(connections_of(UseConnection, actions))
    assert served == 30


def test_health_monitor_opens_one_within_the_limit():
    # Health checks of an endpoint must not use more than half of its
    # connections.
    pool = pool_with_connections(13, 3)
    assert len(connections_of(OpenConnection, pool.open_one(1.0))) == 1
    assert pool.open_one(2.0) == []


def test_idle_connections_are_probed_and_unresponsive_ones_replaced():
    # The next transaction would otherwise detect the unresponsive connection.
    pool = pool_with_connections()
    probed = connections_of(ProbeConnection, pool.tick(1000.0))
    assert len(probed) == 5
    for connection in probed[:4]:
        pool.on_probe_answer(connection, 1001.0)
    actions = pool.tick(1300.0)
    assert connections_of(ReportTimeout, actions) == probed[4:]
    assert connections_of(CloseConnection, actions) == probed[4:]
    assert len(connections_of(OpenConnection, actions)) == 1


@pytest.mark.parametrize("slots_count", [1, 3])
def test_health_probes_take_the_connections_in_turn(slots_count):
    # A connection that is never probed could become unresponsive unnoticed.
    pool = pool_with_connections(25, slots_count)
    expected = list(range(1, pool.connection_count + 1))
    probed = []
    for turn in range(2 * len(expected)):
        now_ms = 160.0 * (turn + 1)
        actions = pool.probe_longest_idle(now_ms - 100.0, now_ms)
        probed += connections_of(ProbeConnection, actions)
        pool.on_probe_answer(probed[-1], now_ms + 1.0)
        assert pool.tick(now_ms) == []
    assert probed == 2 * expected


@pytest.mark.parametrize(
    ("before_ms", "holders", "probed_count"),
    [
        (0.0, "", 0),
        (5.0, "", 1),
        (5.0, "ab", 1),
        (5.0, "abcde", 0),
    ],
)
def test_health_probe_takes_no_connection_in_use(
    before_ms, holders, probed_count
):
    # The probe's answer would be mixed with the transaction's.
    pool = pool_with_connections()
    busy = [
        connections_of(UseConnection, pool.acquire(h, 1.0))[0] for h in holders
    ]
    probed = connections_of(
        ProbeConnection, pool.probe_longest_idle(before_ms, 10.0)
    )
    assert len(probed) == probed_count
    assert not set(probed) & set(busy)


def test_health_probe_closes_a_surplus_connection():
    # Probes reset the idle time, so surplus connections would otherwise never
    # be idle long enough to be closed.
    pool = pool_with_connections()
    (opened,) = connections_of(OpenConnection, pool.open_one(1.0))
    pool.on_opened(opened, 2.0)
    closed = connections_of(
        CloseConnection, pool.probe_longest_idle(5.0, 10.0)
    )
    assert closed == [1]
    pool.on_closed(1, 11.0)
    assert connections_of(
        ProbeConnection, pool.probe_longest_idle(5.0, 20.0)
    ) == [2]


@pytest.mark.parametrize("seed", range(5))
def test_tick_that_is_not_due_does_nothing(seed):
    # The owner skips ticks that are not due, so a wrong due time would delay
    # a probe or the opening of a connection.
    rng = random.Random(seed)
    pool = EndpointPool(SETTINGS, 25, 3)
    actions = pool.enable(0.0)
    now_ms = 0.0
    for _ in range(2000):
        now_ms += 20.0
        for connection in connections_of(OpenConnection, actions):
            fails = rng.random() < 0.3
            record_outcome = pool.on_open_failed if fails else pool.on_opened
            record_outcome(connection, now_ms)
        for connection in connections_of(ProbeConnection, actions):
            if rng.random() < 0.8:
                pool.on_probe_answer(connection, now_ms)
        for connection in connections_of(CloseConnection, actions):
            pool.on_closed(connection, now_ms)
        is_due = now_ms >= pool.due_ms
        actions = pool.tick(now_ms)
        assert is_due or not actions


@pytest.mark.parametrize("seed", range(5))
def test_random_events_keep_the_limit_and_exclusive_use(seed):
    # No order of events may exceed the limit or share a connection.
    rng = random.Random(seed)
    pool = EndpointPool(SETTINGS, 11, 3)
    holders = {}
    live = set()
    actions = pool.enable(0.0)
    for step in range(3000):
        now_ms = step * 5.0
        for action in actions:
            if isinstance(action, OpenConnection):
                live.add(action.connection)
            elif isinstance(action, UseConnection):
                assert action.connection not in holders
                holders[action.connection] = action.holder
        assert len(live) <= 5
        connection = rng.choice(sorted(live) or [0])
        event = rng.randrange(9)
        actions = pool.tick(now_ms)
        if event == 0:
            actions += pool.acquire(step, now_ms)
        elif event == 1 and holders:
            connection = rng.choice(sorted(holders))
            del holders[connection]
            actions += pool.release(connection, now_ms)
        elif event == 2 and holders:
            connection = rng.choice(sorted(holders))
            del holders[connection]
            actions += pool.discard(connection, now_ms)
        elif event == 3 and connection not in holders:
            live.discard(connection)
            actions += pool.on_closed(connection, now_ms)
        elif event == 4:
            actions += pool.mark_others_suspect(connection, now_ms)
        elif event == 5:
            actions += pool.on_probe_answer(connection, now_ms)
        elif event == 6:
            actions += pool.probe_longest_idle(now_ms - 100.0, now_ms)
        else:
            actions += pool.on_opened(connection, now_ms)


def test_opening_without_an_answer_counts_until_the_endpoint_drops_it():
    # The endpoint may have accepted it, and resets connections beyond its
    # limit.
    settings = EndpointPoolSettings(lost_connection_ms=3000.0)
    pool = EndpointPool(settings, 9, 3)
    opened = connections_of(OpenConnection, pool.enable(0.0))
    assert len(opened) == pool.limit_count == 4
    now_ms = settings.open_timeout_ms
    for connection in connections_of(CloseConnection, pool.tick(now_ms)):
        pool.on_closed(connection, now_ms)
    # One shows whether the endpoint answers again.
    (probe,) = connections_of(OpenConnection, pool.open_one(now_ms))
    pool.on_opened(probe, now_ms + 1.0)
    assert not connections_of(OpenConnection, pool.tick(now_ms + 2999.0))
    assert connections_of(OpenConnection, pool.tick(now_ms + 3000.0))


@pytest.mark.parametrize("is_unanswered", [False, True])
def test_connection_of_an_unanswered_statement_counts_longer(is_unanswered):
    # The endpoint drops it only when it notices that it is gone.
    settings = EndpointPoolSettings(lost_connection_ms=3000.0)
    pool = EndpointPool(settings, 5, 1)
    for action in pool.enable(0.0):
        pool.on_opened(action.connection, 0.0)
    (used,) = connections_of(UseConnection, pool.acquire("a", 1.0))
    pool.discard(used, 2.0, is_unanswered)
    actions = pool.on_closed(used, 2.0)
    assert bool(connections_of(OpenConnection, actions)) != is_unanswered


@pytest.mark.parametrize(
    ("limit_count", "busy_count", "closed_count"),
    [(5, 0, 3), (5, 4, 3), (2, 4, 4), (0, 4, 4), (8, 4, 0)],
)
def test_lowered_limit_closes_no_more_idle_connections_than_needed(
    limit_count, busy_count, closed_count
):
    # Closings take time, and the owner applies its limit at each tick; a
    # connection of a running transaction would end that transaction.
    pool = EndpointPool(EndpointPoolSettings(spare_count=5), 17, 3)
    opened = connections_of(OpenConnection, pool.enable(0.0))
    assert len(opened) == pool.limit_count == 8
    for connection in opened:
        pool.on_opened(connection, 0.0)
    used = [
        connections_of(UseConnection, pool.acquire(holder, 1.0))[0]
        for holder in range(busy_count)
    ]
    pool.limit_count = limit_count
    closing = connections_of(CloseConnection, pool.shrink(2.0))
    assert len(closing) == closed_count
    assert not set(closing) & set(used)
    assert not pool.shrink(3.0)
    for connection in closing:
        assert not connections_of(
            OpenConnection, pool.on_closed(connection, 4.0)
        )
