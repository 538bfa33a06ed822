"""Tests the server with the client libraries psycopg and asyncpg."""

import datetime
import decimal
import uuid

import asyncpg
import psycopg
import pytest

from waxwinglift_standin.process import running_group
from waxwinglift_standin.process.tests import _helpers as helpers

MOMENT = datetime.datetime(2026, 12, 4, 4, 5, 6, 7, tzinfo=datetime.UTC)
TABLE = """
create table item (
    id bigint primary key, small smallint, mid int, num numeric(12, 2),
    ratio float8, ok boolean, name text not null, data bytea,
    at timestamptz, code uuid, count_ int check (count_ < 100)
)
"""
ROW = (
    1 << 40, 7, -70000, decimal.Decimal("12.5"), 0.25, True, "é'\n", b"\x00",
    MOMENT, uuid.UUID(int=5), None,
)  # fmt: skip
PSYCOPG_INSERT = f"insert into item values ({', '.join(['%s'] * 11)})"
ASYNCPG_NUMBERS = ", ".join(f"${n}" for n in range(1, 12))
ASYNCPG_INSERT = f"insert into item values ({ASYNCPG_NUMBERS})"


@pytest.mark.parametrize("is_binary", [False, True])
def test_psycopg_reads_back_written_values(is_binary):
    # A type encoded wrongly in either format would alter callers' values.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                await connection.execute(TABLE)
                await connection.execute(PSYCOPG_INSERT, ROW, binary=is_binary)
                cursor = connection.cursor(binary=is_binary)
                await cursor.execute("select * from item")
                return await cursor.fetchone()

    assert helpers.run(scenario()) == ROW


def test_psycopg_client_side_binding_inserts_literals():
    # Literals in a simple query would be misread if quoting were not parsed.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                await connection.execute(TABLE)
                cursor = psycopg.AsyncClientCursor(connection)
                await cursor.execute(
                    "insert into item (id, name, ok, at) values "
                    "(%s, %s, %s, %s); select name, ok, at from item",
                    (1, "a'b", True, MOMENT),
                )
                tag = cursor.statusmessage
                cursor.nextset()
                return tag, await cursor.fetchall()

    expected = ("INSERT 0 1", [("a'b", True, MOMENT)])
    assert helpers.run(scenario()) == expected


def test_asyncpg_reads_back_written_values():
    # asyncpg encodes in binary by the parameter types that the server reports.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.asyncpg_caller(server) as connection:
                await connection.execute(TABLE)
                tag = await connection.execute(ASYNCPG_INSERT, *ROW)
                row = await connection.fetchrow("select * from item")
                return tag, tuple(row)

    assert helpers.run(scenario()) == ("INSERT 0 1", ROW)


def test_psycopg_pipeline_reuses_prepared_statements():
    # Several named statements, and their reuse, must work before one Sync.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                async with connection.pipeline():
                    cursors = [
                        await connection.execute(
                            "select %s::int8", (n,), prepare=True
                        )
                        for n in range(5)
                    ]
                rows = [await cursor.fetchone() for cursor in cursors]
                await connection.execute("deallocate all")
                return rows

    assert helpers.run(scenario()) == [(n,) for n in range(5)]


def test_asyncpg_cursor_fetches_in_steps():
    # A portal with a row limit must continue where it was suspended.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.asyncpg_caller(server) as connection:
                await connection.execute("create table n (v int)")
                await connection.executemany(
                    "insert into n values ($1)", [(v,) for v in range(7)]
                )
                async with connection.transaction():
                    found = [
                        record["v"]
                        async for record in connection.cursor(
                            "select v from n order by v", prefetch=3
                        )
                    ]
                return found

    assert helpers.run(scenario()) == list(range(7))


def test_asyncpg_pool_resets_connections():
    # asyncpg's pool sends reset statements when a connection is released; if
    # the server refused or ignored them, settings would leak to the next user.
    async def scenario():
        async with running_group(1) as (server,):
            pool = await asyncpg.create_pool(
                host=server.address.host,
                port=server.address.port,
                user="caller",
                ssl=False,
                min_size=1,
                max_size=1,
            )
            async with pool:
                async with pool.acquire() as connection:
                    await connection.execute("set my.name = 'x'")
                async with pool.acquire() as connection:
                    return await connection.fetchval(
                        "select current_setting('my.name')"
                    )

    assert helpers.run(scenario()) == ""


@pytest.mark.parametrize(
    ("sql", "state"),
    [
        ("insert into item (id, name) values (1, 'b')", "23505"),
        ("insert into item (id) values (2)", "23502"),
        ("insert into item (id, name, count_) values (2, 'b', 200)", "23514"),
        ("insert into part values (9)", "23503"),
        ("select * from missing", "42P01"),
        ("select missing from item", "42703"),
        ("select missing(1)", "42883"),
        ("selec 1", "42601"),
        ("create table item (id int)", "42P07"),
        ("set no_such_name = 1", "42704"),
        ("set statement_timeout = 'soon'", "22023"),
        ("show no_such_name", "42704"),
        ("select pg_promote()", "55000"),
        ("select standin_fault('no', 'on')", "22023"),
        ("select standin_fault('freeze', 'maybe')", "22023"),
        ("select 'x'::boolean", "22P02"),
        ("savepoint a", "25001"),
        ("begin; alter system set primary_conninfo = ''", "25001"),
        ("begin read only; delete from item", "25006"),
    ],
)
@pytest.mark.parametrize("library", ["psycopg", "asyncpg"])
def test_errors_have_the_sqlstate_of_postgresql(library, sql, state):
    # Callers and the proxy choose their reaction by these codes.
    async def scenario():
        async with running_group(1) as (server,):
            await helpers.query(server, TABLE)
            await helpers.query(
                server, "create table part (of_ bigint references item (id))"
            )
            await helpers.query(
                server, "insert into item (id, name) values (1, 'a')"
            )
            caller = getattr(helpers, f"{library}_caller")
            async with caller(server) as connection:
                found = await helpers.sqlstate(connection.execute(sql))
                await connection.execute("rollback")
                await connection.execute("select 1")
            return found

    assert helpers.run(scenario()) == state


def test_error_skips_messages_to_sync():
    # A statement after an error must not run before the next Sync.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                await connection.execute("create table n (v int primary key)")
                with pytest.raises(psycopg.errors.UniqueViolation):
                    async with connection.pipeline():
                        for value in (1, 1, 2):
                            await connection.execute(
                                "insert into n values (%s)", (value,)
                            )
                return await helpers.fetch(connection, "select * from n")

    assert helpers.run(scenario()) == []


@pytest.mark.parametrize(
    ("sql", "row"),
    [
        ("show server_version", ("15.0",)),
        ("set my.key = 'x'; show my.key", ("x",)),
        ("show transaction_read_only", ("off",)),
        ("show transaction isolation level", ("read committed",)),
        ("set application_name = 'b'; reset all; show application_name",
         ("a",)),
        ("select current_database()", ("pool",)),
        ("select current_user", ("caller",)),
        ("begin; select 1; select state, usename = current_user, datname, "
         "backend_type, backend_start < clock_timestamp() "
         "from pg_stat_activity",
         ("active", True, "pool", "client backend", True)),
        ("select pg_current_wal_lsn() >= '0/1000000'::pg_lsn", (True,)),
        ("select pg_wal_lsn_diff('1/0', '0/FFFFFFFF')", (1,)),
        ("select extract(epoch from now() - '2026-01-01'::timestamptz) > 0",
         (True,)),
        ("show my.option", ("1",)),
        ("begin; set local my.key = 'x'; commit; show my.option", ("1",)),
        ("set my.key = 'a'; begin; set local my.key = 'b'; commit; "
         "show my.key", ("a",)),
        ("set my.key = 'a'; begin; set my.key = 'b'; commit; show my.key",
         ("b",)),
        ("set my.key = 'a'; begin; set my.key = 'b'; rollback; show my.key",
         ("a",)),
    ],
)  # fmt: skip
def test_queries_return_values_and_parameters(sql, row):
    # A proxy relies on the session parameters that it sets for each caller.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(
                server, application_name="a", options="-c my.option=1"
            ) as connection:
                # Sent separately, since one message is one transaction.
                for statement in sql.split("; "):
                    cursor = await connection.execute(statement)
                return await cursor.fetchone()

    assert helpers.run(scenario()) == row


def test_start_up_reports_parameters():
    # Libraries decode values by these parameters, so changes must be reported.
    async def scenario():
        async with running_group(1) as (server,):
            async with helpers.psycopg_caller(server) as connection:
                await connection.execute("set application_name = 'later'")
                status = connection.pgconn.parameter_status
                names = (
                    b"server_version",
                    b"client_encoding",
                    b"standard_conforming_strings",
                    b"integer_datetimes",
                    b"DateStyle",
                    b"TimeZone",
                    b"application_name",
                )
                return [status(name).decode() for name in names]

    expected = ["15.0", "UTF8", "on", "on", "ISO, MDY", "UTC", "later"]
    assert helpers.run(scenario()) == expected
