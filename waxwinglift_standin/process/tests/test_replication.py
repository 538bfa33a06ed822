"""Tests replication, lag, fencing, promotion and divergence in a group."""

import asyncio
import logging

import pytest

from waxwinglift_standin.connection import _receiver
from waxwinglift_standin.process import running_group
from waxwinglift_standin.process import running_server
from waxwinglift_standin.process.tests import _helpers as helpers
from waxwinglift_standin.version import find_divergence

POSITIONS = (
    "select pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn(), "
    "pg_is_in_recovery()"
)
TERM = "SELECT (SELECT timeline_id FROM pg_control_checkpoint())"
RECEIVERS = "select count(*) from pg_stat_wal_receiver"
CREATE = "create table n (v int)"
SELECT = "select v from n order by v"


async def insert(server, *numbers):
    for number in numbers:
        await helpers.query(server, f"insert into n (v) values ({number})")


async def follow(server, upstream):
    """Make a replica follow another server, or none."""
    text = ""
    if upstream is not None:
        address = upstream.address
        text = f"host={address.host} port={address.port}"
    sql = f"ALTER SYSTEM SET primary_conninfo = '{text}'"
    await helpers.query(server, sql)
    await helpers.query(server, "SELECT pg_reload_conf()")


async def promote(server):
    await helpers.query(server, "SELECT pg_promote()")


def test_servers_report_equal_positions():
    # Commit acknowledgement compares the positions of different servers.
    async def scenario():
        async with running_group(3) as (primary, *replicas):
            await helpers.query(
                primary,
                "create table n (v int, at timestamptz default now(), "
                "r float8 default random(), u uuid default gen_random_uuid(), "
                "lsn pg_lsn, pid int)",
            )
            await insert(primary, 1, 2)
            await helpers.query(
                primary,
                "insert into n (v, lsn, pid) values "
                "(3, pg_current_wal_lsn(), pg_backend_pid())",
            )
            ((lsn,),) = await helpers.query(
                primary, "select pg_current_wal_lsn()"
            )
            rows = await helpers.query(primary, "select * from n")
            for replica in replicas:
                await helpers.wait_until_caught_up(primary, replica)
                assert await helpers.query(replica, POSITIONS) == [
                    (lsn, lsn, True)
                ]
                assert await helpers.query(replica, "select * from n") == rows
            reported = primary.state.replicas.values()
            end_lsn = primary.state.log.end_lsn
            await primary.state.wait_until(
                lambda: all(r.replay_lsn == end_lsn for r in reported)
            )
            found = await helpers.query(
                primary,
                "select application_name, state, flush_lsn, replay_lsn "
                "from pg_stat_replication order by application_name",
            )
            return found, lsn

    rows, lsn = helpers.run(scenario())
    assert rows == [
        ("server-2", "streaming", lsn, lsn),
        ("server-3", "streaming", lsn, lsn),
    ]


@pytest.mark.parametrize(
    "sql",
    ["insert into n values (2)", "create table m (v int)",
     "select * from n for update", "with x as (select 1) delete from n"],
)  # fmt: skip
def test_replica_refuses_writes(sql):
    # The proxy may resend a refused write to the primary only if the refusal
    # proves that it did not run.
    async def scenario():
        async with running_group(2) as (primary, replica):
            await helpers.query(primary, CREATE)
            await insert(primary, 1)
            await helpers.wait_until_caught_up(primary, replica)
            state = await helpers.sqlstate(helpers.query(replica, sql))
            return state, await helpers.query(replica, SELECT)

    assert helpers.run(scenario()) == ("25006", [(1,)])


@pytest.mark.parametrize(
    ("lag", "has_received"),
    [("60000/0", False), ("0/60000", True)],
)
def test_lag_delays_receipt_or_replay(lag, has_received):
    # Positions must show whether a replica lags in receipt or in replay.
    async def scenario():
        async with running_group(2) as (primary, replica):
            await helpers.query(primary, CREATE)
            await helpers.wait_until_caught_up(primary, replica)
            await helpers.query(
                replica, f"select standin_fault('lag', '{lag}')"
            )
            before = replica.state.log.end_lsn
            await insert(primary, 1)
            (progress,) = primary.state.replicas.values()
            end_lsn = primary.state.log.end_lsn
            await primary.state.wait_until(
                lambda: (
                    progress.sent_lsn == end_lsn
                    and (not has_received or progress.flush_lsn == end_lsn)
                )
            )
            assert replica.state.replay_lsn == before
            assert (replica.state.log.end_lsn > before) == has_received
            assert await helpers.query(replica, SELECT) == []
            await helpers.query(replica, "select standin_fault('lag', 'off')")
            await helpers.wait_until_caught_up(primary, replica)
            return await helpers.query(replica, SELECT)

    assert helpers.run(scenario()) == [(1,)]


def test_fenced_replica_receives_nothing():
    # A fenced replica that still receives records could confirm a write that
    # the new primary lacks.
    async def scenario():
        async with running_group(2) as (primary, replica):
            await helpers.query(primary, CREATE)
            await helpers.wait_until_caught_up(primary, replica)
            before = await helpers.query(replica, RECEIVERS)
            await follow(replica, None)
            after = await helpers.query(replica, RECEIVERS)
            state = primary.state
            await state.wait_until(lambda: not state.replicas)
            await insert(primary, 1)
            return before, after, await helpers.query(replica, SELECT)

    assert helpers.run(scenario()) == ([(1,)], [(0,)], [])


def test_replica_follows_the_promoted_server():
    # The log must continue in the next term, and the other replica follow it.
    async def scenario():
        async with running_group(3) as (primary, chosen, other):
            await helpers.query(primary, CREATE)
            await insert(primary, 1)
            for replica in (chosen, other):
                await helpers.wait_until_caught_up(primary, replica)
                await follow(replica, None)
            await insert(primary, 2)
            await promote(chosen)
            await follow(other, chosen)
            await insert(chosen, 3)
            await helpers.wait_until_caught_up(chosen, other)
            return [
                (
                    await helpers.query(server, TERM),
                    await helpers.query(server, SELECT),
                    server.state.in_recovery,
                )
                for server in (primary, chosen, other)
            ]

    assert helpers.run(scenario()) == [
        ([(1,)], [(1,), (2,)], False),
        ([(2,)], [(1,), (3,)], False),
        ([(2,)], [(1,), (3,)], True),
    ]


def test_promotion_replays_received_records():
    # A promotion that dropped received records would lose acknowledged writes.
    async def scenario():
        async with running_group(2) as (primary, replica):
            await helpers.query(primary, CREATE)
            await helpers.wait_until_caught_up(primary, replica)
            replica.set_fault("lag", "0/60000")
            await insert(primary, 1)
            end_lsn = primary.state.log.end_lsn
            state = replica.state
            await state.wait_until(lambda: state.log.end_lsn == end_lsn)
            await promote(replica)
            return await helpers.query(replica, SELECT)

    assert helpers.run(scenario()) == [(1,)]


def test_diverged_replica_refuses_to_follow(caplog, monkeypatch):
    # A diverged replica that follows would retain rows that the group has
    # discarded.
    caplog.set_level(logging.ERROR)

    checks = []

    def record_check(*arguments):
        checks.append(arguments)
        return find_divergence(*arguments)

    monkeypatch.setattr(_receiver, "_DIVERGED_RETRY_S", 0.01)
    monkeypatch.setattr(_receiver, "find_divergence", record_check)

    async def scenario():
        async with running_group(3, receiver_retry_ms=10) as servers:
            primary, behind, ahead = servers
            await helpers.query(primary, CREATE)
            await helpers.wait_until_caught_up(primary, behind)
            await follow(behind, None)
            await insert(primary, 1)
            await helpers.wait_until_caught_up(primary, ahead)
            await promote(behind)
            await insert(behind, 2)
            checks.clear()
            await follow(ahead, behind)
            while len(checks) < 3:
                await asyncio.sleep(0.001)
            return await helpers.query(ahead, SELECT)

    assert helpers.run(scenario()) == [(1,)]
    (record,) = caplog.records
    assert "timeline 2 forked off" in record.getMessage()


def test_restart_restores_log_and_role(tmp_path):
    # A restart must not lose rows, positions, term or role.
    async def scenario():
        path = tmp_path / "log.db"
        async with running_group(1) as (template,):
            settings = template.settings.model_copy(
                update={"data_file": path, "initial_role": "replica"}
            )
        async with running_server(settings) as server:
            await promote(server)
            await helpers.query(server, CREATE)
            await insert(server, 1)
            before = server.state.log.end_lsn
        async with running_server(settings) as server:
            state = server.state
            assert (state.log.end_lsn, state.replay_lsn) == (before, before)
            return (
                await helpers.query(server, TERM),
                await helpers.query(server, SELECT),
                state.in_recovery,
            )

    assert helpers.run(scenario()) == ([(2,)], [(1,)], False)
