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


class ClosableChannel(Channel):
    """Channel that has no connection once it is closed.

    A call on a closed channel, and one whose connection is still opening when
    the channel is closed, fails with ConnectionAbortedError.  The base class
    opens a connection for such calls, which nothing closes.

    Parameters
    ----------
    address : Address
    config : grpclib.config.Configuration, optional
    """

    def __init__(self, address, config=None):
        super().__init__(address.host, address.port, config=config)
        self._is_closed = False
        self._opening = None

    def close(self):
        """Close the connection, or stop opening it."""
        self._is_closed = True
        if self._opening is not None:
            self._opening.cancel()
        super().close()

    async def _create_connection(self):
        self._check_open()
        opening = asyncio.ensure_future(super()._create_connection())
        self._opening = opening
        try:
            await asyncio.wait([opening])
            self._check_open()
        except BaseException:
            opening.cancel()
            opening.add_done_callback(_close_connection)
            raise
        finally:
            self._opening = None
        return opening.result()

    def _check_open(self):
        if self._is_closed:
            raise ConnectionAbortedError("the channel is closed")


def _close_connection(opening):
    """Close the connection of an opening that ended after it was abandoned."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result().processor.close()


@contextlib.contextmanager
def open_channel(address):
    """Yield a channel to ``address`` and close it afterwards."""
    channel = ClosableChannel(address)
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
    may be broken.  After `close`, all calls fail: tasks that are being
    cancelled may still make one, and nothing would close a new connection.
    """

    def __init__(self):
        self._channels = {}
        self._is_closed = False

    def get(self, address):
        """Return the channel to ``address``."""
        channel = self._channels.get(address)
        if channel is None:
            channel = ClosableChannel(address)
            if self._is_closed:
                channel.close()
            else:
                self._channels[address] = channel
        return channel

    def discard(self, address):
        """Close the channel to ``address`` if there is one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self):
        """Close all channels."""
        self._is_closed = True
        for address in list(self._channels):
            self.discard(address)
