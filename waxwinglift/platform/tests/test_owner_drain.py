"""Tests of the owner side of a proxy that shuts down."""

import asyncio

import pytest

from waxwinglift.platform.tests import statement_fleet
from waxwinglift.platform.tests.statement_shutdown import COMMIT
from waxwinglift.platform.tests.statement_shutdown import ENTRY
from waxwinglift.platform.tests.statement_shutdown import PROMISES
from waxwinglift.platform.tests.statement_shutdown import WRITE
from waxwinglift.platform.tests.statement_shutdown import assign
from waxwinglift.platform.tests.statement_shutdown import begin
from waxwinglift.platform.tests.statement_shutdown import code_of
from waxwinglift.platform.tests.statement_shutdown import run
from waxwinglift.platform.tests.statement_shutdown import shut_down
from waxwinglift.process import _proxy
from waxwinglift.process import DaemonId
from waxwinglift_standin.platform import Caller
from waxwinglift_standin.platform import ServerSettings


@pytest.fixture
def _short_owner_limit(monkeypatch):
    """Give owners the limit for open transactions that the entries have."""
    running_proxy = statement_fleet.running_proxy

    def running_limited_proxy(name, state, *, owner, **options):
        limit_ms = ENTRY["drain_timeout_ms"]
        owner = {**owner, "drain_timeout_ms": limit_ms}
        return running_proxy(name, state, owner=owner, **options)

    monkeypatch.setattr(
        statement_fleet, "running_proxy", running_limited_proxy
    )


@pytest.mark.usefixtures("_short_owner_limit")
@pytest.mark.parametrize(
    "caller_proxy", [0, 1], ids=["peer", "stopping proxy"]
)
@pytest.mark.parametrize(
    "block, statement",
    [
        (("BEGIN", "WRITE 1a4 coal"), "READ 1a4"),
        (("BEGIN", "WRITE 1a4 coal"), "COMMIT"),
    ],
    ids=["read", "commit"],
)
def test_statement_of_a_block_outlasts_the_block_limit_of_its_old_owner(
    block, statement, caller_proxy
):
    """The old owner's limit for open transactions must not cut statements.

    A statement that runs when a handover has lasted that long loses its
    connection to the endpoint, before the limit for answers.
    """

    async def scenario(fleet):
        stopping = fleet.proxies[1]
        entry = fleet.proxies[caller_proxy].entry
        async with Caller.connected(entry.address, "pay") as caller:
            await begin(caller, block)
            assign(fleet, fleet.proxies[0].view.daemon)
            stopped = asyncio.ensure_future(shut_down(stopping))
            await asyncio.sleep(0.22)
            outcome = await code_of(caller.query(statement))
            await stopped
            return outcome

    settings = ServerSettings(work_ms=180.0)
    options = {"settings": settings, "entry": ENTRY, "proxy_count": 2}
    _, code = run(scenario, **options)
    assert code == b""


@pytest.mark.usefixtures("_short_owner_limit")
def test_handover_ends_an_idle_transaction_at_the_block_limit():
    """The limit for answers must not extend the one for open transactions."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await begin(caller, ("BEGIN", "WRITE 1a4 coal"))
            assign(fleet, fleet.proxies[0].view.daemon)
            await asyncio.sleep(0.45)
            return await code_of(caller.query("READ 1a4"))

    assert run(scenario, proxy_count=2) == (b"I", b"ABORTED")


@pytest.mark.usefixtures("_short_owner_limit")
@pytest.mark.parametrize("block, statement", [WRITE, COMMIT])
def test_owner_without_successor_does_not_cut_statements_it_accepted(
    block, statement, monkeypatch
):
    """The wait for a handover must leave time for the drain of the owners.

    Without an answer from control, an owner accepts statements until nearly
    the end of the whole drain, and then cuts them.
    """
    monkeypatch.setattr(_proxy, "HANDOVER_TIMEOUT_S", 0.5)

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await begin(caller, block)
            stopped = asyncio.ensure_future(shut_down(fleet.proxies[1]))
            await asyncio.sleep(0.4)
            outcome = await code_of(caller.query(statement))
            await stopped
            return outcome

    settings = ServerSettings(work_ms=200.0)
    _, code = run(scenario, proxy_count=2, settings=settings, entry=ENTRY)
    # A refusal is as good: the caller can try again.
    assert code in {b"", *PROMISES}


def test_standby_owner_serves_callers_while_its_proxy_drains():
    """A proxy that drains must still reach endpoints whose owner is gone.

    The drain of its standby owners begins with the shutdown, while its
    callers are still served.
    """

    async def scenario(fleet):
        (proxy,) = fleet.proxies
        assign(fleet, DaemonId("gone"), proxy.view.daemon)
        async with fleet.connected("pay") as caller:
            assert (await caller.query("READ 1a4")).is_success
            stopped = asyncio.ensure_future(shut_down(proxy))
            await asyncio.sleep(0.1)
            outcome = await code_of(caller.query("READ 1a4"))
            await stopped
            return outcome

    assert run(scenario, entry=ENTRY) == (b"I", b"")


def test_owner_that_starts_during_a_drain_refuses_statements():
    """A temporary owner must not start work that the stop would cut."""

    async def scenario(fleet):
        (proxy,) = fleet.proxies
        async with fleet.connected("pay") as caller:
            assert (await caller.query("READ 1a4")).is_success
            await proxy.owners.drain()
            assign(fleet, DaemonId("gone"))
            await asyncio.sleep(0.2)
            return await code_of(caller.query("READ 1a4"))

    assert run(scenario) == (b"I", b"BUSY")
