"""Stand-in for a requester."""

import asyncio
import itertools
import random


class Answer:
    """Answer to one statement; ``state`` is empty if the session ended."""

    def __init__(self, request, rows, receipt, error, state, position):
        self.request = request
        self.rows = rows
        self.receipt = receipt
        self.error = error
        self.state = state
        self.position = position

    def __repr__(self):
        rows = len(self.rows)
        return (
            f"rows={rows} receipt={self.receipt!r} error={self.error!r} "
            f"state={self.state!r} position={self.position!r}"
        )

    @property
    def is_success(self):
        return bool(self.receipt) and not self.error


_IDS = itertools.count(1)


class Requester:
    """Session of a requester; it speaks one line at a time."""

    def __init__(self, record):
        self.record = record
        self.reader = self.writer = None

    async def open(self, address, database, limit_s=2.0):
        """Open the session; return whether it is ready."""
        try:
            async with asyncio.timeout(limit_s):
                self.reader, self.writer = await asyncio.open_connection(
                    *address, limit=2**21
                )
                self.writer.write(b"STARTUP %s tester\r\n" % database.encode())
                answer = await self._answer(b"")
        except (OSError, TimeoutError):
            return False
        return not answer.error and bool(answer.state)

    async def query(self, text, limit_s=10.0):
        """Run one statement."""
        request = b"%08x%08x" % (random.getrandbits(32), next(_IDS))
        self.record.write("sent", request, text)
        self.writer.write(b"QUERY %s %s\r\n" % (request, text))
        try:
            async with asyncio.timeout(limit_s):
                answer = await self._answer(request)
        except (OSError, TimeoutError) as error:
            answer = Answer(request, [], b"", repr(error).encode(), b"", b"")
        self.record.write("answer", request, answer)
        return answer

    async def _answer(self, request):
        rows, receipt, error = [], b"", b""
        while True:
            try:
                line = (await self.reader.readuntil(b"\r\n"))[:-2]
            except asyncio.IncompleteReadError:
                return Answer(request, rows, b"", error or b"CLOSED", b"", b"")
            word, _, rest = line.partition(b" ")
            if word == b"DATAROW":
                rows.append(rest)
            elif word == b"COMPLETE":
                receipt = rest
            elif word == b"ERROR":
                error = rest
                if not request:
                    return Answer(request, rows, b"", error, b"", b"")
            elif word == b"READY":
                state, _, position = rest.partition(b" ")
                return Answer(request, rows, receipt, error, state, position)

    def close(self):
        if self.writer is not None:
            self.writer.close()
