"""Tests transaction isolation, slots, cancellation and limits."""

import asyncio

import psycopg
import pytest
from pygwire import messages as pg

from waxwinglift_standin.process import running_group
from waxwinglift_standin.process.tests import _helpers as helpers

COUNT = "select count(*) from n"


@pytest.mark.parametrize(
    ("statements", "rows"),
    [
        (["begin", "insert into n values (1)", "commit"], [1]),
        (["begin", "insert into n values (1)", "rollback"], []),
        (["begin; insert into n values (1); commit"], [1]),
        (["insert into n values (1); insert into n values (1)"], []),
        (["insert into n values (1); begin; rollback"], []),
        (["begin", "savepoint a", "insert into n values (1)",
          "rollback to a", "insert into n values (2)", "commit"], [2]),
        (["begin", "insert into n values (1)", "savepoint a",
          "insert into n values (1)", "rollback to savepoint a",
          "insert into n values (3)", "release a", "commit"], [1, 3]),
        (["begin", "insert into n values (1)", "selec", "commit"], []),
        (["begin", "selec", "insert into n values (1)", "rollback"], []),
    ],
)  # fmt: skip
def test_servers_contain_only_committed_rows(statements, rows):
    # A row that remains after its rollback, or that differs between servers,
    # would falsify the consistency checks of other tests.
    async def scenario():
        async with running_group(2) as (primary, replica):
            await helpers.query(primary, "create table n (v int primary key)")
            async with helpers.psycopg_caller(primary) as connection:
                for sql in statements:
                    await helpers.sqlstate(connection.execute(sql))
            await helpers.wait_until_caught_up(primary, replica)
            select = "select v from n order by v"
            return [
                [row[0] for row in await helpers.query(server, select)]
                for server in (primary, replica)
            ]

    assert helpers.run(scenario()) == [rows, rows]


def test_ready_for_query_reports_transaction_status():
    # The proxy reuses a connection when ReadyForQuery reports it as idle.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                found = []
                for sql in ("begin", "selec", "select 1", "rollback"):
                    state = await helpers.sqlstate(connection.execute(sql))
                    status = connection.info.transaction_status.name
                    found.append((state, status))
                return found

    assert helpers.run(scenario()) == [
        (None, "INTRANS"),
        ("42601", "INERROR"),
        ("25P02", "INERROR"),
        (None, "IDLE"),
    ]


def test_readers_see_committed_rows_only():
    # Reads of uncommitted rows would hide consistency faults of the proxy.
    async def scenario():
        async with running_group(1) as (server,):
            await helpers.query(server, "create table n (v int)")
            async with helpers.asyncpg_caller(server) as writer:
                block = writer.transaction()
                await block.start()
                await writer.execute("insert into n values (1)")
                own = await writer.fetchval(COUNT)
                before = await helpers.query(server, COUNT)
                await block.commit()
                after = await helpers.query(server, COUNT)
            return own, before, after

    assert helpers.run(scenario()) == (1, [(0,)], [(1,)])


@pytest.mark.parametrize(
    "lock", ["update n set v = v + 1", "select * from n for update"]
)
def test_second_writer_waits(lock):  # fmt: skip
    # Concurrent write transactions would lose an update.
    async def scenario():
        async with running_group(1) as (server,):
            await helpers.query(server, "create table n (v int)")
            await helpers.query(server, "insert into n values (1)")
            async with helpers.asyncpg_caller(server) as first:
                block = first.transaction()
                await block.start()
                await first.execute(lock)
                second = asyncio.create_task(
                    helpers.query(server, "update n set v = v * 10")
                )
                await first.execute("update n set v = v + 4")
                is_waiting = not second.done()
                await block.commit()
                await second
            return is_waiting, await helpers.query(server, "select v from n")

    value = 60 if lock.startswith("update") else 50
    assert helpers.run(scenario()) == (True, [(value,)])


def test_lost_connection_rolls_back():
    # A write lock that a lost connection retains would block all writers.
    async def scenario():
        async with running_group(1) as (server,):
            await helpers.query(server, "create table n (v int)")
            async with helpers.asyncpg_caller(server) as connection:
                await connection.execute("begin")
                await connection.execute("insert into n values (1)")
            await helpers.query(server, "insert into n values (2)")
            return await helpers.query(server, "select v from n")

    assert helpers.run(scenario()) == [(2,)]


@pytest.mark.parametrize(
    "statement", ["select pg_sleep(60)", "begin; select pg_sleep(60)"]
)
def test_cancelled_statement_frees_its_slot(statement):  # fmt: skip
    # A slot that a cancelled statement retains would block later statements.
    async def scenario():
        async with running_group(1, slots_count=1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                sleeper = asyncio.create_task(
                    helpers.sqlstate(connection.execute(statement))
                )
                waiter = asyncio.create_task(helpers.query(server, "select 1"))
                while not server.state.slots.waiting_count:
                    await asyncio.sleep(0.001)
                is_waiting = not waiter.done()
                await connection.cancel_safe()
                state = await sleeper
                return is_waiting, state, await waiter

    assert helpers.run(scenario()) == (True, "57014", [(1,)])


def test_statement_timeout_cancels_the_statement():
    # Probes rely on the time-out that they set for their statements.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                await connection.execute("set statement_timeout = '0.02s'")
                sleep = connection.execute("select pg_sleep(60)")
                return await helpers.sqlstate(sleep)

    assert helpers.run(scenario()) == "57014"


def test_connection_above_the_limit_is_refused():
    # Tests detect by this refusal that a proxy opens too many connections.
    async def scenario():
        async with running_group(2, connection_limit_count=2) as (server, _):
            async with helpers.asyncpg_caller(server):
                async with helpers.asyncpg_caller(server):
                    refused = await helpers.sqlstate(
                        helpers.asyncpg_caller(server).__aenter__()
                    )
            state = server.state
            while len(state.sessions) > 1:
                await asyncio.sleep(0.001)
            return refused, await helpers.query(server, "select 1")

    assert helpers.run(scenario()) == ("53300", [(1,)])


@pytest.mark.parametrize(
    ("method", "state"), [("stop", "57P01"), ("kill", None)]
)
def test_stop_is_reported_and_kill_is_not(method, state):
    # Callers must be able to distinguish a clean stop, which is reported, from
    # a crash, which is not.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                await getattr(server, method)()
                with pytest.raises(psycopg.OperationalError) as caught:
                    await connection.execute("select 1")
        return caught.value.sqlstate

    assert helpers.run(scenario()) == state


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00\x00\x08\x00\x01\x00\x00",  # protocol 1
        pg.StartupMessage({"user": "a"}).to_wire() + b"?\x00\x00\x00\x04",
        pg.StartupMessage({"user": "a"}).to_wire() + b"B\x00\x00\x00\x05x",
    ],
)
def test_malformed_messages_end_the_connection(data):
    # A malformed message must be reported and must not affect other callers.
    async def scenario():
        async with running_group(1) as (server,):
            address = server.address
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(data)
            answer = await reader.read()
            writer.close()
            return answer, await helpers.query(server, "select 1")

    answer, rows = helpers.run(scenario())
    assert b"C08P01\x00" in answer
    assert rows == [(1,)]
