"""Tests which faults a caller notices, and the errors it then gets."""

import asyncio
import dataclasses

import psycopg
import pytest

from waxwinglift.process.tests.data_path_fleet import GROUP
from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import drop_sessions
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run
from waxwinglift.version import EndpointState
from waxwinglift.version import GroupPhase

SHORT_TIMEOUTS = {
    "owner": {
        "statement_timeout_ms": 250,
        "silence_ms": 100,
        "commit_wait": {"timeout_ms": 200},
    }
}
INSERT = "INSERT INTO t VALUES (1)"
SLEEP = "SELECT pg_sleep(2)"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault, when it starts, and the error that the caller must get."""

    name: str
    start: object
    sqlstate: str
    verdict: str
    statement: str = INSERT
    starts_during_statement: bool = False
    options: str = "access=write deadline_ms=300"


async def _drop_connections(servers, proxies, caller):
    for server in servers:
        drop_sessions(server)


async def _silence(servers, proxies, caller):
    servers[0].set_fault("silence", "on")


async def _cancel(servers, proxies, caller):
    await caller.cancel_safe()


async def _cut_replication(servers, proxies, caller):
    servers[0].set_fault("cut_replication", "on")


async def _delay_replication(servers, proxies, caller):
    for server in servers[1:]:
        server.set_fault("lag", "5000/0")


async def _lose_lease(servers, proxies, caller):
    for proxy in proxies:
        proxy.lease["is_live"] = False


async def _delay_and_lose_lease(servers, proxies, caller):
    await _delay_replication(servers, proxies, caller)
    loop = asyncio.get_running_loop()
    for proxy in proxies:
        loop.call_later(0.1, proxy.lease.update, {"is_live": False})


async def _delay_and_raise_term(servers, proxies, caller):
    await _delay_replication(servers, proxies, caller)

    def change():
        group = proxies[0].view.group(GROUP)
        group.term += 1
        group.phase = GroupPhase.FENCING
        for proxy in proxies:
            proxy.view.notify()

    asyncio.get_running_loop().call_later(0.1, change)


async def _start_fencing(servers, proxies, caller):
    proxies[0].view.group(GROUP).phase = GroupPhase.FENCING
    for proxy in proxies:
        proxy.view.notify()


async def _mark_leaving(servers, proxies, caller):
    endpoint = proxies[0].view.group(GROUP).primary
    proxies[0].view.endpoint(endpoint).state = EndpointState.LEAVING
    for proxy in proxies:
        proxy.view.notify()


FAULTS = [
    Fault(
        "connection lost after sending",
        _drop_connections,
        "08007",
        "may_have_run",
        SLEEP,
        True,
    ),
    Fault(
        "silent connections",
        _silence,
        "08007",
        "may_have_run",
        options="access=write",
    ),
    Fault("cancel", _cancel, "57014", "may_have_run", SLEEP, True),
    Fault(
        "deadline of the caller",
        lambda *_: asyncio.sleep(0),
        "57014",
        "may_have_run",
        SLEEP,
        options="access=write deadline_ms=50",
    ),
    Fault("no replica", _cut_replication, "08007", "may_have_run"),
    Fault("no quorum in time", _delay_replication, "08007", "may_have_run"),
    Fault("no lease", _lose_lease, "57P03", "not_run"),
    Fault(
        "lease lost during the commit wait",
        _delay_and_lose_lease,
        "08007",
        "may_have_run",
    ),
    Fault(
        "term raised during the commit wait",
        _delay_and_raise_term,
        "08007",
        "may_have_run",
    ),
    Fault("change of primary", _start_fencing, "57P03", "not_run"),
    Fault("endpoint leaving", _mark_leaving, "57P03", "not_run"),
]


async def count_rows(server):
    """Return the number of rows of the table at a server."""
    address = server.address
    conninfo = f"host={address.host} port={address.port} user=t dbname=group"
    direct = await psycopg.AsyncConnection.connect(conninfo, autocommit=True)
    async with direct:
        return (await fetch(direct, "SELECT count(*) FROM t"))[0][0]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_fault_is_reported_with_the_right_verdict(fault):
    # A wrong NOT_RUN would make a caller repeat a write that has run.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], fault.options) as caller:
            await caller.execute("CREATE TABLE t (id int)")
            if not fault.starts_during_statement:
                await fault.start(servers, proxies, caller)
            work = asyncio.ensure_future(caller.execute(fault.statement))
            if fault.starts_during_statement:
                await asyncio.sleep(0.1)
                await fault.start(servers, proxies, caller)
            with pytest.raises(psycopg.Error) as caught:
                await work
            assert caught.value.sqlstate == fault.sqlstate
            detail = caught.value.diag.message_detail
            assert detail == f"verdict={fault.verdict}"
            if fault.verdict == "not_run":
                assert await count_rows(servers[0]) == 0

    run(scenario, proxy_count=2, **SHORT_TIMEOUTS)


async def _freeze_briefly(servers, proxies, caller):
    servers[0].set_fault("freeze", "150")


async def _fence_briefly(servers, proxies, caller):
    await _start_fencing(servers, proxies, caller)

    def end():
        proxies[0].view.group(GROUP).phase = GroupPhase.ACTIVE
        for proxy in proxies:
            proxy.view.notify()

    asyncio.get_running_loop().call_later(0.15, end)


async def _drop_and_detect(servers, proxies, caller):
    await _drop_connections(servers, proxies, caller)
    await asyncio.sleep(0.05)


async def _silence_and_detect(servers, proxies, caller):
    await _silence(servers, proxies, caller)
    with pytest.raises(psycopg.Error):
        await caller.execute("SELECT 1")
    await asyncio.sleep(0.4)


@pytest.mark.parametrize(
    "start",
    [_freeze_briefly, _fence_briefly, _drop_and_detect, _silence_and_detect],
)
def test_short_fault_is_hidden_from_the_caller(start):
    # A request must not fail if it can still run before its deadline, after
    # a wait or on another connection.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write") as caller:
            await caller.execute("CREATE TABLE t (id int)")
            await start(servers, proxies, caller)
            await caller.execute(INSERT)
            assert await fetch(caller, "SELECT count(*) FROM t") == [(1,)]

    run(scenario, proxy_count=2, **SHORT_TIMEOUTS)


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_late_answer_is_not_returned_for_the_next_statement(proxy_count):
    # The late answer of a cancelled statement must not be returned as the
    # answer to the next statement on the same connection.
    async def scenario(servers, proxies):
        async def run_queries(number):
            async with await connect(proxies[0], "access=write") as caller:
                for step in range(6):
                    if step % 2:
                        work = caller.execute("SELECT pg_sleep(0.5), 'late'")
                        work = asyncio.ensure_future(work)
                        await asyncio.sleep(0.01)
                        await caller.cancel_safe()
                        with pytest.raises(psycopg.Error):
                            await work
                    value = f"{number}-{step}"
                    rows = await fetch(caller, f"SELECT '{value}'")
                    assert rows == [(value,)]

        await asyncio.gather(*(run_queries(number) for number in range(6)))

    run(scenario, proxy_count=proxy_count)


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_lost_block_must_be_rolled_back(proxy_count):
    # After the loss of a block's connection, its next statements must not run
    # in autocommit mode.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int)")
            await caller.execute("BEGIN")
            await caller.execute(INSERT)
            drop_sessions(servers[0])
            await asyncio.sleep(0.05)
            sqlstates = []
            for text in (INSERT, INSERT):
                with pytest.raises(psycopg.Error) as caught:
                    await caller.execute(text)
                sqlstates.append(caught.value.sqlstate)
            await caller.execute("ROLLBACK")
            assert sqlstates[-1] == "25P02"
            assert await fetch(caller, "SELECT count(*) FROM t") == [(0,)]

    run(scenario, proxy_count=proxy_count)


async def _delay_briefly(servers, proxies, caller):
    for server in servers[1:]:
        server.set_fault("lag", "300/0")


@pytest.mark.parametrize(
    ("start", "sqlstate", "verdict", "row_count"),
    [
        (_silence, "57P03", "not_run", 0),
        (_delay_briefly, "WX001", "ran", 1),
        (_delay_replication, "08007", "may_have_run", 1),
    ],
)
def test_lost_commit_is_looked_up_by_its_key(
    start, sqlstate, verdict, row_count
):
    # If the answer to COMMIT is lost, the stored key shows that the block has
    # run, but only after a quorum has replicated it.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            await caller.execute("CREATE TABLE t (id int)")
            await caller.execute("SET waxwinglift.idempotency_key = 'k'")
            await caller.execute("BEGIN")
            await caller.execute(INSERT)
            await start(servers, proxies, caller)
            with pytest.raises(psycopg.Error) as caught:
                await caller.execute("COMMIT")
            assert caught.value.sqlstate == sqlstate
            detail = caught.value.diag.message_detail
            assert detail == f"verdict={verdict}"
            assert await count_rows(servers[0]) == row_count

    run(scenario, proxy_count=2, **SHORT_TIMEOUTS)
