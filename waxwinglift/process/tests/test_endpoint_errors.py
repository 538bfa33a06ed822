"""Tests errors that an endpoint itself returns."""

import asyncio

import psycopg
import pytest

from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run

INSERT_ROW_2 = "INSERT INTO t VALUES (2)"
INSERT_ROW_1 = "INSERT INTO t VALUES (1)"


@pytest.mark.parametrize(
    ("statements", "sqlstate", "kept"),
    [
        # ``kept`` lists the committed rows besides row 1.
        ([INSERT_ROW_1], "23505", []),
        ([f"{INSERT_ROW_2}; {INSERT_ROW_1}"], "23505", []),
        ([INSERT_ROW_2, INSERT_ROW_1], "23505", [2]),
        ([f"BEGIN; {INSERT_ROW_2}; COMMIT; {INSERT_ROW_1}"], "23505", [2]),
        (["BEGIN", INSERT_ROW_2, INSERT_ROW_1], "23505", []),
        (["BEGIN", INSERT_ROW_2, INSERT_ROW_1, INSERT_ROW_2], "23505", []),
        (["SET statement_timeout = 50", "SELECT pg_sleep(1)"], "57014", []),
    ],
)
@pytest.mark.parametrize("key", ["", "k"])
def test_error_of_the_endpoint_has_no_verdict(statements, sqlstate, kept, key):
    """A verdict would hide from callers that the endpoint itself answered.

    For errors without a verdict, the rules in docs/OPERATIONS.md define which
    statements took effect.
    """

    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write") as caller:
            await caller.execute("CREATE TABLE t (id int PRIMARY KEY)")
            await caller.execute(INSERT_ROW_1)
            await caller.execute(f"SET waxwinglift.idempotency_key = '{key}'")
            with pytest.raises(psycopg.Error) as caught:
                for statement in statements:
                    await caller.execute(statement)
            assert caught.value.sqlstate == sqlstate
            assert caught.value.diag.message_detail is None
            cursor = await caller.execute("ROLLBACK")
            assert cursor.statusmessage == "ROLLBACK"
            rows = await fetch(caller, "SELECT id FROM t ORDER BY id")
            assert rows == [(number,) for number in [1, *kept]]

    run(scenario, proxy_count=2)


async def _end_serving_sessions(server):
    address = server.address
    direct = await psycopg.AsyncConnection.connect(
        f"host={address.host} port={address.port} user=t dbname=group",
        autocommit=True,
    )
    async with direct:
        await direct.execute(
            "SELECT pg_terminate_backend(pid) FROM pg_stat_activity "
            "WHERE application_name LIKE 'waxwinglift owner %'"
        )


@pytest.mark.parametrize("is_block", [False, True])
@pytest.mark.parametrize("parameters", [None, (0.6,)])
@pytest.mark.parametrize("proxy_count", [1, 2])
def test_terminated_endpoint_session_is_reported_as_may_have_run(
    is_block, parameters, proxy_count
):
    """The FATAL error of the endpoint must not be passed on as an answer.

    It would tell the caller that its own connection ends, and it does not
    show whether the statement ran.
    """

    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write") as caller:
            if is_block:
                await caller.execute("BEGIN")
            text = "SELECT pg_sleep(0.6)" if parameters is None else ""
            text = text or "SELECT pg_sleep(%s::float8)"
            work = asyncio.ensure_future(caller.execute(text, parameters))
            await asyncio.sleep(0.1)
            await _end_serving_sessions(servers[0])
            with pytest.raises(psycopg.Error) as caught:
                await work
            diagnosis = caught.value.diag
            assert (diagnosis.severity, diagnosis.sqlstate) == (
                "ERROR",
                "08007",
            )
            assert diagnosis.message_detail == "verdict=may_have_run"
            await caller.execute("ROLLBACK")
            assert await fetch(caller, "SELECT 1") == [(1,)]

    run(scenario, proxy_count=proxy_count)


def test_terminated_idle_session_is_hidden_from_the_caller():
    """Its FATAL error must not become the answer to the next statement."""

    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write") as caller:
            await caller.execute("CREATE TABLE t (id int PRIMARY KEY)")
            await _end_serving_sessions(servers[0])
            await asyncio.sleep(0.02)
            await caller.execute(INSERT_ROW_2)
            assert await fetch(caller, "SELECT id FROM t") == [(2,)]

    run(scenario)


def test_key_of_a_failed_request_can_be_used_again():
    """A failed request must not prevent a retry with the same key."""

    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int PRIMARY KEY)")
            await caller.execute(INSERT_ROW_1)
            for statement in (INSERT_ROW_1, INSERT_ROW_2):
                await caller.execute("SET waxwinglift.idempotency_key = 'k'")
                try:
                    await caller.execute(statement)
                except psycopg.errors.UniqueViolation:
                    continue
            rows = await fetch(caller, "SELECT id FROM t ORDER BY id")
            assert rows == [(1,), (2,)]

    run(scenario)
