"""Tests that connections of callers leave no descriptors open."""

import asyncio
import socket

import pytest

from waxwinglift.connection import _unread_close
from waxwinglift.platform import _protocols
from waxwinglift.platform._lines import LineProtocol
from waxwinglift.process.tests.test_descriptors import stop_while_accepting
from waxwinglift.process.tests.test_descriptors import unchanged_descriptors
from waxwinglift.process.tests.test_descriptors import wait_until


@pytest.mark.parametrize("steps_count", range(6))
def test_caller_accepted_during_a_stop_is_disconnected(steps_count):
    # A caller whose connection is accepted just before the stop would stay
    # connected to a proxy that no longer serves it.
    asyncio.run(stop_while_accepting(_protocols.PROTOCOL, steps_count))


def test_connection_that_is_not_read_is_given_up(monkeypatch):
    # A frozen caller reads neither its answer nor the end of the connection,
    # and never closes its side.
    monkeypatch.setattr(_unread_close, "UNREAD_TIMEOUT_S", 0.1)

    async def work():
        connection = LineProtocol()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: connection, "127.0.0.1", 0)
        async with server:
            address = server.sockets[0].getsockname()
            async with unchanged_descriptors(added_count=1):
                caller = socket.create_connection(address)
                await wait_until(lambda: connection.transport is not None)
                connection.transport.write(bytes(2**23))
                connection.close()
            caller.close()

    asyncio.run(work())
