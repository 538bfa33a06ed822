"""Tests that a stopping proxy answers the PostgreSQL requests it has read."""

import asyncio
import contextlib

import psycopg
import pytest

from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run

# Shorter than the statements of these tests.
_BLOCK_LIMIT_MS = 100.0


@contextlib.asynccontextmanager
async def _connected(proxy):
    """Yield a connection; unlike psycopg's own context, send no COMMIT."""
    caller = await connect(proxy)
    try:
        yield caller
    finally:
        await caller.close()


async def _shut_down(proxy):
    await proxy.entry.drain()
    await proxy.entry.stop()


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize("is_in_block", [False, True])
def test_query_that_outlasts_the_block_limit_of_a_drain_is_served(
    is_in_block, proxy_count
):
    # The limit for open transactions must not cut a running statement: its
    # caller lost the connection without an answer.
    async def scenario(servers, proxies):
        async with _connected(proxies[0]) as caller:
            if is_in_block:
                await caller.execute("BEGIN")
            work = asyncio.ensure_future(
                fetch(caller, "SELECT 1, pg_sleep(0.3)")
            )
            await asyncio.sleep(0.05)
            await _shut_down(proxies[0])
            assert await work == [(1, "")]

    run(
        scenario,
        proxy_count=proxy_count,
        entry={"drain_timeout_ms": _BLOCK_LIMIT_MS},
    )


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize("is_in_block", [False, True])
def test_query_that_runs_when_the_proxy_stops_gets_a_verdict(
    is_in_block, proxy_count
):
    # A session that is stopped must not close without an answer, and the
    # answer must not claim that the statement has not run.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            if is_in_block:
                await caller.execute("BEGIN")
            work = asyncio.ensure_future(
                fetch(caller, "SELECT 1, pg_sleep(5)")
            )
            await asyncio.sleep(0.1)
            await proxies[0].entry.stop()
            with pytest.raises(psycopg.Error) as caught:
                await work
            detail = caught.value.diag.message_detail
            assert detail == "verdict=may_have_run"

    run(scenario, proxy_count=proxy_count)


@pytest.mark.parametrize("is_in_block", [False, True])
def test_stop_notifies_the_caller_of_an_idle_session(is_in_block):
    # A session that waits for its caller must not end without a message.
    async def scenario(servers, proxies):
        async with _connected(proxies[0]) as caller:
            if is_in_block:
                await caller.execute("BEGIN")
                await caller.execute("SELECT 1")
            await proxies[0].entry.stop()
            with pytest.raises(psycopg.errors.AdminShutdown):
                await caller.execute("SELECT 1")

    run(scenario)


def test_query_that_meets_an_unexpected_error_gets_a_verdict():
    # A fault in a session must not close it without an answer.
    async def scenario(servers, proxies):
        def find_executor(daemon):
            raise RuntimeError("fault of a test")

        async with _connected(proxies[0]) as caller:
            executors = proxies[0].entry.context.executors
            executors.executor_for = find_executor
            with pytest.raises(psycopg.Error) as caught:
                await caller.execute("SELECT 1")
            assert "internal error" in caught.value.diag.message_primary
            detail = caught.value.diag.message_detail
            assert detail == "verdict=may_have_run"
            counts = proxies[0].metrics.counts
            assert counts["entry.interrupted.internal_error"] == 1

    run(scenario)


async def _wait_for_running(proxy, count):
    """Wait until ``count`` transactions run at the owners of a proxy."""
    owners = proxy.owners._owners.values()
    async with asyncio.timeout(2):
        while sum(len(owner._running) for owner in owners) < count:
            await asyncio.sleep(0.01)


def test_drain_of_an_owner_ends_idle_transactions_before_queries():
    # The limit for open transactions must end those that wait for their
    # caller, and must not cut a query that runs at the owner.
    async def scenario(servers, proxies):
        async with (
            _connected(proxies[0]) as idle,
            _connected(proxies[0]) as busy,
        ):
            await idle.execute("BEGIN")
            await idle.execute("SELECT 1")
            work = asyncio.ensure_future(
                fetch(busy, "SELECT 1, pg_sleep(0.4)")
            )
            await _wait_for_running(proxies[1], count=2)
            async with asyncio.timeout(2):
                await proxies[1].owners.drain()
            assert await work == [(1, "")]
            with pytest.raises(psycopg.Error) as caught:
                await idle.execute("SELECT 1")
            assert caught.value.diag.message_detail == "verdict=not_run"

    run(
        scenario,
        proxy_count=2,
        owner={"drain_timeout_ms": _BLOCK_LIMIT_MS},
    )
