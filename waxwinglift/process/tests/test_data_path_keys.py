"""Tests that an idempotency key is stored only with its request."""

import psycopg
import pytest

from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run

TABLE_SQL = "CREATE TABLE payment (id int8 PRIMARY KEY)"
INSERT_SQL = "INSERT INTO payment VALUES (%s)"
KEYS_SQL = "SELECT key, tag FROM waxwinglift_idempotency"


async def _insert(caller, number, prepare):
    await caller.execute(f"SET waxwinglift.idempotency_key = 'key-{number}'")
    await caller.execute(INSERT_SQL, (number,), prepare=prepare)


@pytest.mark.parametrize(
    ("prepare", "inserts_count"),
    [
        # Parsed and run in one exchange.
        (False, 1),
        # A Parse in a separate exchange must not use the key: the insert
        # would then run without a key, and a repeat would be reported as
        # done even if the insert had been lost.
        (True, 1),
        # psycopg prepares a statement after five executions.
        (None, 8),
    ],
)
def test_key_is_stored_with_its_insert(prepare, inserts_count):
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute(TABLE_SQL)
            for number in range(inserts_count):
                await _insert(caller, number, prepare)
            # A repeat after a lost answer must not run again.
            await _insert(caller, inserts_count - 1, prepare)
            keys = await fetch(caller, KEYS_SQL)
            payments = await fetch(caller, "SELECT id FROM payment")
        expected = {(f"key-{n}", "INSERT 0 1") for n in range(inserts_count)}
        assert set(keys) == expected
        assert len(payments) == inserts_count

    run(scenario, proxy_count=2)


def test_failed_statement_stores_no_key():
    # If the key remained after the rollback, a repeat would be refused
    # although the request has not run.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute(TABLE_SQL)
            await caller.execute(INSERT_SQL, (1,))
            with pytest.raises(psycopg.errors.UniqueViolation):
                await _insert(caller, 1, False)
            assert await fetch(caller, KEYS_SQL) == []

    run(scenario)
