"""Load generator: callers write and read payments through several proxies.

Each write has an idempotency key.  A write with an unknown outcome is repeated
with the same key, so it is applied only once.
"""

import asyncio
import contextlib
import random
import time

import psycopg

from waxwinglift_bench.process._load_settings import LoadSettings
from waxwinglift_bench.request._payment import Outcome
from waxwinglift_bench.request._payment import Record
from waxwinglift_bench.request._payment import Statement
from waxwinglift_bench.request._payment import StatementKind

CREATE_TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS payment "
    "(id int8 PRIMARY KEY, caller text, amount_cents int8)"
)
INSERT_SQL = "INSERT INTO payment VALUES (%s, %s, %s)"
READ_SQL = "SELECT amount_cents FROM payment WHERE id = %s"

MAX_ATTEMPTS_COUNT = 60
RETRY_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 3


def _now_ms():
    return time.monotonic() * 1000.0


def is_not_run(error):
    """Return whether the proxy reported that the statement did not run."""
    detail = error.diag.message_detail or ""
    return "verdict=not_run" in detail


class Caller:
    """One caller, whose session token is valid at every proxy."""

    def __init__(self, settings: LoadSettings, rank, name, rng):
        self.settings = settings
        self.rank = rank
        self.name = name
        self.rng = rng
        self.records = []
        self.written_ids = []
        self._token = ""
        self._proxy_index = rng.randrange(len(settings.proxies))
        self._connection = None

    async def run(self, ids):
        """Run one statement per payment id until ``ids`` is exhausted."""
        try:
            for number, payment_id in enumerate(ids, start=1):
                if number % self.settings.roam_every_count == 0:
                    await self._switch_proxy()
                await self._run_one(payment_id)
        finally:
            await self._disconnect()

    async def _run_one(self, payment_id):
        is_write = self.rng.randrange(100) < self.settings.write_percent
        if is_write or not self.written_ids:
            statement = Statement(payment_id, self.rank, StatementKind.WRITE)
        else:
            recent = self.written_ids[-5:]
            statement = Statement(
                self.rng.choice(recent), self.rank, StatementKind.READ
            )
        started_ms = _now_ms()
        outcome, attempts_count = await self._execute_with_retries(statement)
        self.records.append(
            Record(
                statement,
                outcome,
                started_ms,
                _now_ms() - started_ms,
                attempts_count,
            )
        )
        acknowledged = outcome is Outcome.ACKNOWLEDGED
        if statement.kind is StatementKind.WRITE and acknowledged:
            self.written_ids.append(statement.payment_id)

    async def _execute_with_retries(self, statement):
        outcome = Outcome.NOT_RUN
        for attempt in range(1, MAX_ATTEMPTS_COUNT + 1):
            try:
                return await self._execute(statement), attempt
            except psycopg.Error as error:
                if not is_not_run(error):
                    outcome = Outcome.UNKNOWN
                await self._disconnect()
                self._proxy_index += 1
                await asyncio.sleep(RETRY_DELAY_S)
        return outcome, MAX_ATTEMPTS_COUNT

    async def _execute(self, statement):
        connection = await self._connect()
        if statement.kind is StatementKind.READ:
            cursor = await connection.execute(
                READ_SQL, (statement.payment_id,)
            )
            row = await cursor.fetchone()
            self._store_token()
            return Outcome.ACKNOWLEDGED if row else Outcome.STALE_READ
        key = f"payment-{statement.payment_id}"
        await connection.execute(f"SET waxwinglift.idempotency_key = '{key}'")
        await connection.execute(
            INSERT_SQL, (statement.payment_id, self.name, 150_000)
        )
        self._store_token()
        return Outcome.ACKNOWLEDGED

    async def _connect(self):
        if self._connection is None:
            proxies = self.settings.proxies
            address = proxies[self._proxy_index % len(proxies)]
            options = f"-c waxwinglift.rank={self.rank}"
            if self._token:
                options += f" -c waxwinglift.token={self._token}"
            self._connection = await psycopg.AsyncConnection.connect(
                host=address.host,
                port=address.port,
                user="caller",
                dbname=self.settings.pool,
                options=options,
                autocommit=True,
                connect_timeout=CONNECT_TIMEOUT_S,
            )
        return self._connection

    async def _disconnect(self):
        connection, self._connection = self._connection, None
        if connection is not None:
            with contextlib.suppress(psycopg.Error):
                await connection.close()

    async def _switch_proxy(self):
        await self._disconnect()
        self._proxy_index += 1

    def _store_token(self):
        status = self._connection.pgconn.parameter_status
        token = status(b"waxwinglift.token")
        if token:
            self._token = token.decode()


async def create_tables(settings, *statements):
    """Run DDL statements through the first proxy."""
    address = settings.proxies[0]
    connection = await psycopg.AsyncConnection.connect(
        host=address.host,
        port=address.port,
        user="caller",
        dbname=settings.pool,
        options="-c waxwinglift.access=write",
        autocommit=True,
        connect_timeout=CONNECT_TIMEOUT_S,
    )
    async with connection:
        for statement in statements:
            await connection.execute(statement)


async def run_load(settings):
    """Run the load and return the Records of all callers."""
    ids = iter(range(1, settings.statements_count + 1))
    callers = []
    for rank, count in settings.rank_callers:
        for number in range(count):
            name = f"{rank}-{number}"
            rng = random.Random(f"{settings.seed}-{name}")
            callers.append(Caller(settings, rank, name, rng))
    tasks = [asyncio.create_task(caller.run(ids)) for caller in callers]
    done, pending = await asyncio.wait(tasks, timeout=settings.time_limit_s)
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
    for task in done:
        task.result()
    return [record for caller in callers for record in caller.records]
