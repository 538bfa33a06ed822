"""Tests what control reads from servers during a change of primary."""

import asyncio
import socket

import pytest

from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.process import Address
from waxwinglift.process._control_sql import run_server_action
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._types import ServerPosition
from waxwinglift_standin.process import running_group

ACCOUNT = EndpointAccount("t", "", "group", "control")


async def run_action(action_type, address, limit_ms=2000):
    action = action_type("g", 7, "e", address, limit_ms)
    return await run_server_action(action, ACCOUNT)


def test_server_reports_its_own_timeline():
    # The group's term is a different number: a position with the term instead
    # of the timeline would be compared with the wrong end position.
    async def scenario():
        async with running_group(2) as (primary, replica):
            await run_action(messages.FenceServer, replica.address)
            end_lsn = replica.state.log.end_lsn
            read = await run_action(messages.ReadPosition, replica.address)
            assert read.position == ServerPosition(1, end_lsn)
            for _ in range(2):
                # Promotion is idempotent and reports the same timeline again.
                promoted = await run_action(
                    messages.PromoteServer, replica.address
                )
                assert (promoted.term, promoted.timeline) == (7, 2)
            failed = await run_action(messages.FenceServer, replica.address)
            assert isinstance(failed, messages.ActionFailed)
            assert failed.is_reached

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize("is_listening", [False, True])
def test_unresponsive_server_is_reported_as_not_reached(is_listening):
    # Control replaces a chosen server only if it cannot be reached.
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        if is_listening:
            listener.listen()
        address = Address(*listener.getsockname())
        failed = asyncio.run(run_action(messages.PromoteServer, address, 200))
    assert isinstance(failed, messages.ActionFailed)
    assert not failed.is_reached
