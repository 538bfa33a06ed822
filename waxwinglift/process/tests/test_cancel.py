"""Tests cancel requests that arrive at any proxy of the fleet."""

import asyncio
import contextlib

import psycopg
from pygwire.messages import CancelRequest
import pytest

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.process import _peer_cancel
from waxwinglift.process import Address
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._peer_client import PeerClient
from waxwinglift.process._peer_service import PeerServer
from waxwinglift.process._peer_service import PeerService
from waxwinglift.process.tests.data_path_fleet import GROUP
from waxwinglift.process.tests.data_path_fleet import POOL
from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run
from waxwinglift.version import EndpointId
from waxwinglift.version import Epoch
from waxwinglift.version import Rank
from waxwinglift.version import Term

SLEEP = "SELECT pg_sleep(0.6), 'done'"
DONE = [("", "done")]


def key_of(proxy):
    """Return the cancel key of the proxy's only session."""
    ((number, session),) = proxy.entry.sessions.items()
    return CancelKey(number, session.secret_key)


async def send_cancel(proxy, key):
    """Send a cancel request and wait until the proxy disconnects."""
    address = proxy.entry.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    request = CancelRequest(
        process_id=key.process_id, secret_key=key.secret_key
    )
    writer.write(request.to_wire())
    # The only answer to a cancel request is the end of the connection.
    assert await reader.read() == b""
    writer.close()


def _same_key(key):
    return key


def _wrong_secret(key):
    secret = bytes(byte ^ 1 for byte in key.secret_key)
    return CancelKey(key.process_id, secret)


def _empty_secret(key):
    return CancelKey(key.process_id, b"")


def _other_session(key):
    return CancelKey(key.process_id ^ 1, key.secret_key)


def _other_proxy(key):
    return CancelKey(key.process_id ^ (1 << 20), key.secret_key)


def _no_change(proxies):
    pass


def _remove_proxy(proxies):
    del proxies[0].view.fleet.daemons[proxies[0].view.daemon]


def _close_peer_server(proxies):
    proxies[0].peer_server.close()


async def outcome_of(work):
    """Return the rows of a statement, or its SQLSTATE."""
    try:
        return await work
    except psycopg.Error as error:
        return error.sqlstate


@pytest.mark.parametrize("owner_index", [0, 1])
@pytest.mark.parametrize(
    ("receiver_index", "alter_key", "change_fleet", "expected"),
    [
        (0, _same_key, _no_change, "57014"),
        (1, _same_key, _no_change, "57014"),
        (0, _wrong_secret, _no_change, DONE),
        (1, _wrong_secret, _no_change, DONE),
        (1, _empty_secret, _no_change, DONE),
        (1, _other_session, _no_change, DONE),
        (1, _other_proxy, _no_change, DONE),
        (1, _same_key, _remove_proxy, DONE),
        (1, _same_key, _close_peer_server, DONE),
    ],
)
def test_cancel_stops_only_the_statement_of_its_key(
    owner_index, receiver_index, alter_key, change_fleet, expected
):
    # The load balancer may send a cancel request to any proxy.  It must stop
    # the statement of its key, and nothing if the key is wrong.
    async def scenario(servers, proxies):
        # The caller uses pair[0]; pair[owner_index] owns the endpoints.
        pair = proxies if owner_index else proxies[::-1]
        async with await connect(pair[0], "access=write") as caller:
            key = alter_key(key_of(pair[0]))
            work = asyncio.ensure_future(outcome_of(fetch(caller, SLEEP)))
            await asyncio.sleep(0.1)
            change_fleet(pair)
            await send_cancel(pair[receiver_index], key)
            assert await work == expected

    run(scenario, proxy_count=2)


@contextlib.asynccontextmanager
async def load_balancer(targets):
    """Yield the port of a load balancer; each target gets a connection."""
    order = iter(targets)

    async def copy(reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()

    async def accept(reader, writer):
        address = next(order).entry.address
        target = await asyncio.open_connection(address.host, address.port)
        await asyncio.gather(copy(reader, target[1]), copy(target[0], writer))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


@pytest.mark.parametrize("is_block", [False, True])
def test_driver_can_cancel_through_a_load_balancer(is_block):
    # psycopg sends the cancel over a new connection, which the load balancer
    # gives to the other proxy.  That proxy must close it without an error.
    async def scenario(servers, proxies):
        async with load_balancer(proxies) as port:
            options = {"host": "127.0.0.1", "port": port}
            async with await connect(
                proxies[0], "access=write", **options
            ) as caller:
                if is_block:
                    await caller.execute("BEGIN")
                work = asyncio.ensure_future(outcome_of(fetch(caller, SLEEP)))
                await asyncio.sleep(0.1)
                await caller.cancel_safe(timeout=5)
                assert await work == "57014"
                await caller.execute("ROLLBACK")
                assert await fetch(caller, "SELECT 1") == [(1,)]

    run(scenario, proxy_count=2)


def test_late_cancel_stops_no_later_statement():
    # A cancel that arrives after the end of its statement must not stop the
    # next statement of the session.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write") as caller:
            key = key_of(proxies[0])
            assert await fetch(caller, "SELECT 1") == [(1,)]
            await send_cancel(proxies[1], key)
            assert await fetch(caller, SLEEP) == DONE
            work = asyncio.ensure_future(fetch(caller, SLEEP))
            await asyncio.sleep(0.1)
            earlier_statement = proxies[0].entry.find_statement(key)
            assert await work == DONE
            work = asyncio.ensure_future(fetch(caller, SLEEP))
            await asyncio.sleep(0.1)
            earlier_statement.cancel()
            assert await work == DONE

    run(scenario, proxy_count=2)


def test_key_of_an_earlier_session_cancels_nothing():
    # Process ids are reused, so only the secret identifies the session.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], "access=write"):
            old_key = key_of(proxies[0])
        entry = proxies[0].entry
        entry._caller_protocol._session_ids._last = (
            old_key.process_id - 1
        ) % (1 << 20)
        async with await connect(proxies[0], "access=write") as caller:
            assert key_of(proxies[0]).process_id == old_key.process_id
            work = asyncio.ensure_future(fetch(caller, SLEEP))
            await asyncio.sleep(0.1)
            await send_cancel(proxies[1], old_key)
            assert await work == DONE

    run(scenario, proxy_count=2)


class _Transaction:
    """Fake executor and its transaction; records cancelled exchanges."""

    def __init__(self):
        self.runs = []
        self.cancelled = []

    def open(self, header):
        return self

    async def run(self, exchange, sink):
        self.runs.append(exchange.messages)
        await asyncio.sleep(0.1)
        return ExchangeEnd(status=TransactionStatus.IN_TRANSACTION)

    def cancel(self):
        self.cancelled.append(self.runs[-1])

    async def close(self):
        pass


@contextlib.asynccontextmanager
async def connected_peer(service):
    """Yield a client of a peer service."""
    server = PeerServer([service])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    client = PeerClient(Address("127.0.0.1", port))
    try:
        yield client
    finally:
        client.close()
        server.close()


def test_late_cancel_does_not_stop_the_next_exchange():
    # A caller that pipelines may have sent its next statement before the
    # cancel of the previous one reaches the owner.
    transaction = _Transaction()
    header = ExecuteHeader(
        EndpointId("e"),
        GROUP,
        Epoch(1),
        Term(1),
        POOL,
        Rank("low"),
        "caller",
        deadline_left_ms=1000,
    )

    async def scenario():
        service = PeerService(transaction, lambda key: None)
        async with connected_peer(service) as client:
            stream = client.open(header)
            await stream.run(Exchange(b"first"), None)
            stream.cancel()
            await stream.run(Exchange(b"second"), None)
            await stream.close()

    asyncio.run(scenario())
    assert (transaction.runs, transaction.cancelled) == (
        [b"first", b"second"],
        [],
    )


class _Statement:
    def __init__(self):
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


@pytest.mark.parametrize("delay_s", [0.0, 0.2])
def test_frozen_proxy_cancels_nothing_after_the_timeout(monkeypatch, delay_s):
    # After the timeout the caller may send another statement, which a frozen
    # proxy must not cancel when it resumes.
    monkeypatch.setattr(_peer_cancel, "CANCEL_TIMEOUT_S", 0.1)
    statement = _Statement()

    class FrozenService(PeerService):
        async def execute(self, stream):
            await asyncio.sleep(delay_s)
            await super().execute(stream)

    async def scenario():
        service = FrozenService(None, lambda key: statement)
        async with connected_peer(service) as client:
            await client.cancel(CancelKey(1, b"1234"))
            await asyncio.sleep(2 * delay_s)

    asyncio.run(scenario())
    assert statement.is_cancelled is (delay_s == 0.0)
