"""One connection to a stand-in server."""

import asyncio
import time

# Rows that a server sends at a time.
ROWS_PER_PART = 80
PART_INTERVAL_S = 0.06


class ServerSession:
    """One connection to a server."""

    def __init__(self, server, reader, writer):
        self.server = server
        self.reader = reader
        self.writer = writer
        self.values = {}
        self.prepared = {}
        self.writes = None
        self.is_read = False
        self.is_failed = False

    def abort(self):
        self.writes = None
        self.writer.transport.abort()

    def send(self, *lines):
        self.writer.write(b"".join(line + b"\r\n" for line in lines))

    async def line(self):
        line = await self.reader.readuntil(b"\r\n")
        await self.server.awake.wait()
        return line[:-2]

    async def serve(self):
        server = self.server
        word, *fields = (await self.line()).split(b" ")
        if word != b"STARTUP" or len(fields) < 2:
            return
        wrong = fields[0] != server.service.name.encode()
        wrong = wrong or fields[2:3] not in ([], [server.name.encode()])
        if wrong:
            self.send(b"ERROR MISROUTED " + server.name.encode())
            return
        if len(server.sessions) > 23:
            self.send(b"ERROR TOOMANY " + server.name.encode())
            return
        await server.use_slot(12)
        self.ready()
        while True:
            line = await self.line()
            word, _, rest = line.partition(b" ")
            if word != b"QUERY":
                return
            request, _, text = rest.partition(b" ")
            await self.query(request, text)
            await server.awake.wait()
            self.ready()

    def ready(self):
        state = b"I"
        if self.writes is not None:
            state = b"E" if self.is_failed else b"T"
        self.send(b"READY %s %d.%d" % (state, *self.server.position))

    def error(self, code):
        if self.writes is not None and code != b"BUSY":
            self.is_failed = True
        self.send(b"ERROR %s %s" % (code, self.server.name.encode()))

    def done(self, rows=(), receipt=b"-"):
        self.send(*(b"DATAROW " + row for row in rows), b"COMPLETE " + receipt)

    def run(self, request, text):
        """Note that a statement ran; return its receipt."""
        server = self.server
        server.runs.append((time.monotonic(), request, text))
        server.service.record.write("run at", server.name, request, text)
        return b"%s.%d.%s" % (
            server.name.encode(),
            next(server.receipts),
            request,
        )

    async def query(self, request, text):
        server = self.server
        word, _, rest = text.partition(b" ")
        if word == b"AFTER":
            field, _, text = rest.partition(b" ")
            term, _, number = field.partition(b".")
            after = int(term), int(number)
            if not server.contains(after):
                server.service.record.write(
                    "refused at",
                    server.name,
                    request,
                    "LAGGING, after",
                    after,
                    "at",
                    server.position,
                )
                self.error(b"LAGGING")
                return
            server.service.record.write(
                "accepted at",
                server.name,
                request,
                "after",
                after,
                "at",
                server.position,
            )
            word, _, rest = text.partition(b" ")
        if self.is_failed and word not in (b"COMMIT", b"ROLLBACK"):
            self.error(b"MALFORMED")
        elif word == b"BEGIN":
            if rest != b"READ" and not server.is_primary:
                self.error(b"READONLY")
                return
            self.writes, self.is_read = [], rest == b"READ"
            self.is_failed = False
            self.done()
        elif word == b"ROLLBACK":
            self.writes, self.is_failed = None, False
            self.done()
        elif word == b"COMMIT":
            await self.commit(request, text)
        elif word == b"RESET":
            self.values.clear()
            self.prepared.clear()
            self.done()
        elif word == b"SET":
            name, _, value = rest.partition(b" ")
            self.values[name] = value
            self.done()
        elif word == b"PREPARE":
            name, access, shape = rest.split(b" ", 2)
            self.prepared[name] = (access, shape)
            self.done()
        elif word == b"DEALLOC":
            self.prepared.pop(rest, None)
            self.done()
        elif word in (b"STATUS", b"PAUSE", b"RESUME", b"DEMOTE"):
            await self.control(word, rest)
        elif word == b"READ":
            await self.read(request, text, rest)
        elif word == b"WRITE":
            await self.write(request, text)
        elif word == b"EXECUTE":
            name, _, arguments = rest.partition(b" ")
            if name not in self.prepared:
                self.error(b"NOSTMT")
            elif self.prepared[name][0] == b"WRITE":
                await self.write(request, text)
            else:
                await self.read(request, text, arguments)
        else:
            self.error(b"MALFORMED")

    async def control(self, word, rest):
        server = self.server
        if word == b"STATUS" and not await server.use_slot(1):
            self.error(b"BUSY")
            return
        if word == b"PAUSE" and int(rest) > server.received[0]:
            if not server.is_primary:
                server.paused = int(rest)
        if word == b"RESUME":
            server.paused = 0
        role = b"primary" if server.is_primary else b"replica"
        term, number = server.received
        row = b"%s %d %d.%d %d 0 0 %d" % (
            role,
            term,
            term,
            number,
            server.paused,
            len(server.sessions),
        )
        self.done([row])

    def lost_lead(self):
        plain = self.writes is not None and not self.is_read
        return plain and not self.server.is_primary

    async def read(self, request, text, item):
        if self.lost_lead():
            self.error(b"READONLY")
        elif not await self.server.use_slot():
            self.error(b"BUSY")
        else:
            rows = self.server.rows(item)
            receipt = self.run(request, text)
            await self.server.awake.wait()
            # The rows of a long answer leave in parts, as they are found.
            while len(rows) > ROWS_PER_PART:
                part, rows = rows[:ROWS_PER_PART], rows[ROWS_PER_PART:]
                self.send(*(b"DATAROW " + row for row in part))
                await asyncio.sleep(PART_INTERVAL_S)
            self.done(rows, receipt)

    async def write(self, request, text):
        server = self.server
        if not server.is_primary or self.is_read and self.writes is not None:
            self.error(b"READONLY")
        elif not await server.use_slot():
            self.error(b"BUSY")
        elif self.writes is not None:
            self.writes.append((request, text))
            self.done((), self.run(request, text))
        elif not await server.commit([(request, text)]):
            self.error(b"READONLY")
        else:
            self.done((), self.run(request, text))

    async def commit(self, request, text):
        writes, self.writes = self.writes, None
        failed, self.is_failed = self.is_failed, False
        if writes is None or failed:
            self.error(b"ABORTED")
            return
        if not await self.server.use_slot():
            self.error(b"BUSY")
        elif writes and not await self.server.commit(writes):
            self.error(b"READONLY")
        else:
            self.done((), self.run(request, text))
