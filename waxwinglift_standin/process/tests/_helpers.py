"""Callers that the contract tests share."""

import asyncio
import contextlib

import asyncpg
import psycopg

# Waits end with an error after this; no test depends on the time itself.
DEADLINE_S = 10.0


def run(coroutine):
    """Run a test's coroutine, bounded in time."""

    async def bounded():
        async with asyncio.timeout(DEADLINE_S):
            return await coroutine

    return asyncio.run(bounded())


@contextlib.asynccontextmanager
async def psycopg_caller(server, **options):
    """Yield an autocommit connection of psycopg."""
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
    """Yield a connection of asyncpg."""
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
    """Run a simple query on a connection of its own; return its rows."""
    async with psycopg_caller(server) as connection:
        return await fetch(connection, sql)


async def fetch(connection, sql, parameters=None):
    """Return the rows of a query of psycopg, or its tag."""
    cursor = await connection.execute(sql, parameters)
    if cursor.description is None:
        return cursor.statusmessage
    return await cursor.fetchall()


async def sqlstate(awaitable):
    """Return the SQLSTATE that an awaitable fails with, or None."""
    try:
        await awaitable
    except (psycopg.Error, asyncpg.PostgresError) as error:
        return error.sqlstate
    return None


async def caught_up(primary, replica):
    """Wait until a replica has replayed the primary's log."""
    end_lsn = primary.state.log.end_lsn
    state = replica.state
    await state.wait_until(lambda: state.replay_lsn >= end_lsn)
