"""One connection to a database server of the platform."""

import asyncio

from waxwinglift.process import Registry

# Methods that run a statement, by its first word.
_HANDLERS = Registry()
_handles = _HANDLERS.register


class ServerSession:
    """Handles one connection, one line at a time."""

    def __init__(self, server, reader, writer):
        self.server = server
        self.settings = {}
        self.prepared = {}
        # Writes of the open transaction, None if none is open.
        self.writes = None
        self.is_read_only = False
        self.is_failed = False
        # Name that the client gave at the start.
        self.client = b""
        self._reader = reader
        self._writer = writer

    def abort(self):
        """End the connection at once."""
        self.writes = None
        self._writer.transport.abort()

    async def serve(self):
        """Handle lines until the connection ends."""
        line = await self._read()
        word, _, rest = line.partition(b" ")
        if word != b"STARTUP":
            self._send(b"ERROR MALFORMED start first")
            return
        if not await self._start_session(rest):
            return
        while True:
            line = await self._read()
            word, _, rest = line.partition(b" ")
            if word != b"QUERY":
                return
            await self._query(rest)

    async def _read(self):
        line = await self._reader.readuntil(b"\r\n")
        while self.server.state.value == "dark":
            await asyncio.sleep(0.01)
        return line.removesuffix(b"\r\n")

    def _send(self, *lines):
        if self.server.state.value != "dark":
            self._writer.write(b"".join(line + b"\r\n" for line in lines))

    async def _start_session(self, rest):
        server = self.server
        fields = rest.split(b" ")
        self.client = fields[1] if len(fields) > 1 else b""
        expected = fields[2].decode() if len(fields) > 2 else server.name
        if expected != server.name:
            self._send(b"ERROR MISROUTED " + server.name.encode())
            return False
        if len(server.sessions) > server.settings.connection_limit_count:
            self._send(b"ERROR TOOMANY " + server.name.encode())
            return False
        if not await server.use_slot(server.settings.opening_ms):
            self._send(b"ERROR BUSY " + server.name.encode())
            return False
        self._send_ready()
        return True

    async def _query(self, rest):
        request, _, text = rest.partition(b" ")
        self.server.clients.append((request, self.client))
        word, _, arguments = text.partition(b" ")
        required_position = None
        if word == b"AFTER":
            field, _, text = arguments.partition(b" ")
            term, _, number = field.partition(b".")
            required_position = (int(term), int(number))
            word, _, arguments = text.partition(b" ")
        if required_position is not None and not self.server.log.contains(
            required_position
        ):
            self._send_error(b"LAGGING")
        elif word not in _HANDLERS:
            self._send_error(b"MALFORMED")
        else:
            await _HANDLERS[word](self, request, arguments)
        self._send_ready()

    def _send_ready(self):
        state = b"I"
        if self.writes is not None:
            state = b"E" if self.is_failed else b"T"
        self._send(b"READY %s %d.%d" % (state, *self.server.log.applied))

    def _send_error(self, code):
        if self.writes is not None and code != b"BUSY":
            self.is_failed = True
        self._send(b"ERROR %s %s" % (code, self.server.name.encode()))

    def _send_result(self, receipt=b"-", rows=()):
        rows = [b"DATAROW " + row for row in rows]
        self._send(*rows, b"COMPLETE " + receipt)

    def _make_receipt(self, request):
        number = next(self.server.receipt_numbers)
        return b"%s.%d.%s" % (self.server.name.encode(), number, request)

    async def _use_slot(self):
        if await self.server.use_slot(self.server.settings.work_ms):
            return True
        self._send_error(b"BUSY")
        return False

    @_handles(b"BEGIN")
    async def _begin(self, request, arguments):
        if arguments != b"READ" and not self.server.is_primary:
            self._send_error(b"READONLY")
            return
        if self.writes is None:
            self.writes = []
            self.is_read_only = arguments == b"READ"
            self.is_failed = False
        self._send_result()

    @_handles(b"ROLLBACK")
    async def _roll_back(self, request, arguments):
        self.writes = None
        self._send_result()

    @_handles(b"COMMIT")
    async def _commit(self, request, arguments):
        writes, self.writes = self.writes, None
        if writes is None or self.is_failed:
            self._send_result()
            return
        if not await self._use_slot():
            return
        if writes and not await self.server.group.commit(self.server, writes):
            self._send_error(b"READONLY")
            return
        self._send_result(self._make_receipt(request))

    @_handles(b"READ")
    async def _read_item(self, request, arguments):
        if not self._can_run() or not await self._use_slot():
            return
        value = self.server.log.value(arguments)
        self._send_result(self._make_receipt(request), [value])

    @_handles(b"WRITE")
    async def _write_item(self, request, arguments):
        item, _, data = arguments.partition(b" ")
        await self._write(request, item, data)

    @_handles(b"EXECUTE")
    async def _execute(self, request, arguments):
        name, _, rest = arguments.partition(b" ")
        if name not in self.prepared:
            self._send_error(b"NOSTMT")
            return
        if self.prepared[name]:
            item, _, data = rest.partition(b" ")
            await self._write(request, item, data)
        else:
            await self._read_item(request, rest)

    @_handles(b"SET")
    async def _set(self, request, arguments):
        name, _, value = arguments.partition(b" ")
        self.settings[name] = value
        self._send_result()

    @_handles(b"RESET")
    async def _reset(self, request, arguments):
        self.settings.clear()
        self.prepared.clear()
        self._send_result()

    @_handles(b"PREPARE")
    async def _prepare(self, request, arguments):
        name, access, _ = arguments.split(b" ", 2)
        self.prepared[name] = access == b"WRITE"
        self._send_result()

    @_handles(b"STATUS")
    async def _status(self, request, arguments):
        if await self._use_slot():
            self._send_result(rows=[self._status_row()])

    @_handles(b"PAUSE")
    async def _pause(self, request, arguments):
        term = int(arguments)
        if term > self.server.group.term and not self.server.is_primary:
            self.server.fenced_term = term
        self._send_result(rows=[self._status_row()])

    @_handles(b"RESUME")
    async def _resume(self, request, arguments):
        self.server.fenced_term = 0
        self._send_result(rows=[self._status_row()])

    def _can_run(self):
        """Return whether a statement may run; send an error if it may not."""
        is_read_write = self.writes is not None and not self.is_read_only
        if is_read_write and not self.server.is_primary:
            self._send_error(b"READONLY")
            return False
        return True

    async def _write(self, request, item, data):
        if not self.server.is_primary or self.is_read_only:
            self._send_error(b"READONLY")
            return
        if not await self._use_slot():
            return
        write = (item, data, request)
        if self.writes is not None:
            self.writes.append(write)
        elif not await self.server.group.commit(self.server, [write]):
            self._send_error(b"READONLY")
            return
        self._send_result(self._make_receipt(request))

    def _status_row(self):
        # Role, term, position, fenced term, two unused values and the number
        # of sessions.
        server = self.server
        role = b"primary" if server.is_primary else b"replica"
        return b"%s %d %d.%d %d 0 0 %d" % (
            role,
            server.group.term,
            *server.log.received,
            server.fenced_term,
            len(server.sessions),
        )
