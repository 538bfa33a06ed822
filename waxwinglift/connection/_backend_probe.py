"""Probes on one connection to an endpoint, without a task for each.

A task and a timeout context cost several times as much as the bytes of a
probe.  Whoever sends a probe judges its silence with timers it has anyway.
"""

import asyncio
from collections.abc import Callable

from pygwire.messages import Query

from waxwinglift.connection._wire import ReplyFilter
from waxwinglift.connection._wire import Step
from waxwinglift.connection._wire import StepKind
from waxwinglift.connection._wire import WireError

_BUFFER_BYTES = 2**16
_PROBE = Query(query_string="SELECT 1").to_wire()


class EndpointReader(asyncio.StreamReader):
    """Stream whose bytes go to ``take`` while that is set.

    ``on_end`` is called when the connection ends, by either side.
    """

    def __init__(self):
        super().__init__(_BUFFER_BYTES, asyncio.get_running_loop())
        self.is_ended = False
        self.take: Callable[[bytes], None] | None = None
        self.on_end: Callable[[], None] | None = None

    def feed_data(self, data):
        """Pass bytes on, or keep them for a later read."""
        if self.take is None:
            super().feed_data(data)
        else:
            self.take(bytes(data))

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
        self._step: Step | None = None
        self._known_answer = b""
        self._waiter: asyncio.Future | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether a probe has no answer yet."""
        return self._on_probed is not None

    def send(self, on_probed: Callable[[bool], None]):
        """Send a probe on an idle connection.

        ``on_probed`` is called once: with True after an answer without an
        error, with False after any other answer or the connection's end.
        """
        self._on_probed = on_probed
        self._reader.take = self._take
        self._write(_PROBE)

    def cancel(self):
        """Forget the probe in flight; its connection must be closed."""
        self._on_probed = None
        self._replies = None
        self._reader.take = None
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def lose(self):
        """End the probe in flight without an answer."""
        self._end(False)

    async def wait(self):
        """Wait until no probe is in flight."""
        while self.is_waiting:
            if self._waiter is None:
                self._waiter = asyncio.get_running_loop().create_future()
            await asyncio.shield(self._waiter)

    def _take(self, data):
        is_first = self._replies is None
        if is_first and data == self._known_answer:
            # Every good answer to the same statement has the same bytes.
            self._end(True)
            return
        if is_first:
            self._step = Step(StepKind.QUERY, False)
            self._replies = ReplyFilter([self._step], self._limit_bytes)
        try:
            self._replies.feed(data)
        except WireError:
            self.lose()
            return
        if not self._replies.is_done:
            return
        is_good = self._step.error is None
        if is_good and is_first:
            self._known_answer = data
        self._end(is_good)

    def _end(self, is_good):
        on_probed = self._on_probed
        self.cancel()
        if on_probed is not None:
            on_probed(is_good)
