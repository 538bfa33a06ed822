"""Guards the actions of a change of primary against the stand-in servers."""

import asyncio

import pytest

from waxwinglift.platform._endpoint_connection import open_connection
from waxwinglift.platform._protocols import decode_status
from waxwinglift.process._statement_actions import StatementActionRunner
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version import GroupName
from waxwinglift.version import Term
from waxwinglift.version._types import ServerPosition
from waxwinglift_standin.platform import ServerGroup

GROUP = GroupName("ledger")


@pytest.mark.parametrize(
    ("name", "timeline"), [("s0", 1), ("s1", 2)], ids=["primary", "replica"]
)
def test_promotion_reports_the_timeline_that_the_server_leads(name, timeline):
    """A promoted server without writes still has the old timeline in its log.

    If that were reported as its own, the end of the old timeline could not
    be told from a timeline that goes on.
    """

    async def scenario():
        group = ServerGroup(GROUP)
        for server in ("s0", "s1"):
            await group.add(server, "dc-a")
        try:
            await group.commit(group.servers["s0"], [(b"1a4", b"x", b"r1")])
            await asyncio.sleep(0.2)
            return await _promote(group, name)
        finally:
            group.stop()

    outcome = asyncio.run(scenario())
    assert outcome.timeline == timeline
    assert outcome.last_write == ServerPosition(1, 1)


@pytest.mark.parametrize("server_term", [1, 2, 5])
def test_a_fenced_server_has_stopped_receiving(server_term):
    """A replica that still receives must not count as fenced.

    It could pass the position at which it was compared with the others.  The
    servers' term may be above that of their last write, and above the group's
    term, which counts independently.
    """

    async def scenario():
        group = ServerGroup(GROUP)
        for server in ("s0", "s1"):
            await group.add(server, "dc-a")
        try:
            group.term = server_term
            outcome = await _fence(group, "s1")
            return outcome, group.servers["s1"].fenced_term
        finally:
            group.stop()

    outcome, fenced_term = asyncio.run(scenario())
    assert isinstance(outcome, messages.ServerFenced)
    assert fenced_term > server_term


async def _fence(group, name):
    runner = StatementActionRunner(open_connection, decode_status, None)
    address = group.servers[name].address
    action = messages.FenceServer(
        GROUP, Term(2), name, address, 3000, timeline=2
    )
    return await runner.run(action, None)


def test_a_replica_is_unfenced_after_the_primary_was_kept():
    """A replica that stays fenced receives nothing for ever."""

    async def scenario():
        group = ServerGroup(GROUP)
        for server in ("s0", "s1"):
            await group.add(server, "dc-a")
        try:
            await _fence(group, "s1")
            outcome = await _unfence(group, "s1")
            await group.commit(group.servers["s0"], [(b"1a4", b"x", b"r1")])
            await asyncio.sleep(0.1)
            return outcome, group.logs["s1"].received
        finally:
            group.stop()

    outcome, received = asyncio.run(scenario())
    assert isinstance(outcome, messages.ServerRepointed)
    assert received == (1, 1)


async def _unfence(group, name):
    runner = StatementActionRunner(open_connection, decode_status, None)
    action = messages.RepointServer(
        GROUP,
        Term(2),
        name,
        group.servers[name].address,
        3000,
        "s0",
        group.servers["s0"].address,
    )
    return await runner.run(action, None)


async def _promote(group, name):
    async def order(action, promotion_right):
        await group.promote(action.endpoint, 1)

    runner = StatementActionRunner(open_connection, decode_status, order)
    address = group.servers[name].address
    action = messages.PromoteServer(GROUP, Term(2), name, address, 3000)
    return await runner.run(action, None)
