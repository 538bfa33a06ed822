"""Tests that a stopped server leaves no connection open."""

import asyncio
import socket

import pytest

from waxwinglift.process.tests.test_descriptors import is_ended
from waxwinglift.process.tests.test_descriptors import unchanged_descriptors
from waxwinglift.process.tests.test_descriptors import wait_until
from waxwinglift_standin.process import running_group


@pytest.mark.parametrize("steps_count", range(6))
def test_client_accepted_during_a_stop_is_disconnected(steps_count):
    # The proxy under test would wait for an answer of a server that is gone.
    async def work():
        async with unchanged_descriptors():
            async with running_group(1) as (server,):
                address = (str(server.address.host), server.address.port)
                client = socket.create_connection(address)
                for _ in range(steps_count):
                    await asyncio.sleep(0)
            with client:
                client.setblocking(False)
                await wait_until(lambda: is_ended(client))
                assert is_ended(client)

    asyncio.run(work())
