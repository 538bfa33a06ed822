"""Tests statements of callers through one and two proxies."""

import asyncio

import asyncpg
import psycopg
import pytest

from waxwinglift.process.tests.data_path_fleet import POOL
from waxwinglift.process.tests.data_path_fleet import running_fleet

TABLE = "CREATE TABLE t (id int PRIMARY KEY, v text)"


def run(scenario, **options):
    """Run a scenario with a fleet, within a time limit."""

    async def work():
        async with asyncio.timeout(15):
            async with running_fleet(**options) as (servers, proxies):
                await scenario(servers, proxies)

    asyncio.run(work())


async def connect(proxy, options="", **arguments):
    """Return an autocommit connection of psycopg."""
    option_text = " ".join(
        f"-c waxwinglift.{option}" for option in options.split()
    )
    arguments = {"autocommit": True, "options": option_text} | arguments
    return await psycopg.AsyncConnection.connect(proxy.conninfo, **arguments)


async def fetch(connection, text, *parameters, **arguments):
    """Return the rows of a query."""
    cursor = await connection.execute(text, parameters or None, **arguments)
    return await cursor.fetchall()


async def _use_simple(proxy):
    async with await connect(proxy) as caller:
        await caller.execute("INSERT INTO t VALUES (1, 'a')")
        return await fetch(caller, "SELECT v FROM t WHERE id = 1")


async def _use_extended(proxy):
    async with await connect(proxy) as caller:
        await caller.execute("INSERT INTO t VALUES (%s, %s)", (1, "a"))
        return await fetch(caller, "SELECT v FROM t WHERE id = %s", 1)


async def _use_prepared(proxy):
    async with await connect(proxy) as caller:
        await caller.execute("INSERT INTO t VALUES (1, 'a')")
        for _ in range(8):
            rows = await fetch(
                caller, "SELECT v FROM t WHERE id = %s", 1, prepare=True
            )
        return rows


async def _use_pipeline(proxy):
    async with await connect(proxy) as caller:
        async with caller.pipeline():
            await caller.execute("INSERT INTO t VALUES (%s, %s)", (1, "a"))
            cursor = await caller.execute(
                "SELECT v FROM t WHERE id = %s", (1,)
            )
        return await cursor.fetchall()


async def _use_asyncpg(proxy):
    address = proxy.entry.address
    caller = await asyncpg.connect(
        host=address.host,
        port=address.port,
        user="test",
        database=POOL,
        ssl=False,
    )
    await caller.execute("INSERT INTO t VALUES (1, 'a')")
    async with caller.transaction():
        await caller.fetch("SELECT v FROM t WHERE id = $1", 1)
    statement = await caller.prepare("SELECT v FROM t WHERE id = $1")
    for _ in range(4):
        rows = await statement.fetch(1)
    assert await caller.fetchval("SHOW waxwinglift.token")
    await caller.reset()
    await caller.close()
    return [tuple(row) for row in rows]


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize(
    "use",
    [_use_simple, _use_extended, _use_prepared, _use_pipeline, _use_asyncpg],
)
def test_each_form_of_query_returns_its_rows(use, proxy_count):
    # Client libraries use different messages.  An answer to the wrong message
    # would block the client or give it wrong results.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute(TABLE)
        assert await use(proxies[0]) == [("a",)]

    run(scenario, proxy_count=proxy_count)


def test_prepared_statements_work_on_other_connections():
    # A statement prepared on one endpoint connection does not exist on the
    # others, so the proxy has to prepare it there.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute(TABLE)
            await fetch(caller, "SELECT %s::int", 7, prepare=True)
            for server in servers:
                drop_sessions(server)
            await asyncio.sleep(0.05)
            rows = await fetch(caller, "SELECT %s::int", 8, prepare=True)
        assert rows == [(8,)]

    run(scenario)


def test_transactions_of_callers_are_isolated():
    # Two open blocks must never use the same endpoint connection.
    async def scenario(servers, proxies):
        async with (
            await connect(proxies[0]) as first,
            await connect(proxies[0]) as second,
        ):
            await first.execute(TABLE)
            async with first.transaction():
                await first.execute("INSERT INTO t VALUES (1, 'a')")
                during = await fetch(second, "SELECT count(*) FROM t")
                raise psycopg.Rollback
            after = await fetch(first, "SELECT count(*) FROM t")
        assert during == after == [(0,)]

    run(scenario)


@pytest.mark.parametrize("has_token", [True, False])
def test_session_reads_its_writes_at_another_proxy(has_token):
    # Both replicas lag behind the write.  The second proxy must get the floor
    # from the token or from the primary, or it would return stale rows.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute(TABLE)
            for server in servers[1:]:
                server.set_fault("lag", "0/150")
            await caller.execute("INSERT INTO t VALUES (1, 'a')")
            token = caller.info.parameter_status("waxwinglift.token")
        options = f"token={token}" if has_token else ""
        async with await connect(proxies[1], options) as caller:
            assert await fetch(caller, "SELECT v FROM t") == [("a",)]

    run(scenario, proxy_count=2)


async def _delay_replicas(servers):
    for server in servers[1:]:
        server.set_fault("lag", "0/400")


async def _no_fault(servers):
    return None


@pytest.mark.parametrize(
    ("add_fault", "options", "expected", "served"),
    [
        (_no_fault, "", [("a",)], "entry.served.replica"),
        (_delay_replicas, "", [("b",)], "entry.served.primary"),
        (
            _delay_replicas,
            "max_age_ms=60000",
            [("a",)],
            "entry.served.replica",
        ),
    ],
)
def test_reads_use_replicas_within_floor_or_age(
    add_fault, options, expected, served
):
    # A read below the floor would break read-your-writes; sending all reads
    # to the primary would leave the replicas unused.
    async def scenario(servers, proxies):
        proxy = proxies[0]
        async with await connect(proxy, options) as caller:
            await caller.execute(TABLE)
            await caller.execute("INSERT INTO t VALUES (1, 'a')")
            await fetch(caller, "SELECT v FROM t")
            await asyncio.sleep(0.05)
            await add_fault(servers)
            if expected == [("b",)] or options:
                await caller.execute("UPDATE t SET v = 'b'")
            before = proxy.metrics.counts.get(served, 0)
            assert await fetch(caller, "SELECT v FROM t") == expected
            assert proxy.metrics.counts[served] == before + 1

    run(scenario)


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_write_sent_to_a_replica_is_rerouted(proxy_count):
    # The access setting sends the write to a replica, which refuses it with
    # 25006; the primary must then run it.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute(TABLE)
            await caller.execute("SET waxwinglift.access = 'read'")
            await caller.execute("INSERT INTO t VALUES (1, 'a')")
            assert await fetch(caller, "SELECT v FROM t") == [("a",)]
        assert proxies[0].metrics.counts["entry.rerouted"] == 1

    run(scenario, proxy_count=proxy_count)


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_repeated_key_runs_the_request_once(proxy_count):
    # A repeat with the same idempotency key must return the first outcome
    # and change nothing.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE p (v int)")
            for _ in range(2):
                await caller.execute("SET waxwinglift.idempotency_key = 'k1'")
                cursor = await caller.execute("INSERT INTO p VALUES (1)")
                assert cursor.statusmessage == "INSERT 0 1"
            await caller.execute("INSERT INTO p VALUES (2)")
            rows = await fetch(caller, "SELECT v FROM p ORDER BY v")
        assert rows == [(1,), (2,)]

    run(scenario, proxy_count=proxy_count)


def test_repeated_key_of_a_block_is_reported_as_ran():
    # The answers of a block cannot be repeated, so a second block with the
    # same key must not start.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE p (v int)")
            await caller.execute("SET waxwinglift.idempotency_key = 'k1'")
            async with caller.transaction():
                await caller.execute("INSERT INTO p VALUES (1)")
            await caller.execute("SET waxwinglift.idempotency_key = 'k1'")
            with pytest.raises(psycopg.Error) as caught:
                await caller.execute("BEGIN")
            assert caught.value.sqlstate == "WX001"
            assert caught.value.diag.message_detail == "verdict=ran"
            assert await fetch(caller, "SELECT v FROM p") == [(1,)]

    run(scenario)


def test_reset_restores_the_start_up_values():
    # Client-side pools send RESET ALL before they reuse a connection.  This
    # must not move an urgent caller to the least urgent rank.
    async def scenario(servers, proxies):
        option_text = "rank=urgent access=write"
        async with await connect(proxies[0], option_text) as caller:
            for reset_command in (
                "RESET ALL",
                "DISCARD ALL",
                "RESET waxwinglift.rank",
            ):
                await caller.execute("SET waxwinglift.rank = 'low'")
                await caller.execute(reset_command)
                shown = await fetch(caller, "SHOW waxwinglift.rank")
                assert shown == [("urgent",)]

    run(scenario, size=1)


def test_settings_apply_only_to_their_session():
    # Sessions share endpoint connections: a setting must neither affect
    # another caller nor get lost.
    async def scenario(servers, proxies):
        async with (
            await connect(proxies[0]) as first,
            await connect(proxies[0]) as second,
        ):
            await first.execute("SET application_name = 'first'")
            for _ in range(8):
                first_name = await fetch(first, "SHOW application_name")
                second_name = await fetch(second, "SHOW application_name")
                name = "waxwinglift owner 1"
                assert (first_name, second_name) == ([("first",)], [(name,)])
            await first.execute("RESET ALL")
            reset = await fetch(first, "SHOW application_name")
            assert reset == [("waxwinglift owner 1",)]

    run(scenario)


def drop_sessions(server):
    """Close all connections of a server from its side."""
    for session in list(server.state.sessions.values()):
        session._writer.close()
