"""Caller of the platform that runs one statement at a time."""

import asyncio
import contextlib
import dataclasses
import itertools

_REQUEST_NUMBERS = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Answer to one statement."""

    request: bytes
    rows: tuple[bytes, ...]
    receipt: bytes
    error: bytes
    state: bytes

    @property
    def is_success(self):
        """Whether the statement succeeded."""
        return not self.error


class Caller:
    """Session of a caller at a proxy."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    @contextlib.asynccontextmanager
    async def connected(cls, address, database, name="tester"):
        """Yield a started session.

        Raises
        ------
        ConnectionError
            If the proxy refuses the session.
        """
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        caller = cls(reader, writer)
        try:
            writer.write(f"STARTUP {database} {name}\r\n".encode())
            answer = await caller.answer(b"")
            if answer.error:
                raise ConnectionError(answer.error.decode())
            yield caller
        finally:
            writer.close()

    async def query(self, text: str, request=None) -> CallerAnswer:
        """Run one statement and return its answer."""
        return await self.query_bytes(text.encode(), request)

    async def query_bytes(self, text: bytes, request=None) -> CallerAnswer:
        """Run one statement of any bytes and return its answer."""
        if request is None:
            request = b"%016x" % next(_REQUEST_NUMBERS)
        self.send(b"QUERY %s %s\r\n" % (request, text))
        return await self.answer(request)

    def send(self, data: bytes):
        """Send raw bytes."""
        self._writer.write(data)

    async def answer(self, request) -> CallerAnswer:
        """Read lines up to READY and return the answer.

        `state` is empty if the session ends first.
        """
        rows, receipt, error = [], b"", b""
        while True:
            line = await self._read_line()
            word, _, rest = line.partition(b" ")
            if word == b"DATAROW":
                rows.append(rest)
            elif word == b"COMPLETE":
                receipt = rest
            elif word == b"ERROR":
                error = rest
            else:
                break
        state = rest.split(b" ")[0] if word == b"READY" else b""
        return CallerAnswer(request, tuple(rows), receipt, error, state)

    async def _read_line(self):
        """Return the next line, or an empty one if the session has ended."""
        try:
            line = await self._reader.readuntil(b"\r\n")
        except asyncio.IncompleteReadError:
            return b""
        return line.removesuffix(b"\r\n")
