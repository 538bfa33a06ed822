"""Messages between control members."""

import asyncio
import collections

from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import CALL_ERRORS
from waxwinglift.version._consensus_messages import encode_message

# Messages waiting for one member; the oldest are dropped, since the consensus
# node repeats what is still needed.
QUEUE_LIMIT_COUNT = 64
CALL_TIMEOUT_S = 1.0


class _Outbox:
    def __init__(self):
        self.messages = collections.deque(maxlen=QUEUE_LIMIT_COUNT)
        self.filled = asyncio.Event()


class ConsensusTransport:
    """Sends consensus messages in order, one call at a time per member.

    Parameters
    ----------
    member : DaemonId
        This member.
    find_address : callable
        Returns the address of a member or None.
    channels : ChannelCache
        Channels shared with the relay.
    """

    def __init__(self, member, find_address, channels):
        self._member = member
        self._find_address = find_address
        self._channels = channels
        self._outboxes = {}
        self._tasks = []

    def send(self, recipient, message):
        """Queue a message; never waits."""
        outbox = self._outboxes.get(recipient)
        if outbox is None:
            outbox = self._outboxes[recipient] = _Outbox()
            task = asyncio.ensure_future(self._deliver(recipient, outbox))
            self._tasks.append(task)
        outbox.messages.append(message)
        outbox.filled.set()

    def close(self):
        """Stop sending."""
        for task in self._tasks:
            task.cancel()

    async def _deliver(self, recipient, outbox):
        while True:
            await outbox.filled.wait()
            outbox.filled.clear()
            while outbox.messages:
                message = outbox.messages.popleft()
                await self._send_one(recipient, message)

    async def _send_one(self, recipient, message):
        address = self._find_address(recipient)
        if address is None:
            return
        envelope = control_pb2.ConsensusEnvelope(
            sender=self._member,
            recipient=recipient,
            payload=encode_message(message),
        )
        stub = control_grpc.ControlStub(self._channels.get(address))
        try:
            await stub.Consensus(envelope, timeout=CALL_TIMEOUT_S)
        except CALL_ERRORS:
            # The connection may be silent; the next message opens a new one.
            self._channels.discard(address)
