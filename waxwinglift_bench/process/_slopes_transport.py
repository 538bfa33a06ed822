"""Cost of the gRPC calls of control over loopback.

Client and server share the process, so the processor time includes both ends
and is an upper bound for each end.
"""

import asyncio
import contextlib
import time

from grpclib.server import Server

from waxwinglift.process import Address
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import open_channel
from waxwinglift.process.rpc._convert import renewal_to_wire
from waxwinglift.version import LogIndex
from waxwinglift.version._renewals import Renewal
from waxwinglift_bench.process import _slopes_fleet
from waxwinglift_bench.process._slopes import measurement

READ_BYTES = 1 << 16


class _FakeControl(control_grpc.ControlBase):
    """Fake control service that accepts every call."""

    async def Renew(self, stream):  # noqa: N802
        message = await stream.recv_message()
        await stream.send_message(
            control_pb2.Grant(
                granted=True, lease_ms=1200, sequence=message.sequence
            )
        )

    async def Announce(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.AnnounceReply(accepted=True))

    async def Watch(self, stream):  # noqa: N802
        request = await stream.recv_message()
        for index in range(request.applied_index):
            entry = b"x" * 464
            await stream.send_message(
                control_pb2.WatchReply(first_index=index, entries=[entry])
            )

    async def Relay(self, stream):  # noqa: N802
        batch = await stream.recv_message()
        grants = [
            control_pb2.Grant(granted=True, lease_ms=1200, sequence=r.sequence)
            for r in batch.renewals
        ]
        await stream.send_message(
            control_pb2.RelayReply(is_leader=True, grants=grants)
        )

    async def Consensus(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.ConsensusAck())

    async def Propose(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.ProposeReply(accepted=True))

    async def Status(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.StatusReply())

    async def Join(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.JoinReply(accepted=True))

    async def ConfirmIndex(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.ConfirmIndexReply())

    async def ReplaceDesiredState(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.DesiredStateReply())


class _ByteCounter:
    """TCP forwarder that counts the transferred bytes."""

    def __init__(self, target):
        self.total_bytes = 0
        self.is_closed = asyncio.Event()
        self._target = target

    async def forward(self, reader, writer):
        """Forward one connection."""
        other_reader, other_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        await asyncio.gather(
            self._copy(reader, other_writer),
            self._copy(other_reader, writer),
        )
        self.is_closed.set()

    async def _copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                self.total_bytes += len(data)
                writer.write(data)
        writer.close()


@contextlib.asynccontextmanager
async def _fake_control_server():
    server = Server([_FakeControl()])
    await server.start("127.0.0.1", 0)
    try:
        port = server._server.sockets[0].getsockname()[1]
        yield Address("127.0.0.1", port)
    finally:
        server.close()
        await server.wait_closed()


@contextlib.asynccontextmanager
async def _counting_forwarder(target):
    counter = _ByteCounter(target)
    server = await asyncio.start_server(counter.forward, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield counter, Address("127.0.0.1", port)


def _make_renewal(number=0):
    renewal = Renewal(
        daemon=_slopes_fleet.daemon_name(number),
        address=_slopes_fleet.address(number),
        location=_slopes_fleet.location(number),
        applied_index=LogIndex(5000),
        sequence=number,
    )
    return renewal_to_wire(renewal)


async def _call_renew(stub, count):
    for number in range(count):
        await stub.Renew(_make_renewal(number), timeout=5)


async def _renew_bytes(count):
    async with _fake_control_server() as target:
        async with _counting_forwarder(target) as (counter, address):
            with open_channel(address) as channel:
                stub = control_grpc.ControlStub(channel)
                await _call_renew(stub, count)
            await counter.is_closed.wait()
            return counter.total_bytes


async def _cpu_us(call):
    async with _fake_control_server() as address:
        with open_channel(address) as channel:
            stub = control_grpc.ControlStub(channel)
            await stub.Status(control_pb2.StatusRequest())
            started_s = time.process_time()
            await call(stub)
            return (time.process_time() - started_s) * 1e6


@measurement("renewal call: bytes", "bytes", "renewal", (50, 200))
def renewal_call_bytes(count):
    """Bytes on the wire of renewals and their grants."""
    return asyncio.run(_renew_bytes(count))


@measurement("renewal call: processor", "us", "renewal", (100, 400))
def renewal_call_us(count):
    """Processor time at both ends for renewals over one channel."""
    return asyncio.run(_cpu_us(lambda stub: _call_renew(stub, count)))


@measurement("relay call: processor", "us", "renewal", (1, 30, 64))
def relay_call_us(count):
    """Processor time at both ends for one batch of renewals."""

    async def call(stub):
        batch = control_pb2.RelayBatch(
            renewals=[_make_renewal(number) for number in range(count)]
        )
        for _ in range(20):
            await stub.Relay(batch, timeout=5)

    return asyncio.run(_cpu_us(call)) / 20


@measurement("watch: processor", "us", "entry", (100, 400))
def watch_us(count):
    """Processor time at both ends for watch entries of the size of an edit."""

    async def call(stub):
        async with stub.Watch.open() as stream:
            request = control_pb2.WatchRequest(applied_index=count)
            await stream.send_message(request, end=True)
            async for _ in stream:
                pass

    return asyncio.run(_cpu_us(call))
