"""Tests what a proxy reports when the connection to another one fails."""

import asyncio
import contextlib
import logging
import socket

import pytest
from result import Err

from waxwinglift.process import _peer_client_connection
from waxwinglift.process import Address
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._peer_client import PeerClient
from waxwinglift.process._peer_codec import encode_exchange
from waxwinglift.process._peer_frames import encode_body
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import StreamId
from waxwinglift.process.tests.peer_pair import header
from waxwinglift.process.tests.peer_pair import Received
from waxwinglift.process.tests.peer_pair import settle
from waxwinglift.process.tests.test_peer_streams import run
from waxwinglift.process.tests.test_peer_streams import run_one
from waxwinglift.request import Verdict
from waxwinglift.version import GroupName
from waxwinglift.version import Term

WAIT = Exchange(b"wait")


def _close_server(pair):
    pair.server.close()


def _close_client(pair):
    pair.client.close()


def _abort_at_server(pair):
    (connection,) = pair.server._connections
    connection._transport.abort()


def _abort_at_client(pair):
    pair.client._connector.discard()


LOSSES = [_close_server, _close_client, _abort_at_server, _abort_at_client]


@pytest.mark.parametrize("lose", LOSSES)
def test_lost_connection_ends_its_exchanges_at_once(lose):
    # The statement may have run, and its caller must not wait for a timeout.
    async def scenario(pair):
        work = [
            asyncio.ensure_future(
                pair.client.open(header(f"{n}")).run(WAIT, Received())
            )
            for n in range(3)
        ]
        await pair.wait_for(lambda: len(pair.executor.started) == 3)
        lose(pair)
        async with asyncio.timeout(0.2):
            ends = await asyncio.gather(*work)
        for end in ends:
            assert end.failure.verdict is Verdict.MAY_HAVE_RUN
            assert end.is_owner_unreachable
        transactions = pair.executor.transactions.values()
        await pair.wait_for(lambda: all(t.is_closed for t in transactions))
        assert all(t.was_interrupted for t in transactions)
        await pair.wait_for(lambda: not pair.server._tasks)

    run(scenario)


@pytest.mark.parametrize("lose", LOSSES)
def test_lost_connection_rolls_back_open_blocks(lose):
    # A block between two statements has no running exchange to interrupt.
    async def scenario(pair):
        transaction = pair.client.open(header("a"))
        await transaction.run(Exchange(b"block"), Received())
        lose(pair)
        await pair.wait_for(lambda: pair.transaction("a").is_closed)
        end = await transaction.run(Exchange(b"next"), Received())
        assert end.failure.verdict is Verdict.MAY_HAVE_RUN
        assert pair.executor.started == [b"block"]
        await transaction.close()

    run(scenario)


@pytest.mark.parametrize("lose", [_abort_at_server, _abort_at_client])
def test_next_transaction_opens_a_new_connection(lose):
    # An idle stream of a lost connection must not be used again.
    async def scenario(pair):
        assert (await run_one(pair, "a", b"first")).failure is None
        lose(pair)
        await asyncio.sleep(0.05)
        assert (await run_one(pair, "a", b"second")).failure is None

    run(scenario)


@pytest.mark.parametrize("lose", LOSSES)
def test_lost_connection_ends_a_position_request(lose):
    # A read that waits for the position would use up its deadline.
    async def scenario(pair):
        work = asyncio.ensure_future(
            pair.client.group_position(GroupName("wait"), Term(1))
        )
        await pair.wait_for(lambda: pair.server._tasks)
        await asyncio.sleep(0.02)
        lose(pair)
        async with asyncio.timeout(0.2):
            assert isinstance(await work, Err)
        await pair.wait_for(lambda: not pair.server._tasks)

    run(scenario)


def test_closed_server_waits_for_the_rollback():
    # A proxy that stops must not leave transactions behind.
    async def scenario(pair):
        transaction = pair.client.open(header("a"))
        await transaction.run(Exchange(b"block"), Received())
        pair.server.close()
        await pair.server.wait_closed()
        assert pair.transaction("a").is_closed

    run(scenario)


@contextlib.contextmanager
def _refusing_address():
    """Yield an address where nobody listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        yield Address(*unused.getsockname())


@contextlib.contextmanager
def _silent_address():
    """Yield an address that answers no connection attempt."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # Further attempts get no answer once the backlog is full.
        for _ in range(4):
            attempt = stack.enter_context(socket.socket())
            attempt.setblocking(False)
            attempt.connect_ex(listener.getsockname())
        yield Address(*listener.getsockname())


@pytest.mark.parametrize(
    ("address", "deadline_left_ms", "limit_s"),
    [
        (_refusing_address, 1000, 0.2),
        (_silent_address, 100, 0.2),
        (_silent_address, 5000, 0.6),
    ],
)
def test_unreachable_owner_is_reported_before_anything_ran(
    address, deadline_left_ms, limit_s
):
    # The entry proxy may send the statement elsewhere only if it has not run,
    # and has to learn this within the caller's deadline.
    async def scenario():
        with address() as peer_address:
            client = PeerClient(peer_address)
            transaction = client.open(header("a", deadline_left_ms))
            async with asyncio.timeout(limit_s):
                end = await transaction.run(WAIT, Received())
            assert end.failure.verdict is Verdict.NOT_RUN
            assert end.is_owner_unreachable
            assert client.is_unresponsive
            await transaction.close()
            client.close()

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def _listening(serve):
    """Yield a client of a server that passes its connections to ``serve``."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = PeerClient(Address(*server.sockets[0].getsockname()))
    try:
        yield client
    finally:
        client.close()
        server.close()
        await settle()


def test_idle_connection_to_an_isolated_peer_is_closed(monkeypatch):
    # Packets that are dropped cause no error, so the next transaction would
    # be sent into the void and could not be sent elsewhere.
    monkeypatch.setattr(_peer_client_connection, "KEEPALIVE_S", 0.05)

    async def stay_silent(reader, writer):
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        writer.close()

    async def scenario():
        async with _listening(stay_silent) as client:
            connection = await client._connector.connect()
            await asyncio.sleep(0.3)
            assert connection.is_closed

    asyncio.run(scenario())


def test_idle_connection_to_a_live_peer_stays_open(monkeypatch):
    # A new connection would cost each transaction a round trip.
    monkeypatch.setattr(_peer_client_connection, "KEEPALIVE_S", 0.05)

    async def scenario(pair):
        await run_one(pair, "a", b"first")
        connection = pair.client._connector.connection
        await asyncio.sleep(0.5)
        assert pair.client._connector.connection is connection

    run(scenario)


def test_frozen_peer_fails_its_exchanges():
    # Health pings must end the wait for an owner that accepts but is frozen.
    async def stay_silent(reader, writer):
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        writer.close()

    async def scenario():
        async with _listening(stay_silent) as client:
            transaction = client.open(header("a"))
            async with asyncio.timeout(0.9):
                end = await transaction.run(WAIT, Received())
            assert end.failure.verdict is Verdict.MAY_HAVE_RUN
            assert end.is_owner_unreachable
            assert client.is_unresponsive

    asyncio.run(scenario())


def _frame(kind, body=b"", stream_id=1):
    return encode_frame(kind, StreamId(stream_id), body)


def _exchange(messages):
    return encode_body(encode_exchange(Exchange(messages), header("raw")))


MALFORMED_REQUESTS = {
    "HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "too long": b"\xff\xff\xff\xff\x01\x00\x00\x00\x01",
    "unknown kind": b"\x00\x00\x00\x00\x63\x00\x00\x00\x01",
    "message": _frame(FrameKind.EXECUTE, b"\xff\xff"),
    "kind of the other direction": _frame(FrameKind.RESULT),
    "grant": _frame(FrameKind.GRANT, b"1"),
    "kind of another stream": _frame(FrameKind.EXECUTE, _exchange(b"wait"))
    + _frame(FrameKind.POSITION_REQUEST),
    "pipelined exchanges": 50 * _frame(FrameKind.EXECUTE, _exchange(b"wait")),
}


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
def test_malformed_request_ends_only_its_connection(name, caplog):
    # One faulty peer must not stop the owner or fill its memory.
    async def scenario(pair):
        assert (await run_one(pair, "a", b"before")).failure is None
        address = pair.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(MALFORMED_REQUESTS[name])
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(1):
                await reader.read()
        writer.close()
        assert (await run_one(pair, "a", b"after")).failure is None
        await pair.wait_for(lambda: len(pair.server._tasks) == 1)

    with caplog.at_level(logging.WARNING):
        run(scenario)
    assert "closing the connection to the proxy at" in caplog.text


MALFORMED_ANSWERS = {
    "HTTP/2": b"HTTP/1.1 400 Bad Request\r\n\r\n",
    "message": _frame(FrameKind.RESULT, b"\xff\xff"),
    "kind of the other direction": _frame(FrameKind.EXECUTE),
    "kind of another stream": _frame(FrameKind.POSITION_REPLY),
}


@pytest.mark.parametrize("name", MALFORMED_ANSWERS)
def test_malformed_answer_fails_the_exchange(name, caplog):
    # The caller must get a verdict, which may not claim that nothing ran.
    async def answer(reader, writer):
        await reader.read(1)
        writer.write(MALFORMED_ANSWERS[name])
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        writer.close()

    async def scenario():
        async with _listening(answer) as client:
            transaction = client.open(header("a"))
            async with asyncio.timeout(0.2):
                end = await transaction.run(WAIT, Received())
            assert end.failure.verdict is Verdict.MAY_HAVE_RUN
            assert end.is_owner_unreachable

    with caplog.at_level(logging.WARNING):
        asyncio.run(scenario())
    assert "closing the connection to the proxy at" in caplog.text


@pytest.mark.parametrize(
    "data",
    [
        _frame(FrameKind.EXECUTE),
        _frame(FrameKind.END),
        _frame(FrameKind.GRANT, b"1234"),
    ],
    ids=["exchange without a transaction", "end", "grant"],
)
def test_late_frame_of_an_ended_stream_is_harmless(data):
    # Such frames cross the end of a stream that the owner has sent.
    async def scenario(pair):
        address = pair.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(data + _frame(FrameKind.PING, stream_id=9))
        pong = _frame(FrameKind.PONG, stream_id=9)
        async with asyncio.timeout(1):
            assert await reader.readexactly(len(pong)) == pong
        writer.close()

    run(scenario)


def test_failed_stream_ends_with_a_log_line(caplog):
    # A fault in one transaction must not leave its caller without an answer.
    async def scenario(pair):
        end = await run_one(pair, "a", b"\xff\xff")
        assert end.failure.verdict is Verdict.MAY_HAVE_RUN
        assert (await run_one(pair, "a", b"after")).failure is None

    run(scenario)
    assert "a stream of another proxy failed" in caplog.text
