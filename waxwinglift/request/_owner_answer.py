"""Buffer for the answer of an endpoint to the entry proxy."""

from waxwinglift.process._data_path_types import Sink


class AnswerTooLarge(Exception):
    """An answer that must be buffered whole exceeds the limit."""


class AnswerBuffer:
    """Buffers the start of an answer, or the whole answer.

    Parameters
    ----------
    sink : Sink
        Receives the bytes that are passed on.
    buffer_limit_bytes : int
        Bytes to buffer before any are passed on; 0 buffers none.
    waits_for_flush : bool
        Whether nothing may be passed on before ``flush``; an answer of more
        than ``buffer_limit_bytes`` is then an error.
    """

    def __init__(
        self, sink: Sink, buffer_limit_bytes: int, waits_for_flush: bool
    ):
        self.has_forwarded = False
        self._sink = sink
        self._buffer_limit_bytes = buffer_limit_bytes
        self._waits_for_flush = waits_for_flush
        self._parts: list[bytes] = []
        self._size_bytes = 0

    async def write(self, data: bytes):
        """Add bytes of the answer.

        Raises
        ------
        AnswerTooLarge
            The answer has to wait for ``flush`` and exceeds the limit.
        """
        self._parts.append(data)
        self._size_bytes += len(data)
        if self._size_bytes <= self._buffer_limit_bytes:
            return
        if self._waits_for_flush:
            raise AnswerTooLarge
        await self.flush()
        self._buffer_limit_bytes = 0

    async def flush(self):
        """Pass the buffered bytes on."""
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self.has_forwarded = True
        await self._sink(data)

    def discard(self):
        """Discard the buffered bytes."""
        self._parts.clear()
