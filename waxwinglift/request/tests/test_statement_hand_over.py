"""Tests a statement whose endpoint gets another owner while it waits."""

import asyncio
import dataclasses

from result import Ok

from waxwinglift.request import FailureCode
from waxwinglift.request.tests import virtual_endpoint
from waxwinglift.process import DaemonId
from waxwinglift.version import EndpointId
from waxwinglift.version import Position
from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._types import Consistency

_POLICY = PoolPolicy(Consistency.BOUNDED_STALENESS, 0, 800, 800, 700)


def test_read_that_waits_for_a_position_is_refused_at_the_hand_over():
    """It would wait for a connection until its time limit had passed.

    The former owner opens none, and its queue refuses only once.
    """
    server = virtual_endpoint.VirtualServer(4, 20)
    state = virtual_endpoint.make_state(server, {"look": _POLICY})
    state.groups[virtual_endpoint.GROUP].primary = EndpointId("s2")
    endpoint = virtual_endpoint.ENDPOINT

    async def scenario():
        async with virtual_endpoint.running_owner(server, state, {}) as owner:

            async def find(max_age_ms):
                await asyncio.sleep(0.1)
                state.owners[endpoint] = dataclasses.replace(
                    state.owners[endpoint], owner=DaemonId("proxy-2")
                )
                owner.view.notify()
                return Ok(Position(1, 0))

            owner.positions.floors.find = find
            return await virtual_endpoint.run_write(
                owner, b"1", None, _POLICY, read_only=True, max_age_ms=700
            )

    failure, elapsed_ms = virtual_endpoint.run_in_virtual_time(scenario())
    assert failure.code is FailureCode.NOT_OWNER
    assert elapsed_ms < 200
