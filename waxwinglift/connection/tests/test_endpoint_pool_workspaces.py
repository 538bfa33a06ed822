"""Tests of an endpoint's connections that belong to workspaces."""

import math
import random

import pytest

from waxwinglift.connection import ConnectionState
from waxwinglift.connection._endpoint_pool import EndpointPool
from waxwinglift.connection._endpoint_pool_actions import CloseConnection
from waxwinglift.connection._endpoint_pool_actions import OpenConnection
from waxwinglift.connection._endpoint_pool_actions import ProbeConnection
from waxwinglift.connection._endpoint_pool_actions import UseConnection
from waxwinglift.connection._pool_records import ConnectionNeed
from waxwinglift.process._policy_settings import EndpointPoolSettings

_SETTINGS = EndpointPoolSettings(keeps_surplus=True, opening_limit_count=2)


class _Server:
    """Carries out a pool's actions; openings end when the test says so."""

    def __init__(self, limit_count):
        self.pool = EndpointPool(_SETTINGS, 100, 3)
        self.pool.limit_count = limit_count
        self.pool.is_per_workspace = True
        self.now_ms = 0.0
        self.workspaces = {}
        self.opening = []
        # Connection by holder.
        self.used = {}
        self.perform(self.pool.enable(0.0))

    def perform(self, actions):
        for action in actions:
            if isinstance(action, OpenConnection):
                self.workspaces[action.connection] = action.workspace
                self.opening.append(action.connection)
            elif isinstance(action, CloseConnection):
                self.workspaces.pop(action.connection)
                self.perform(
                    self.pool.on_closed(action.connection, self.now_ms)
                )
            elif isinstance(action, UseConnection):
                assert action.connection not in self.used.values()
                self.used[action.holder] = action.connection
            elif isinstance(action, ProbeConnection):
                answered = self.pool.on_probe_answer(
                    action.connection, self.now_ms
                )
                self.perform(answered)
        assert len(self.workspaces) <= self.pool.limit_count

    def acquire(self, holder, workspace, is_any=False):
        self.now_ms += 1.0
        need = ConnectionNeed(workspace, is_any)
        self.perform(self.pool.acquire(holder, self.now_ms, need))

    def finish_openings(self):
        while self.opening:
            self.now_ms += 12.0
            connection = self.opening.pop(0)
            self.perform(self.pool.on_opened(connection, self.now_ms))

    def release(self, holder):
        self.now_ms += 1.0
        connection = self.used.pop(holder)
        self.perform(self.pool.release(connection, self.now_ms))


def test_a_workspace_gets_its_own_idle_connection_without_an_opening():
    # Each opening takes a slot of the endpoint for 12 ms.
    server = _Server(10)
    server.acquire("h1", "a")
    server.finish_openings()
    first = server.used["h1"]
    server.release("h1")
    server.acquire("h2", "a")
    assert server.used["h2"] == first
    assert not server.opening


def test_at_the_limit_the_least_recently_used_connection_gives_way():
    # Workspaces outnumber the connections, and all must be served; the ones
    # that come most often should find theirs open.
    server = _Server(3)
    for holder, workspace in enumerate("abab"):
        server.acquire(holder, workspace)
        server.finish_openings()
        server.release(holder)
    server.acquire("c1", "c")
    server.finish_openings()
    assert server.workspaces[server.used["c1"]] == "c"
    assert sorted(t or "" for t in server.workspaces.values()) == [
        "a",
        "b",
        "c",
    ]
    server.acquire("d1", "d")
    server.finish_openings()
    assert "a" not in server.workspaces.values()
    assert server.workspaces[server.used["d1"]] == "d"


def test_commands_of_the_proxy_use_the_connection_of_any_workspace():
    # They would otherwise each need a connection of their own.
    server = _Server(1)
    server.finish_openings()
    server.acquire("h1", "a")
    server.finish_openings()
    server.release("h1")
    server.acquire("own", None, is_any=True)
    assert server.workspaces[server.used["own"]] == "a"


def test_a_workspace_that_waits_does_not_delay_another_one():
    # A flood of one workspace would otherwise block connections that idle.
    server = _Server(2)
    for number in range(2):
        server.acquire(f"a{number}", "a")
    server.finish_openings()
    server.release("a1")
    server.acquire("b0", "b")
    server.finish_openings()
    for number in range(10):
        server.acquire(f"w{number}", "a")
    server.release("b0")
    server.acquire("b1", "b")
    server.finish_openings()
    assert "a0" in server.used
    assert any(holder.startswith("w") for holder in server.used)
    server.release("a0")
    while "b1" not in server.used:
        server.finish_openings()
        holder = next(h for h in server.used if h.startswith("w"))
        server.release(holder)
        server.finish_openings()


def test_connections_of_expected_workspaces_are_closed_last():
    # A statement in the queue would otherwise find its connection closed.
    server = _Server(3)
    for holder, workspace in enumerate("ab"):
        server.acquire(holder, workspace)
        server.finish_openings()
        server.release(holder)
    with server.pool.expecting("a"):
        server.acquire("c1", "c")
        server.acquire("c2", "c")
    assert "a" in server.workspaces.values()
    assert "b" not in server.workspaces.values()


def test_patient_statement_waits_for_a_running_one_of_its_workspace():
    # An opening takes a slot from the statements that run meanwhile.
    server = _Server(3)
    server.acquire("a1", "a")
    server.finish_openings()
    need = ConnectionNeed("a", patient_until_ms=server.now_ms + 50.0)
    server.perform(server.pool.acquire("a2", server.now_ms, need))
    server.perform(server.pool.acquire("a3", server.now_ms, need))
    assert len(server.opening) == 1
    server.now_ms += 50.0
    server.perform(server.pool.tick(server.now_ms))
    assert len(server.opening) == 2


def test_urgent_statement_gets_the_next_opening():
    # Few connections open at a time, and others may wait for many of them.
    server = _Server(10)
    for workspace in "abcd":
        server.acquire(workspace, workspace)
    need = ConnectionNeed("u", urgency_index=-1)
    server.perform(server.pool.acquire("u", server.now_ms, need))
    connection = server.opening.pop(0)
    server.perform(server.pool.on_opened(connection, server.now_ms))
    assert server.workspaces[server.opening[-1]] == "u"


def test_expected_wait_counts_the_openings_that_come_first():
    # A statement that cannot get a connection in time is refused at once.
    server = _Server(10)
    need = ConnectionNeed("z", urgency_index=1)
    server.finish_openings()
    for workspace in "abcd":
        server.acquire(workspace, workspace)
    wait_ms = server.pool.expected_wait_ms(need, server.now_ms)
    urgent = ConnectionNeed("z", urgency_index=-1)
    urgent_ms = server.pool.expected_wait_ms(urgent, server.now_ms)
    assert 0.0 < urgent_ms < wait_ms
    server.pool.limit_count = 0
    assert server.pool.expected_wait_ms(need, server.now_ms) == math.inf


@pytest.mark.parametrize("limit_count", [1, 2, 5])
@pytest.mark.parametrize("seed", range(5))
def test_no_transaction_runs_under_another_workspaces_name(seed, limit_count):
    # No order of events may mix workspaces, exceed the limit or leave a holder
    # without a connection for ever.
    rng = random.Random(seed)
    server = _Server(limit_count)
    wanted = {}
    for number in range(1500):
        choice = rng.random()
        if choice < 0.4 and len(wanted) < 8:
            workspace = rng.choice(["a", "b", "c", "d", None])
            wanted[number] = workspace
            server.acquire(number, workspace)
        elif choice < 0.6:
            server.finish_openings()
        elif choice < 0.65:
            server.now_ms += 1000.0
            server.perform(server.pool.tick(server.now_ms))
        elif server.used:
            holder = rng.choice(list(server.used))
            del wanted[holder]
            if rng.random() < 0.1:
                connection = server.used.pop(holder)
                discarded = server.pool.discard(connection, server.now_ms)
                server.perform(discarded)
            else:
                server.release(holder)
        for holder, connection in server.used.items():
            assert server.workspaces[connection] == wanted[holder]
            state = server.pool.state(connection)
            assert state is ConnectionState.BUSY
    while wanted:
        server.finish_openings()
        assert server.used, "a holder waits for ever"
        for holder in list(server.used):
            del wanted[holder]
            server.release(holder)
