"""Connections of client libraries and queries for the tests."""

import asyncio
import contextlib

import asyncpg
import psycopg

# Time limit of a test; no result depends on its value.
DEADLINE_S = 10.0


def run(coroutine):
    """Run a test's coroutine with a time limit."""

    async def bounded():
        async with asyncio.timeout(DEADLINE_S):
            return await coroutine

    return asyncio.run(bounded())


@contextlib.asynccontextmanager
async def psycopg_caller(server, **options):
    """Yield a psycopg connection in autocommit mode."""
    connection = await psycopg.AsyncConnection.connect(
        host=server.address.host,
        port=server.address.port,
        user="caller",
        dbname="pool",
        autocommit=True,
        **options,
    )
    async with connection:
        yield connection


@contextlib.asynccontextmanager
async def asyncpg_caller(server, **options):
    """Yield an asyncpg connection."""
    connection = await asyncpg.connect(
        host=server.address.host,
        port=server.address.port,
        user="caller",
        database="pool",
        ssl=False,
        **options,
    )
    try:
        yield connection
    finally:
        connection.terminate()


async def query(server, sql):
    """Run a query on a new connection and return its rows or its tag."""
    async with psycopg_caller(server) as connection:
        return await fetch(connection, sql)


async def fetch(connection, sql, parameters=None):
    """Run a query with psycopg and return its rows, or its command tag."""
    cursor = await connection.execute(sql, parameters)
    if cursor.description is None:
        return cursor.statusmessage
    return await cursor.fetchall()


async def sqlstate(awaitable):
    """Return the SQLSTATE of the error from `awaitable`, or None."""
    try:
        await awaitable
    except (psycopg.Error, asyncpg.PostgresError) as error:
        return error.sqlstate
    return None


async def wait_until_caught_up(primary, replica):
    """Wait until a replica has replayed the primary's whole log."""
    end_lsn = primary.state.log.end_lsn
    state = replica.state
    await state.wait_until(lambda: state.replay_lsn >= end_lsn)
