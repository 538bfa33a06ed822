"""Tests requests when owners change, crash or lose connections."""

import asyncio

import psycopg
import pytest

from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run
from waxwinglift.version import Epoch
from waxwinglift.version import OwnerAssignment

INSERT = "INSERT INTO t VALUES (1)"
SLEEP = "SELECT pg_sleep(2)"


def test_requests_survive_a_crash_of_the_owner():
    # A statement sent before the crash may have run; a later one must wait for
    # the new owner.
    async def scenario(servers, proxies):
        async with (
            await connect(proxies[0], "access=write") as sent,
            await connect(proxies[0], "access=write") as later,
        ):
            await sent.execute("CREATE TABLE t (id int)")
            work = asyncio.ensure_future(sent.execute(SLEEP))
            await asyncio.sleep(0.05)
            await proxies[1].owners.stop()
            proxies[1].peer_server.close()
            await proxies[1].peer_server.wait_closed()
            with pytest.raises(psycopg.Error) as caught:
                await work
            detail = caught.value.diag.message_detail
            assert detail == "verdict=may_have_run"
            work = asyncio.ensure_future(later.execute(INSERT))
            await asyncio.sleep(0.05)
            move_owners(proxies)
            await work

    run(scenario, proxy_count=2)


def move_owners(proxies, is_former_live=True):
    """Assign every endpoint to the first proxy.

    Control records a former owner that is live as ``previous``.
    """
    fleet = proxies[0].view.fleet
    for endpoint in fleet.owners:
        former = fleet.owners[endpoint].owner
        fleet.owners[endpoint] = OwnerAssignment(
            endpoint,
            proxies[0].view.daemon,
            None,
            Epoch(2),
            previous=former if is_former_live else None,
        )
    for proxy in proxies:
        proxy.view.notify()


def test_ownership_moves_without_failed_requests():
    # Open transactions must finish at the former owner, and new ones must run
    # at the next.
    async def scenario(servers, proxies):
        async with (
            await connect(proxies[0]) as block,
            await connect(proxies[0], "access=write") as caller,
        ):
            await block.execute("CREATE TABLE t (id int)")
            await block.execute("BEGIN")
            await block.execute(INSERT)
            move_owners(proxies)
            before = await fetch(caller, "SELECT count(*) FROM t")
            await block.execute("COMMIT")
            after = await fetch(caller, "SELECT count(*) FROM t")
            assert (before, after) == ([(0,)], [(1,)])
            await asyncio.sleep(0.15)
            assert not proxies[1].owners.health()

    run(scenario, proxy_count=2)


def _set_at_start_up(name):
    return {"application_name": name}, None


def _set_later(name):
    return {}, f"SET application_name = '{name}'"


def _set_in_block(name):
    return {}, f"SET LOCAL application_name = '{name}'"


@pytest.mark.parametrize(
    ("parameters", "statement"),
    [
        ({}, None),
        _set_at_start_up("payroll"),
        _set_at_start_up(""),
        _set_later("payroll"),
        _set_in_block("payroll"),
        # Names that proxies give to their own connections.
        _set_later("waxwinglift owner 2"),
        _set_later("waxwinglift monitor"),
    ],
)
def test_new_owner_ends_the_sessions_of_a_lost_owner(parameters, statement):
    # The sessions of a frozen proxy hold their locks until they end, whatever
    # application names the callers have set.
    async def scenario(servers, proxies):
        async with (
            await connect(proxies[0], "access=write", **parameters) as block,
            await connect(proxies[0], "access=write") as caller,
        ):
            await block.execute("CREATE TABLE t (id int)")
            await block.execute("BEGIN")
            if statement is not None:
                await block.execute(statement)
            await block.execute(INSERT)
            move_owners(proxies, is_former_live=False)
            await caller.execute("INSERT INTO t VALUES (7)")
            with pytest.raises(psycopg.Error):
                await block.execute("COMMIT")
            assert await fetch(caller, "SELECT id FROM t") == [(7,)]

    run(scenario, proxy_count=2)


@pytest.mark.parametrize("name", ["", "payroll"])
def test_new_epoch_does_not_end_the_owners_transactions(name):
    # A change of the standby owner raises the epoch as well; the owner must
    # not terminate its own open transactions then.
    async def scenario(servers, proxies):
        async with await connect(
            proxies[0], "access=write", application_name=name
        ) as block:
            await block.execute("CREATE TABLE t (id int)")
            await block.execute("BEGIN")
            await block.execute(INSERT)
            move_owners(proxies, is_former_live=False)
            await asyncio.sleep(0.3)
            await block.execute("COMMIT")
            assert await fetch(block, "SELECT id FROM t") == [(1,)]

    run(scenario)


def test_sessions_of_other_accounts_are_not_ended():
    # Administrators of the database may have sessions of their own.
    async def scenario(servers, proxies):
        address = servers[0].address
        direct = await psycopg.AsyncConnection.connect(
            f"host={address.host} port={address.port} "
            "user=operator dbname=group"
        )
        async with direct:
            await direct.execute("SELECT 1")
            move_owners(proxies, is_former_live=False)
            await asyncio.sleep(0.3)
            assert await fetch(direct, "SELECT 1") == [(1,)]

    run(scenario, proxy_count=2)


def test_unresponsive_connection_is_closed_before_the_statement_timeout():
    # The endpoint holds the locks of the transaction until the connection is
    # closed.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write") as caller:
            await caller.execute("CREATE TABLE t (id int)")
            await caller.execute("BEGIN")
            await caller.execute(INSERT)
            servers[0].set_fault("silence", "on")
            async with asyncio.timeout(20):
                with pytest.raises(psycopg.Error) as caught:
                    await caller.execute(INSERT)
            detail = caught.value.diag.message_detail
            assert detail == "verdict=may_have_run"

    owner = {"silence_ms": 100, "statement_timeout_ms": 600_000}
    run(scenario, owner=owner)


def test_long_statement_is_not_aborted():
    # The endpoint reports the session as active, so the connection is not
    # closed although no bytes arrive.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write") as caller:
            rows = await fetch(caller, "SELECT pg_sleep(1.0), 7")
            assert rows[0][1] == 7

    run(scenario, owner={"silence_ms": 100})
