"""Tests that transactions declared as read-only run on replicas."""

import psycopg
import pytest

from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run

COUNT = "SELECT count(*) FROM t"
INSERT = "INSERT INTO t VALUES (1)"
SET_READ_ONLY = "SET default_transaction_read_only = "
SET_MODES = "SET SESSION CHARACTERISTICS AS TRANSACTION "
SERIALIZABLE = psycopg.IsolationLevel.SERIALIZABLE


def served(proxy):
    """Return the numbers of exchanges served by replicas and the primary."""
    counts = proxy.metrics.counts
    names = ("entry.served.replica", "entry.served.primary")
    return [counts.get(name, 0) for name in names]


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize(
    ("before", "begin", "is_on_replica"),
    [
        ([], "BEGIN", False),
        ([], "BEGIN READ ONLY", True),
        ([], "START TRANSACTION ISOLATION LEVEL READ COMMITTED, READ ONLY",
         True),
        ([], "BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY", False),
        ([f"{SET_READ_ONLY}on"], "BEGIN", True),
        ([f"{SET_READ_ONLY}'true'"], "BEGIN ISOLATION LEVEL REPEATABLE READ",
         True),
        ([f"{SET_READ_ONLY}on"], "BEGIN READ WRITE", False),
        ([f"{SET_READ_ONLY}on"], "BEGIN ISOLATION LEVEL SERIALIZABLE", False),
        ([f"{SET_READ_ONLY}on", f"{SET_READ_ONLY}off"], "BEGIN", False),
        ([f"{SET_READ_ONLY}on", f"{SET_READ_ONLY}DEFAULT"], "BEGIN", False),
        ([f"{SET_READ_ONLY}on", "RESET default_transaction_read_only"],
         "BEGIN", False),
        ([f"{SET_READ_ONLY}on", "RESET ALL"], "BEGIN", False),
        ([f"{SET_MODES}READ ONLY"], "BEGIN", True),
        ([f"{SET_MODES}ISOLATION LEVEL REPEATABLE READ, READ ONLY"], "BEGIN",
         True),
        ([f"{SET_MODES}READ ONLY", f"{SET_MODES}READ WRITE"], "BEGIN", False),
        ([f"{SET_MODES}ISOLATION LEVEL SERIALIZABLE, READ ONLY"], "BEGIN",
         False),
        (["SET waxwinglift.access = 'read'"], "BEGIN", True),
        ([f"{SET_READ_ONLY}on", "SET waxwinglift.access = 'write'"], "BEGIN",
         False),
    ],
)  # fmt: skip
def test_only_read_only_blocks_run_on_a_replica(
    proxy_count, before, begin, is_on_replica
):
    """If none did, drivers that put reads in blocks would use no replica."""

    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int)")
            for statement in before:
                await caller.execute(statement)
            earlier = served(proxies[0])
            for statement in (begin, COUNT, "COMMIT"):
                await caller.execute(statement)
            counts = zip(served(proxies[0]), earlier, strict=True)
            expected = [3, 0] if is_on_replica else [0, 3]
            assert [now - then for now, then in counts] == expected

    run(scenario, proxy_count=proxy_count)


@pytest.mark.parametrize(
    ("attributes", "options", "is_on_replica"),
    [
        ({}, "", False),
        ({"read_only": True}, "", True),
        ({"read_only": True, "isolation_level": SERIALIZABLE}, "", False),
        ({}, "-c default_transaction_read_only=on", True),
        ({"read_only": False}, "-c default_transaction_read_only=on", False),
    ],
)
def test_read_only_transaction_of_a_driver_runs_on_a_replica(
    attributes, options, is_on_replica
):
    """The modes that a driver sets when it opens a block must be recognised.

    psycopg opens each transaction itself, with the modes of its connection.
    """

    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int)")
        async with await psycopg.AsyncConnection.connect(
            proxies[0].conninfo, options=options
        ) as caller:
            for name, value in attributes.items():
                await getattr(caller, f"set_{name}")(value)
            earlier = served(proxies[0])
            assert await fetch(caller, COUNT) == [(0,)]
            await caller.commit()
            counts = zip(served(proxies[0]), earlier, strict=True)
            expected = [3, 0] if is_on_replica else [0, 3]
            assert [now - then for now, then in counts] == expected

    run(scenario)


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize(
    ("before", "begin"),
    [
        ([], "BEGIN READ ONLY"),
        ([f"{SET_READ_ONLY}on"], "BEGIN"),
        ([f"{SET_MODES}READ ONLY"], "BEGIN"),
        ([f"{SET_MODES}READ ONLY"], None),
    ],
)
def test_write_in_a_read_only_transaction_is_refused(
    proxy_count, before, begin
):
    """A caller must learn that a write in a read-only block had no effect."""

    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int)")
            for statement in before:
                await caller.execute(statement)
            if begin is not None:
                await caller.execute(begin)
            with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
                await caller.execute(INSERT)
            if begin is not None:
                with pytest.raises(psycopg.errors.InFailedSqlTransaction):
                    await caller.execute(COUNT)
                await caller.execute("ROLLBACK")
            assert await fetch(caller, COUNT) == [(0,)]

    run(scenario, proxy_count=proxy_count)
