"""Delivery of consensus messages between control members."""

import asyncio
import collections

from waxwinglift.process._consensus_envelopes import encode_envelope
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc._channels import CALL_ERRORS

# Messages queued for one member.  The oldest are dropped first; the consensus
# node sends again what is still needed.
QUEUE_LIMIT_COUNT = 64
CALL_TIMEOUT_S = 1.0
# Concurrent calls to one member.  One call at a time allows 40 messages per
# second between regions, where a round trip takes 24 ms: during a burst of
# entries, heartbeats were queued behind them and the leader lost its quorum.
CALLS_LIMIT_COUNT = 16


class _Outbox:
    def __init__(self):
        self.messages = collections.deque(maxlen=QUEUE_LIMIT_COUNT)
        self.filled = asyncio.Event()
        # Calls that wait for a new connection may be reordered, so there is
        # only one call at a time until a call has succeeded.
        self.is_connected = False
        # Whether the member at the other end of the connection has stated
        # that it reads short messages and knows this member's address.
        self.reads_short = False

    def calls_limit_count(self):
        return CALLS_LIMIT_COUNT if self.is_connected else 1


class ConsensusTransport:
    """Sends consensus messages in order, with few calls per member at once.

    Calls on one connection arrive in order.  After a connection was replaced,
    the consensus node sends again what arrived out of order.

    Parameters
    ----------
    member : DaemonId
        This member.
    find_address : callable
        Returns the address of a member or None.
    channels : ChannelCache
        Channels shared with the relay.
    address : Address, optional
        Address on which this member listens; new members send their
        answers to it.
    """

    def __init__(self, member, find_address, channels, address=None):
        self._member = member
        self._address = address
        self._find_address = find_address
        self._channels = channels
        self._outboxes = {}
        self._tasks = []

    def send(self, recipient, message):
        """Queue a message without blocking."""
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
        calls = set()
        try:
            while True:
                await outbox.filled.wait()
                outbox.filled.clear()
                while outbox.messages:
                    if len(calls) >= outbox.calls_limit_count():
                        await asyncio.wait(
                            calls, return_when=asyncio.FIRST_COMPLETED
                        )
                        continue
                    message = outbox.messages.popleft()
                    call = asyncio.ensure_future(
                        self._send_one(recipient, outbox, message)
                    )
                    calls.add(call)
                    call.add_done_callback(calls.discard)
        finally:
            for call in calls:
                call.cancel()

    async def _send_one(self, recipient, outbox, message):
        address = self._find_address(recipient)
        if address is None:
            return
        envelope = encode_envelope(
            self._member,
            recipient,
            message,
            None if outbox.reads_short else self._address,
            outbox.reads_short,
        )
        channel = self._channels.get(address)
        stub = control_grpc.ControlStub(channel)
        try:
            ack = await stub.Consensus(envelope, timeout=CALL_TIMEOUT_S)
            outbox.is_connected = True
            outbox.reads_short = ack.reads_short
        except CALL_ERRORS:
            # The connection may be broken; the next message opens a new one.
            outbox.is_connected = False
            outbox.reads_short = False
            if self._channels.get(address) is channel:
                self._channels.discard(address)
