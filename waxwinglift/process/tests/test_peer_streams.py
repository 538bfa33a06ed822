"""Tests the streams of transactions that share a connection of two proxies."""

import asyncio

import pytest
from result import Ok

from waxwinglift.process import _peer_frames
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._peer_frames import encode_body
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import StreamId
from waxwinglift.process._peer_frames import WINDOW_BYTES
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.process._peer_codec import encode_exchange
from waxwinglift.process.tests.peer_pair import header
from waxwinglift.process.tests.peer_pair import peer_pair
from waxwinglift.process.tests.peer_pair import Received
from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.version import GroupName
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term

PART_BYTES = 2**16


def run(scenario):
    """Run a scenario with a client and a server, within a time limit."""

    async def work():
        async with asyncio.timeout(15), peer_pair() as pair:
            await scenario(pair)

    asyncio.run(work())


async def run_one(pair, caller, messages, sink=None):
    """Run one transaction of one exchange; return its outcome."""
    transaction = pair.client.open(header(caller))
    try:
        return await transaction.run(
            Exchange(messages), sink if sink is not None else Received()
        )
    finally:
        await transaction.close()


@pytest.mark.parametrize("caller_count", [1, 7, 150])
def test_each_transaction_gets_its_own_answers(caller_count):
    # An answer that goes to another stream shows a caller foreign data.
    async def scenario(pair):
        async def call(number):
            caller = f"caller-{number}"
            for step in range(5):
                received = Received()
                messages = f"{number}-{step}".encode()
                end = await run_one(pair, caller, messages, received)
                assert end.failure is None
                assert received.data == messages + b" " + caller.encode()

        await asyncio.gather(*(call(n) for n in range(caller_count)))
        assert len(pair.server._connections) == 1
        # Streams are used again, so their number does not grow.
        assert len(pair.server._tasks) <= caller_count

    run(scenario)


@pytest.mark.parametrize("part_count", [1, 3, 4, 5, 64])
def test_large_answer_arrives_whole_on_a_reused_stream(part_count):
    # A window that is not granted again stops the stream after some answers.
    async def scenario(pair):
        for _ in range(4):
            received = Received()
            end = await run_one(
                pair, "a", f"send {part_count}".encode(), received
            )
            assert end.failure is None
            expected = b"".join(
                bytes([number]) * PART_BYTES for number in range(part_count)
            )
            assert received.data == expected
        assert len(pair.server._tasks) == 1

    run(scenario)


def test_slow_caller_delays_no_other_stream_and_fills_no_memory():
    # A caller that does not read its answer must stop only its own exchange;
    # the owner must not send the rest of the answer into a buffer.
    async def scenario(pair):
        received = Received(is_open=False)
        work = asyncio.ensure_future(
            run_one(pair, "slow", b"send 200", received)
        )
        await pair.wait_for(lambda: "slow" in pair.executor.transactions)
        slow = pair.transaction("slow")
        await pair.wait_for(lambda: slow.sent_bytes >= WINDOW_BYTES)
        for number in range(50):
            end = await run_one(pair, "fast", f"{number}".encode())
            assert end.failure is None
        assert slow.sent_bytes <= WINDOW_BYTES + 2 * PART_BYTES
        received.is_open.set()
        assert (await work).failure is None
        assert len(received.data) == 200 * PART_BYTES

    run(scenario)


def test_peer_that_reads_nothing_gets_a_bounded_number_of_bytes():
    # A frozen entry proxy with many streams must not fill the owner's memory.
    async def scenario(pair):
        address = pair.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port, limit=1
        )
        for number in range(1, 201):
            exchange = encode_exchange(
                Exchange(b"send 4"), header(f"caller-{number}")
            )
            writer.write(
                encode_frame(
                    FrameKind.EXECUTE,
                    StreamId(number),
                    encode_body(exchange),
                )
            )
        await pair.wait_for(lambda: len(pair.executor.started) == 200)
        await asyncio.sleep(0.1)
        (connection,) = pair.server._connections
        unsent_bytes = connection._transport.get_write_buffer_size()
        # Senders that wait are woken together, and each may send one part.
        assert 0 < unsent_bytes <= 2**20
        assert len(pair.server._tasks) == 200
        writer.transport.abort()
        await pair.wait_for(lambda: not pair.server._tasks)

    run(scenario)


@pytest.mark.parametrize("messages", [b"wait", b"send 100"])
def test_cancel_stops_the_running_exchange(messages):
    # The owner must act on a cancel while the exchange waits, also if it waits
    # for the caller to read.
    async def scenario(pair):
        received = Received(is_open=False)
        transaction = pair.client.open(header("a"))
        work = asyncio.ensure_future(
            transaction.run(Exchange(messages), received)
        )
        await pair.wait_for(lambda: pair.executor.started)
        await asyncio.sleep(0.05)
        transaction.cancel()
        received.is_open.set()
        end = await work
        assert end.failure.code is FailureCode.CANCELLED
        await transaction.close()
        await pair.wait_for(lambda: pair.transaction("a").is_closed)

    run(scenario)


def test_cancel_in_the_packet_of_its_exchange_is_not_lost():
    # A proxy that resumes reads both at once, before the exchange has started.
    async def scenario(pair):
        address = pair.address
        _, writer = await asyncio.open_connection(address.host, address.port)
        exchange = encode_exchange(Exchange(b"wait"), header("a"))
        cancel = peer_pb2.ExecuteFrame(cancel=True)
        writer.write(
            b"".join(
                encode_frame(FrameKind.EXECUTE, StreamId(1), encode_body(m))
                for m in (exchange, cancel, cancel)
            )
        )
        await pair.wait_for(lambda: pair.executor.started)
        await asyncio.sleep(0.05)
        assert pair.transaction("a")._is_cancelled
        writer.close()

    run(scenario)


def test_abandoned_exchange_does_not_start():
    # A proxy that resumes after its caller has given up must not run it.
    async def scenario(pair):
        address = pair.address
        _, writer = await asyncio.open_connection(address.host, address.port)
        exchange = encode_exchange(Exchange(b"wait"), header("a"))
        writer.write(
            encode_frame(FrameKind.EXECUTE, StreamId(1), encode_body(exchange))
            + encode_frame(FrameKind.END, StreamId(1))
        )
        await asyncio.sleep(0.1)
        assert not pair.executor.started
        assert pair.transaction("a").is_closed
        assert not pair.server._tasks
        writer.close()

    run(scenario)


def test_open_block_is_rolled_back_at_the_end_of_its_stream():
    # An open transaction would keep its locks and its slot.
    async def scenario(pair):
        transaction = pair.client.open(header("a"))
        await transaction.run(Exchange(b"block"), Received())
        assert not pair.transaction("a").is_closed
        await transaction.close()
        await pair.wait_for(lambda: pair.transaction("a").is_closed)
        await pair.wait_for(lambda: not pair.server._tasks)

    run(scenario)


def test_too_large_exchange_is_refused_and_keeps_the_connection(monkeypatch):
    # It has not run, and the other transactions of the connection go on.
    async def scenario(pair):
        await run_one(pair, "a", b"small")
        monkeypatch.setattr(_peer_frames, "FRAME_LIMIT_BYTES", 1000)
        end = await run_one(pair, "a", b"x" * 2000)
        assert end.failure.verdict is Verdict.NOT_RUN
        assert end.failure.code is FailureCode.TOO_LARGE
        assert not end.is_owner_unreachable
        assert pair.executor.started == [b"small"]
        end = await run_one(pair, "a", b"small")
        assert end.failure is None
        assert len(pair.server._connections) == 1

    run(scenario)


def test_too_large_answer_is_an_error_and_rolls_back(monkeypatch):
    # The statement may have run; the caller must get this verdict, not wait.
    async def scenario(pair):
        monkeypatch.setattr(_peer_frames, "FRAME_LIMIT_BYTES", 1000)
        end = await run_one(pair, "a", b"fill 2000")
        assert end.failure.verdict is Verdict.MAY_HAVE_RUN
        assert "exceeds the limit of 1000" in end.failure.message
        assert not end.is_owner_unreachable
        assert pair.transaction("a").is_closed
        end = await run_one(pair, "b", b"small")
        assert end.failure is None

    run(scenario)


def test_position_of_a_group_is_answered():
    # Entry proxies ask for it before a read that must see all writes.
    async def scenario(pair):
        outcome = await pair.client.group_position(GroupName("g"), Term(3))
        assert outcome == Ok(Position(Term(3), Lsn(42)))
        assert not pair.client._connector.connection.streams

    run(scenario)
