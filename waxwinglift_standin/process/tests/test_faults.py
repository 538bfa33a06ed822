"""Tests the faults that SQL and settings can set."""

import asyncio

import pytest

from waxwinglift_standin.process import running_group
from waxwinglift_standin.process.tests import _helpers as helpers


async def start_and_check_unanswered(awaitable, server):
    """Start `awaitable`; return (whether it has no answer yet, its task)."""
    task = asyncio.ensure_future(awaitable)
    # A server that answers needs far fewer iterations of the event loop.
    for _ in range(200):
        await asyncio.sleep(0)
    return not task.done(), task


def test_frozen_server_answers_nothing():
    # Health checks must not receive an answer on any connection of a frozen
    # server, so that they report it as down.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.asyncpg_caller(server) as connection:
                await connection.execute("create table n (v int)")
                await connection.execute(
                    "select standin_fault('freeze', 'on')"
                )
                old, insert = await start_and_check_unanswered(
                    connection.execute("insert into n values (1)"), server
                )
                new, count = await start_and_check_unanswered(
                    helpers.query(server, "select 1"), server
                )
                is_empty = not server.state.database.committed.execute(
                    "select * from n"
                ).fetchall()
                server.set_fault("freeze", "off")
                return old, new, is_empty, await insert, await count

    expected = (True, True, True, "INSERT 0 1", [(1,)])
    assert helpers.run(scenario()) == expected


def test_timed_freeze_ends():
    # A frozen server reads no SQL, so a freeze set by SQL must end by itself.
    async def scenario():
        async with running_group(1) as (server,):
            await helpers.query(server, "select standin_fault('freeze', '20')")
            is_frozen = server.state.faults.is_frozen
            return is_frozen, await helpers.query(server, "select 1")

    assert helpers.run(scenario()) == (True, [(1,)])


def test_frozen_primary_sends_no_log():
    # A frozen primary that continues to stream would not appear isolated.
    async def scenario():
        async with running_group(2) as (primary, replica):
            await helpers.query(primary, "create table n (v int)")
            await helpers.wait_until_caught_up(primary, replica)
            primary.set_fault("freeze", "on")
            before = replica.state.log.end_lsn
            primary.state.notify_change()
            is_unanswered, task = await start_and_check_unanswered(
                helpers.query(primary, "insert into n values (1)"), primary
            )
            is_same = replica.state.log.end_lsn == before
            primary.set_fault("freeze", "off")
            await task
            await helpers.wait_until_caught_up(primary, replica)
            return is_unanswered, is_same

    assert helpers.run(scenario()) == (True, True)


def test_silence_affects_only_open_connections():
    # The fault must affect only connections that are open.  When the caller
    # closes one, its transaction and its place in the limit must be released.
    async def scenario():
        async with running_group(1, connection_limit_count=2) as (server,):
            await helpers.query(server, "create table n (v int)")
            async with helpers.asyncpg_caller(server) as connection:
                await connection.execute("begin")
                await connection.execute("insert into n values (1)")
                await helpers.query(
                    server, "select standin_fault('silence', 'on')"
                )
                is_unanswered, task = await start_and_check_unanswered(
                    connection.execute("select 1"), server
                )
                new = await helpers.query(server, "select 1")
                server.set_fault("silence", "off")
                task.cancel()
            await helpers.query(server, "insert into n values (2)")
            return (
                is_unanswered,
                new,
                await helpers.query(server, "select v from n"),
            )

    assert helpers.run(scenario()) == (True, [(1,)], [(2,)])


@pytest.mark.parametrize("on_primary", [True, False])
def test_replication_resumes_after_a_cut(on_primary):
    # A partition between servers must stop replication, while each server
    # still serves callers.
    async def scenario():
        async with running_group(2, receiver_retry_ms=10) as servers:
            primary, replica = servers
            cut = primary if on_primary else replica
            await helpers.query(primary, "create table n (v int)")
            await helpers.wait_until_caught_up(primary, replica)
            switch = "select standin_fault('cut_replication', '{}')"
            await helpers.query(cut, switch.format("on"))
            state = primary.state
            await state.wait_until(lambda: not state.replicas)
            await helpers.query(primary, "insert into n values (1)")
            before = await helpers.query(replica, "select v from n")
            await helpers.query(cut, switch.format("off"))
            await helpers.wait_until_caught_up(primary, replica)
            return before, await helpers.query(replica, "select v from n")

    assert helpers.run(scenario()) == ([], [(1,)])


def test_fault_in_settings_is_set_at_the_start():
    # Servers must start with the faults from their settings file.
    async def scenario():
        async with running_group(1, faults={"slow": "3"}) as (server,):
            return server.state.faults.slow_factor

    assert helpers.run(scenario()) == 3.0


def test_slow_multiplies_delays(monkeypatch):
    # Delays must be multiplied by the factor, and only while the fault is set.
    slept_s = []
    sleep = asyncio.sleep

    async def record(delay_s, *arguments):
        slept_s.append(delay_s)
        await sleep(0, *arguments)

    async def scenario():
        async with running_group(1, statement_delay_ms=2) as (server,):
            monkeypatch.setattr(asyncio, "sleep", record)
            await helpers.query(server, "select 1")
            await helpers.query(server, "select standin_fault('slow', '50')")
            await helpers.query(server, "select 1")
            await helpers.query(server, "select standin_fault('slow', 'off')")
            await helpers.query(server, "select 1")

    helpers.run(scenario())
    delays = [delay_s for delay_s in slept_s if delay_s]
    assert delays == [0.002, 0.002, 0.1, 0.1, 0.002]
