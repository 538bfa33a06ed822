"""Tests that connections leave no descriptors open, however they end."""

import asyncio
import contextlib
import gc
import os
import socket
import struct

from pygwire.messages import AuthenticationOk
from pygwire.messages import ReadyForQuery
import pytest

from waxwinglift.connection import _unread_close
from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.connection._backend import open_connection
from waxwinglift.connection._endpoint_pool import EndpointPool
from waxwinglift.connection._owner_connections import ConnectionManager
from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import Registry
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._entry_server import EntryServer
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._peer_client import PeerClient
from waxwinglift.process._peer_service import PeerServer
from waxwinglift.process._peer_service import PeerService
from waxwinglift.process._policy_settings import EndpointPoolSettings
from waxwinglift.process.tests.data_path_fleet import GROUP
from waxwinglift.process.tests.data_path_fleet import LOCATION
from waxwinglift.process.tests.data_path_fleet import POOL
from waxwinglift.process.tests.data_path_fleet import SECRET
from waxwinglift.process.tests.data_path_fleet import running_fleet
from waxwinglift.version import FleetState
from waxwinglift.version import Term

ROUNDS_COUNT = 20
# Connections opened at the same time; both ends are in this process.
BATCH_COUNT = 50
SETTLE_TIMEOUT_S = 2.0
OPEN_TIMEOUT_MS = 20.0
STARTUP_TIMEOUT_MS = 50.0
READY = AuthenticationOk().to_wire() + ReadyForQuery().to_wire()
_PARAMETERS = b"user\0u\0database\0" + POOL.encode() + b"\0\0"
STARTUP = struct.pack("!II", 8 + len(_PARAMETERS), 3 << 16) + _PARAMETERS
# The stand-in answers with 8 MB, more than the buffers of the kernel hold.
_LARGE_TEXT = b"SELECT hex(zeroblob(4000000))\0"
LARGE_QUERY = b"Q" + struct.pack("!I", 4 + len(_LARGE_TEXT)) + _LARGE_TEXT
TERMINATE = b"X" + struct.pack("!I", 4)


def count_descriptors():
    """Return the number of open descriptors of this process."""
    return len(os.listdir("/dev/fd"))


@contextlib.asynccontextmanager
async def unchanged_descriptors(added_count=0):
    """Fail if descriptors that were opened in the context stay open.

    Except for ``added_count`` that the test still needs.

    The collector is off, because finalizers of lost streams would close the
    descriptors.
    """
    gc.collect()
    gc.disable()
    expected_count = count_descriptors() + added_count
    try:
        yield
        await wait_until(lambda: count_descriptors() <= expected_count)
        assert count_descriptors() == expected_count
    finally:
        gc.enable()


async def wait_until(is_true):
    """Wait until a function returns true, or for a limited time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not is_true():
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running_endpoint(sends_ready=True, ends=False):
    """Yield the address of a server that follows a script.

    Parameters
    ----------
    sends_ready : bool
        Whether it answers the start-up message.
    ends : bool
        Whether it ends the connection afterwards.
    """

    async def accept(reader, writer):
        with contextlib.suppress(OSError):
            await reader.read(1024)
            if sends_ready:
                writer.write(READY)
            while not ends and await reader.read(1024):
                pass
        writer.close()

    server = await asyncio.start_server(
        accept, "127.0.0.1", 0, backlog=BATCH_COUNT
    )
    async with server:
        yield Address(*server.sockets[0].getsockname())


def make_manager(address):
    """Return the connection manager of an endpoint."""
    account = EndpointAccount("u", "", "d")

    async def connect(workspace):
        return await open_connection(address, account, 1024)

    settings = EndpointPoolSettings(
        open_timeout_ms=OPEN_TIMEOUT_MS, spare_count=0
    )
    return ConnectionManager(
        EndpointPool(settings, 2 * BATCH_COUNT + 1, BATCH_COUNT),
        connect,
        monotonic_ms,
        lambda: None,
        lambda connection: None,
    )


# Coroutine functions ``(manager, round)`` that end the connections of a pool.
_ENDPOINT_ENDINGS = Registry()
_endpoint_ending = _ENDPOINT_ENDINGS.register


@_endpoint_ending("closed")
async def _close_open(manager, number):
    await wait_until(lambda: len(manager.process_ids()) > 0)
    manager.close_all()


@_endpoint_ending("cancelled")
async def _cancel_opening(manager, number):
    # Each round stops the openings in another of their steps.
    for _ in range(number % 8):
        await asyncio.sleep(0)
    manager.close_all()


@_endpoint_ending("lost")
async def _lose(manager, number):
    await asyncio.sleep(2 * OPEN_TIMEOUT_MS / 1000)
    manager.tick()
    manager.close_all()


@_endpoint_ending("given up")
async def _give_up(manager, number):
    await asyncio.sleep(2 * OPEN_TIMEOUT_MS / 1000)
    # Closes the openings that took too long and starts others.
    manager.tick()
    await asyncio.sleep(2 * OPEN_TIMEOUT_MS / 1000)
    manager.close_all()


@pytest.mark.parametrize(
    ("ending", "script"),
    [
        ("closed", {}),
        ("cancelled", {}),
        ("cancelled", {"sends_ready": False}),
        ("lost", {"ends": True}),
        ("lost", {"sends_ready": False, "ends": True}),
        ("given up", {"sends_ready": False}),
    ],
)
def test_connections_to_an_endpoint_leave_no_descriptor(ending, script):
    # A connection that is neither used nor closed counts against the
    # endpoint's connection limit.
    async def work():
        async with (
            running_endpoint(**script) as address,
            unchanged_descriptors(),
        ):
            managers = []
            for number in range(ROUNDS_COUNT):
                managers.append(make_manager(address))
                managers[-1].enable()
                await _ENDPOINT_ENDINGS[ending](managers[-1], number)

    asyncio.run(work())


# Coroutine functions ``(reader, writer)`` that end a caller's connection.
_CALLER_ENDINGS = Registry()
_caller_ending = _CALLER_ENDINGS.register


@_caller_ending("closed")
async def _terminate(reader, writer):
    writer.write(STARTUP)
    await reader.readuntil(b"Z\0\0\0\5I")
    writer.write(TERMINATE)
    await reader.read()


@_caller_ending("cancelled")
async def _leave_during_startup(reader, writer):
    writer.write(STARTUP[:5])


@_caller_ending("lost")
async def _reset(reader, writer):
    writer.write(STARTUP)
    await reader.readuntil(b"Z\0\0\0\5I")
    writer.transport.abort()


@_caller_ending("given up")
async def _send_nothing(reader, writer):
    await reader.read()


async def _call(address, ending):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        await _CALLER_ENDINGS[ending](reader, writer)
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("ending", "entry"),
    [
        ("closed", {}),
        ("cancelled", {}),
        ("lost", {}),
        ("given up", {"startup_timeout_ms": STARTUP_TIMEOUT_MS}),
    ],
)
def test_connections_of_callers_leave_no_descriptor(ending, entry):
    # Callers that reconnect would use up the descriptors of the proxy.
    async def work():
        async with running_fleet(size=1, entry=entry) as (_, (proxy,)):
            await _call(proxy.entry.address, ending)
            # The owner opens its connections in the meantime.
            await asyncio.sleep(0.2)
            async with unchanged_descriptors():
                for _ in range(ROUNDS_COUNT):
                    calls = [
                        _call(proxy.entry.address, ending)
                        for _ in range(BATCH_COUNT)
                    ]
                    await asyncio.gather(*calls)

    asyncio.run(work())


def is_ended(caller):
    """Return whether the other side has closed a socket's connection."""
    try:
        while caller.recv(1024):
            pass
        return True
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


async def _leave_answers_unread(address):
    """Return a caller's socket with a large answer that it does not read."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect((address.host, address.port))
    caller.sendall(STARTUP + LARGE_QUERY + TERMINATE)
    return caller


def test_callers_that_do_not_read_leave_no_descriptor(monkeypatch):
    # A frozen caller reads neither its answer nor the end of the connection,
    # and never closes its side.
    monkeypatch.setattr(_unread_close, "UNREAD_TIMEOUT_S", 0.1)

    async def work():
        entry = {"write_buffer_bytes": 2**24}
        async with running_fleet(size=1, entry=entry) as (_, (proxy,)):
            await _call(proxy.entry.address, "closed")
            await asyncio.sleep(0.2)
            async with unchanged_descriptors(added_count=3):
                callers = [
                    await _leave_answers_unread(proxy.entry.address)
                    for _ in range(3)
                ]
                await wait_until(lambda: proxy.entry.session_count == 3)
                await wait_until(lambda: proxy.entry.session_count == 0)
                assert proxy.entry.session_count == 0
            for caller in callers:
                caller.close()

    asyncio.run(work())


async def stop_while_accepting(protocol, steps_count):
    """Stop an entry server a few steps after a caller has connected."""
    settings = EntrySettings(token_secret=SECRET, protocol=protocol)
    view = FleetView(DaemonId("p"), LOCATION, lambda: True, FleetState())
    async with unchanged_descriptors():
        entry = EntryServer(settings, view, None)
        await entry.start()
        address = (entry.address.host, entry.address.port)
        with socket.create_connection(address) as caller:
            caller.setblocking(False)
            for _ in range(steps_count):
                await asyncio.sleep(0)
            await entry.stop()
            await wait_until(lambda: is_ended(caller))
            assert is_ended(caller)


@pytest.mark.parametrize("steps_count", range(6))
def test_caller_accepted_during_a_stop_is_disconnected(steps_count):
    # A caller whose connection is accepted just before the stop would stay
    # connected to a proxy that no longer serves it.
    asyncio.run(stop_while_accepting("postgresql", steps_count))


@contextlib.asynccontextmanager
async def running_peer():
    """Yield the address of a peer service without owners."""

    class Owners:
        async def group_position(self, group, term):
            await asyncio.sleep(3600)

    server = PeerServer([PeerService(Owners(), lambda key: None)])
    await server.start("127.0.0.1", 0)
    try:
        yield Address(*server._server.sockets[0].getsockname())
    finally:
        server.close()
        await server.wait_closed()


@pytest.mark.parametrize("steps_count", range(6))
def test_peer_accepted_during_a_stop_is_disconnected(steps_count):
    # A peer would wait for the answers of a proxy that has stopped.
    async def work():
        async with unchanged_descriptors():
            async with running_peer() as address:
                peer = socket.create_connection((address.host, address.port))
                for _ in range(steps_count):
                    await asyncio.sleep(0)
            with peer:
                peer.setblocking(False)
                await wait_until(lambda: is_ended(peer))
                assert is_ended(peer)

    asyncio.run(work())


@pytest.mark.parametrize("steps_count", range(8))
def test_closed_peer_client_leaves_no_descriptor(steps_count):
    # The connection may still be opening when its proxy leaves the fleet.
    async def work():
        async with running_peer() as address, unchanged_descriptors():
            clients = [PeerClient(address) for _ in range(BATCH_COUNT)]
            calls = [
                asyncio.ensure_future(c.group_position(GROUP, Term(1)))
                for c in clients
            ]
            for _ in range(steps_count):
                await asyncio.sleep(0)
            for client in clients:
                client.close()
            # The calls end, so that only a client could keep descriptors.
            outcomes = await asyncio.gather(*calls)
            assert all(outcome.is_err() for outcome in outcomes)

    asyncio.run(work())


@pytest.mark.parametrize("open_s", [0.0, 0.002, 0.2])
@pytest.mark.parametrize("proxy_count", [1, 2])
def test_stopped_fleet_leaves_no_descriptor(proxy_count, open_s):
    # A proxy that stops must neither keep connections nor open new ones.
    async def work():
        async with unchanged_descriptors():
            async with running_fleet(proxy_count) as (_, proxies):
                await asyncio.sleep(open_s)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(open_s):
                        await _call(proxies[0].entry.address, "closed")

    asyncio.run(work())
