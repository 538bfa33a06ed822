"""gRPC channels to other processes."""

import asyncio
import contextlib

from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

# Exceptions that a call may raise if the peer or the network fails.  h2's
# ProtocolError is reported as StreamTerminatedError.
CALL_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)


@contextlib.contextmanager
def open_channel(address):
    """Yield a channel to ``address`` and close it afterwards."""
    channel = Channel(host=address.host, port=address.port)
    try:
        yield channel
    finally:
        channel.close()


def retrieve_exception(task):
    """Mark the exception of a task as retrieved if nobody awaits it."""
    if not task.cancelled():
        task.exception()


class ChannelCache:
    """Channels by address, opened on first use.

    One channel carries all calls to a process.  `discard` closes a channel
    after an error, so that the next call opens a new connection: the old one
    may be broken.
    """

    def __init__(self):
        self._channels = {}

    def get(self, address):
        """Return the channel to ``address``."""
        channel = self._channels.get(address)
        if channel is None:
            channel = Channel(host=address.host, port=address.port)
            self._channels[address] = channel
        return channel

    def discard(self, address):
        """Close the channel to ``address`` if there is one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self):
        """Close all channels."""
        for address in list(self._channels):
            self.discard(address)
