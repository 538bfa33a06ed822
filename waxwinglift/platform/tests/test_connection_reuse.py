"""Tests which connections to a server survive an interrupted statement."""

import asyncio

import pytest

from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift_standin.platform import ServerSettings

_WORK_MS = 150.0


def _sessions(fleet):
    return {
        name: set(server.sessions)
        for name, server in fleet.group.servers.items()
    }


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize(
    "pool, block, statement",
    [
        ("look", (), "READ 1a4"),
        ("pay", (), "READ 1a4"),
        ("pay", (), "WRITE 1a4 coal"),
        ("pay", ("BEGIN",), "WRITE 1a4 coal"),
        ("refill", ("BEGIN", "WRITE 1a4 coal"), "COMMIT"),
    ],
    ids=["read", "read at the primary", "write", "in a block", "commit"],
)
def test_interrupted_statement_costs_no_connection(
    pool, block, statement, proxy_count
):
    """A caller that gives up must not cost the server a new connection.

    Each one takes a slot and processor time of the owner, most of all while
    an overload makes callers give up.
    """

    async def scenario(fleet):
        async with fleet.connected(pool) as caller:
            assert (await caller.query("READ 1a4")).is_success
            before = _sessions(fleet)
            for text in block:
                assert (await caller.query(text)).is_success
            caller.send(b"QUERY x %s\r\n" % statement.encode())
            await asyncio.sleep(_WORK_MS / 2000)
        await asyncio.sleep(4 * _WORK_MS / 1000)
        for owner in fleet.proxies[-1].owners._owners.values():
            assert not owner.is_busy
        return before, _sessions(fleet)

    async def work():
        settings = ServerSettings(work_ms=_WORK_MS)
        async with asyncio.timeout(15):
            async with running_statement_fleet(
                proxy_count=proxy_count, settings=settings
            ) as fleet:
                await asyncio.sleep(0.2)
                return await scenario(fleet)

    before, after = asyncio.run(work())
    for name, sessions in before.items():
        assert sessions <= after[name]
