"""Answer bytes on their way from an endpoint to the entry proxy."""

from waxwinglift.process._data_path_types import Sink


class AnswerTooLarge(Exception):
    """An answer that has to be held exceeds the limit."""


class AnswerBuffer:
    """Keeps the start of an answer back, or all of it.

    Parameters
    ----------
    sink : Sink
        Takes what is passed on.
    keep_bytes : int
        Bytes kept back; 0 passes everything on at once.
    is_held : bool
        The answer must not be passed on before ``flush``; an answer of more
        than ``keep_bytes`` is an error then.
    """

    def __init__(self, sink: Sink, keep_bytes: int, is_held: bool):
        self.has_forwarded = False
        self._sink = sink
        self._keep_bytes = keep_bytes
        self._is_held = is_held
        self._parts: list[bytes] = []
        self._size_bytes = 0

    async def take(self, data: bytes):
        """Take bytes of the answer.

        Raises
        ------
        AnswerTooLarge
            The answer must be held and exceeds the limit.
        """
        self._parts.append(data)
        self._size_bytes += len(data)
        if self._size_bytes <= self._keep_bytes:
            return
        if self._is_held:
            raise AnswerTooLarge
        await self.flush()
        self._keep_bytes = 0

    async def flush(self):
        """Pass on what is kept back."""
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self.has_forwarded = True
        await self._sink(data)

    def drop(self):
        """Forget what is kept back."""
        self._parts.clear()
