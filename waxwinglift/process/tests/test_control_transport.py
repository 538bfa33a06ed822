"""Tests order and rate of messages between control members."""

import asyncio
import contextlib

from grpclib.server import Server
import pytest

from waxwinglift.process import Address
from waxwinglift.process._control_transport import ConsensusTransport
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import ChannelCache
from waxwinglift.version._consensus_messages import decode_message
from waxwinglift.version._consensus_messages import VoteResponse


class DelayedMember(control_grpc.ControlBase):
    """Answers each message after a delay, like a member in another region."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.terms = []

    async def Consensus(self, stream):  # noqa: N802
        envelope = await stream.recv_message()
        self.terms.append(decode_message(envelope.payload).term)
        await asyncio.sleep(self.delay_s)
        await stream.send_message(control_pb2.ConsensusAck())

    async def _unused(self, stream):
        raise NotImplementedError

    Announce = Renew = Watch = Relay = Propose = Status = _unused
    Join = ConfirmIndex = ReplaceDesiredState = _unused


@contextlib.asynccontextmanager
async def running_transport(delay_s):
    member = DelayedMember(delay_s)
    server = Server([member])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    channels = ChannelCache()
    address = Address("127.0.0.1", port)
    transport = ConsensusTransport("m1", lambda name: address, channels)
    try:
        yield transport, member
    finally:
        transport.close()
        channels.close()
        server.close()
        await server.wait_closed()


@pytest.mark.parametrize(("delay_s", "limit_s"), [(0.0, 1.0), (0.1, 2.0)])
def test_messages_arrive_in_order_without_waiting_for_answers(
    delay_s, limit_s
):
    # With one call at a time, 60 messages to another region take 60 round
    # trips, and the heartbeats queued behind them arrive too late to keep
    # the quorum.
    async def work():
        async with running_transport(delay_s) as (transport, member):
            async with asyncio.timeout(limit_s):
                for term in range(60):
                    transport.send("m2", VoteResponse(term, True))
                while len(member.terms) < 60:
                    await asyncio.sleep(0.01)
            assert member.terms == list(range(60))

    asyncio.run(work())
