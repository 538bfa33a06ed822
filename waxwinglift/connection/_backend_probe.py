"""Probes on one connection to an endpoint, without a task for each.

A task and a timeout context cost several times as much as writing a probe and
reading its answer.  The sender of a probe detects a missing answer with the
timers that it already has.
"""

import asyncio
from collections.abc import Callable

from pygwire.messages import Query

from waxwinglift.connection._wire import PacketStep
from waxwinglift.connection._wire import ReplyFilter
from waxwinglift.connection._wire import StepKind
from waxwinglift.connection._wire import WireError

_BUFFER_BYTES = 2**16
_PROBE = Query(query_string="SELECT 1").to_wire()


class EndpointReader(asyncio.StreamReader):
    """Stream reader that passes its bytes to ``on_data`` while that is set.

    ``is_ended`` and ``on_end`` report the end of the connection even while
    received bytes are unread: an endpoint that shuts down first sends an
    error, which is not read on an idle connection.
    """

    def __init__(self):
        super().__init__(_BUFFER_BYTES, asyncio.get_running_loop())
        self.is_ended = False
        self.on_data: Callable[[bytes], None] | None = None
        self.on_end: Callable[[], None] | None = None

    def feed_data(self, data):
        """Pass bytes to ``on_data``, or buffer them for a later read."""
        if self.on_data is None:
            super().feed_data(data)
        else:
            self.on_data(bytes(data))

    def feed_eof(self):
        """End the stream."""
        super().feed_eof()
        self._end()

    def set_exception(self, exc):
        """End the stream with an error."""
        super().set_exception(exc)
        self._end()

    def _end(self):
        self.is_ended = True
        if self.on_end is not None:
            self.on_end()


class Prober:
    """Sends probes on a connection, one at a time.

    Parameters
    ----------
    reader : EndpointReader
    write : callable
        Sends bytes.
    limit_bytes : int
        Largest accepted message.
    """

    def __init__(
        self,
        reader: EndpointReader,
        write: Callable[[bytes], None],
        limit_bytes: int,
    ):
        self._reader = reader
        self._write = write
        self._limit_bytes = limit_bytes
        self._on_probed: Callable[[bool], None] | None = None
        self._replies: ReplyFilter | None = None
        self._step: PacketStep | None = None
        self._successful_answer = b""
        self._waiter: asyncio.Future | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether a probe is waiting for its answer."""
        return self._on_probed is not None

    def send(self, on_probed: Callable[[bool], None]):
        """Send a probe on an idle connection.

        ``on_probed`` is called once: with True after an answer without an
        error, with False after any other answer or when the connection ends.
        """
        self._on_probed = on_probed
        self._reader.on_data = self._read_answer
        self._write(_PROBE)

    def cancel(self):
        """Cancel the probe in flight without a call of ``on_probed``.

        If it was not answered, the connection must then be closed, because
        the answer may still arrive.
        """
        self._on_probed = None
        self._replies = None
        self._reader.on_data = None
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def fail(self):
        """Report the probe in flight as failed."""
        self._end(False)

    async def wait(self):
        """Wait until no probe is in flight."""
        while self.is_waiting:
            if self._waiter is None:
                self._waiter = asyncio.get_running_loop().create_future()
            await asyncio.shield(self._waiter)

    def _read_answer(self, data):
        is_first = self._replies is None
        if is_first and data == self._successful_answer:
            # All successful answers to the probe have the same bytes.
            self._end(True)
            return
        if is_first:
            self._step = PacketStep(StepKind.QUERY, False)
            self._replies = ReplyFilter([self._step], self._limit_bytes)
        try:
            self._replies.feed(data)
        except WireError:
            self.fail()
            return
        if not self._replies.is_done:
            return
        is_success = self._step.error is None
        if is_success and is_first:
            self._successful_answer = data
        self._end(is_success)

    def _end(self, is_success):
        on_probed = self._on_probed
        self.cancel()
        if on_probed is not None:
            on_probed(is_success)
