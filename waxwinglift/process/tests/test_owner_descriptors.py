"""Tests that an owner's own connections leave no descriptors open."""

import asyncio
import contextlib
import socket

from pygwire.messages import BackendKeyData
import pytest

from waxwinglift.connection import ConnectionId
from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.connection._backend import open_connection
from waxwinglift.connection._owner_monitor import EndpointMonitor
from waxwinglift.process import Address
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._policy_settings import EndpointPoolSettings
from waxwinglift.process._policy_settings import HealthSettings
from waxwinglift.process.tests.data_path_fleet import running_fleet
from waxwinglift.process.tests.test_descriptors import unchanged_descriptors
from waxwinglift.process.tests.test_descriptors import wait_until
from waxwinglift.version import EndpointId
from waxwinglift_standin.process import running_group

KEY = BackendKeyData(process_id=1, secret_key=b"1234")


def make_monitor(find_address):
    """Return the monitor of an endpoint at a changing address."""

    async def connect():
        account = EndpointAccount("u", "", "d")
        return await open_connection(find_address(), account, 2**20)

    def ignore(*arguments):
        return False

    settings = HealthSettings(probe_interval_ms=10)
    return EndpointMonitor(
        settings, connect, monotonic_ms, ignore, ignore, ignore
    )


def _is_connected(monitor):
    return monitor._connection is not None


def test_stopped_monitor_opens_no_connection():
    # A statement that times out while its owner stops would otherwise open a
    # connection that nobody closes.
    async def work():
        async with running_group(1) as (server,), unchanged_descriptors():
            monitor = make_monitor(lambda: server.address)
            monitor.start()
            await wait_until(lambda: _is_connected(monitor))
            monitor.stop()
            monitor.record_timeout(ConnectionId(1))
            await asyncio.sleep(0.1)

    asyncio.run(work())


def test_monitor_closes_its_connection_to_a_lost_endpoint():
    # Each endpoint that is down would otherwise occupy a descriptor.
    async def work():
        async with unchanged_descriptors():
            async with running_group(1) as (server,):
                address = server.address
                monitor = make_monitor(lambda: address)
                monitor.start()
                await wait_until(lambda: _is_connected(monitor))
            for _ in range(10):
                await asyncio.sleep(0.01)
                monitor.tick()

    asyncio.run(work())


@contextlib.contextmanager
def unresponsive_address():
    """Yield an address that answers no attempt to connect."""
    with socket.socket() as listener, socket.socket() as first:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # The backlog is full from here on.
        first.connect(listener.getsockname())
        yield Address(*listener.getsockname())


@pytest.mark.parametrize("is_stopped", [False, True])
def test_cancel_requests_leave_no_descriptor(is_stopped):
    # A server that is unreachable does not refuse connections, so cancel
    # requests to it would occupy descriptors for minutes.
    async def work():
        limit_ms = 10_000.0 if is_stopped else 50.0
        options = {"pool": EndpointPoolSettings(open_timeout_ms=limit_ms)}
        fleet = running_fleet(size=1, owner=options)
        async with contextlib.AsyncExitStack() as stack:
            address = stack.enter_context(unresponsive_address())
            await stack.enter_async_context(unchanged_descriptors())
            _, (proxy,) = await stack.enter_async_context(fleet)
            await asyncio.sleep(0.2)
            owner = proxy.owners.owner(EndpointId("server-1"))
            owner._address = address
            if is_stopped:
                _send_cancels(owner)
                await asyncio.sleep(0.05)
                return
            async with unchanged_descriptors():
                _send_cancels(owner)
                await asyncio.sleep(0.05)

    asyncio.run(work())


def _send_cancels(owner):
    for _ in range(50):
        owner.cancel_statement(KEY)
