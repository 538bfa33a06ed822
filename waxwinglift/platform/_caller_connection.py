"""Connections from the platform's callers."""

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._statement_protocols import CallerEnd
from waxwinglift.connection._statement_protocols import CallerFault
from waxwinglift.connection._statement_protocols import CallerMessage
from waxwinglift.connection._statement_protocols import InvalidCallerMessage
from waxwinglift.connection._statement_protocols import CallerStartup
from waxwinglift.platform import _lines
from waxwinglift.process import Registry
from waxwinglift.process._caller_guard import CallerGuard
from waxwinglift.process._caller_limits import CallerKey
from waxwinglift.process._caller_limits import HeldBytes
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._statements import PreparedShape
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version import PoolName
from waxwinglift.version._workspaces import digest_key

# Error code on the wire for each failure.
_FAILURE_CODES = {
    FailureCode.UNAVAILABLE: b"BUSY",
    FailureCode.REJECTED: b"BUSY",
    FailureCode.OVERLOADED: b"BUSY",
    FailureCode.SHUTTING_DOWN: b"BUSY",
    FailureCode.NOT_OWNER: b"BUSY",
    FailureCode.BEHIND: b"LAGGING",
    FailureCode.FLOOR_LOST: b"LAGGING",
    FailureCode.ABORTED: b"ABORTED",
    FailureCode.CANCELLED: b"ABORTED",
    FailureCode.UNKNOWN_POOL: b"NODB",
    FailureCode.UNAUTHENTICATED: b"NOAUTH",
    FailureCode.OVER_QUOTA: b"TOOMANY",
    FailureCode.BAD_MESSAGE: b"MALFORMED",
    FailureCode.FAILED_BLOCK: b"MALFORMED",
    FailureCode.TOO_LARGE: b"TOOLARGE",
    FailureCode.UNKNOWN_STATEMENT: b"NOSTMT",
    FailureCode.TIMED_OUT: b"TIMEOUT",
    FailureCode.ENDPOINT_FAILED: b"FAILED",
    FailureCode.OUTCOME_UNKNOWN: b"INDOUBT",
}
# Code of failures whose outcome is unknown or that have no code of their own.
_DEFAULT_CODE = b"INDOUBT"
# Codes after which the statement may have run; all others say that it has not.
_UNCERTAIN_CODES = frozenset({b"TIMEOUT", b"FAILED", _DEFAULT_CODE})

# Memory of a line object in addition to its bytes, which matters for a caller
# that sends very short lines.
_LINE_OVERHEAD_BYTES = 64

_IS_WRITE_BY_ACCESS = {b"READ": False, b"WRITE": True}

# Functions ``(request, text, rest) -> Statement`` by the first word of a
# statement; they raise ValueError if it is malformed.  ``request`` is the
# request id, ``text`` the whole statement, ``rest`` the part after its first
# word.
_PARSERS = Registry()
_parses = _PARSERS.register


def _split_fields(rest, count):
    fields = rest.split(b" ", count - 1)
    if len(fields) != count or not all(fields):
        raise ValueError(f"expected {count} fields that are not empty")
    return fields


@_parses(b"BEGIN")
def _parse_begin(request, text, rest):
    if rest == b"READ":
        return Statement(StatementVerb.BEGIN_READ, request, text)
    if rest:
        raise ValueError("BEGIN takes no argument other than READ")
    return Statement(StatementVerb.BEGIN, request, text)


@_parses(b"COMMIT")
def _parse_commit(request, text, rest):
    if rest:
        raise ValueError("COMMIT takes no argument")
    return Statement(StatementVerb.COMMIT, request, text)


@_parses(b"ROLLBACK")
def _parse_rollback(request, text, rest):
    if rest:
        raise ValueError("ROLLBACK takes no argument")
    return Statement(StatementVerb.ROLLBACK, request, text)


@_parses(b"READ")
def _parse_read(request, text, rest):
    (item,) = _split_fields(rest, 1)
    return Statement(StatementVerb.READ, request, text, arguments=item)


@_parses(b"WRITE")
def _parse_write(request, text, rest):
    _split_fields(rest, 2)
    return Statement(StatementVerb.WRITE, request, text, arguments=rest)


@_parses(b"SET")
def _parse_set(request, text, rest):
    name, value = _split_fields(rest, 2)
    return Statement(StatementVerb.SET, request, text, name, value)


@_parses(b"PREPARE")
def _parse_prepare(request, text, rest):
    name, access, shape = _split_fields(rest, 3)
    if access not in _IS_WRITE_BY_ACCESS:
        raise ValueError("PREPARE takes READ or WRITE after the name")
    prepared = PreparedShape(_IS_WRITE_BY_ACCESS[access], shape)
    return Statement(
        StatementVerb.PREPARE, request, text, name, shape=prepared
    )


@_parses(b"EXECUTE")
def _parse_execute(request, text, rest):
    name, arguments = _split_fields(rest, 2)
    return Statement(StatementVerb.EXECUTE, request, text, name, arguments)


@_parses(b"DEALLOC")
def _parse_deallocate(request, text, rest):
    (name,) = _split_fields(rest, 1)
    return Statement(StatementVerb.DEALLOCATE, request, text, name)


def decode_message(line: bytes) -> CallerMessage:
    """Return the message of a caller's line."""
    word, rest = _lines.split_word(line)
    try:
        if word == _lines.LineKind.QUERY.value:
            return _decode_query(rest)
        if word == _lines.LineKind.STARTUP.value:
            pool, caller = _split_fields(rest, 2)
            return CallerStartup(PoolName(pool.decode()), digest_key(caller))
        if word == _lines.LineKind.TERMINATE.value:
            return CallerEnd.LEFT
        raise ValueError("expected QUERY, STARTUP or TERMINATE")
    except ValueError as error:
        return InvalidCallerMessage(CallerFault.MALFORMED, str(error))


def _decode_query(rest):
    request, text = _split_fields(rest, 2)
    if request == _lines.EMPTY_FIELD:
        raise ValueError("the request id is missing")
    word, arguments = _lines.split_word(text)
    parse = _PARSERS.get(word)
    if parse is None:
        raise ValueError("unknown statement")
    return parse(request, text, arguments)


class CallerConnection(_lines.LineProtocol):
    """Connection of one caller.

    Parameters
    ----------
    on_connected : callable
        Called with this connection once the caller has connected.
    guard : CallerGuard
        Counts what the connection holds.
    """

    def __init__(self, on_connected, guard: CallerGuard):
        super().__init__()
        self.peer = ""
        self._on_connected = on_connected
        self._guard = guard
        self._key: CallerKey | None = None
        self._lines_count = 0
        self._unread_bytes = 0
        # Size of the message that is being served.
        self._served_bytes = 0

    def connection_made(self, transport):
        """Store the caller's host and start to serve the caller."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.peer = peer[0] if peer else ""
        self._key = self._guard.add(self)
        if not self.is_ended:
            self._on_connected(self)

    def connection_lost(self, exc):
        """End the connection; what it holds no longer counts."""
        super().connection_lost(exc)
        self._guard.remove(self._key)

    def data_received(self, data):
        """Split received bytes into lines and count them."""
        super().data_received(data)
        self._guard.update(self._key)

    def held_bytes(self) -> HeldBytes:
        """Return what the connection holds now."""
        return HeldBytes(
            len(self._buffer),
            self._unread_bytes + self._served_bytes,
            self.transport.get_write_buffer_size(),
            self._lines_count,
        )

    async def receive(self) -> CallerMessage:
        """Return the next message, ``CallerEnd.LEFT`` after the last one."""
        self._set_served(0)
        try:
            line = await self.read_line()
        except _lines.LineTooLong:
            self._unread_bytes -= _line_bytes(None)
            return InvalidCallerMessage(
                CallerFault.TOO_LARGE, "a line exceeds 1 MiB"
            )
        if line is None:
            return CallerEnd.LEFT
        self._unread_bytes -= _line_bytes(line)
        self._set_served(len(line))
        return decode_message(line)

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its side."""
        return self.is_ended

    def has_unread_message(self) -> bool:
        """Return whether a line has arrived that `receive` has not read."""
        return self.has_unread_line

    def set_disconnect_callback(self, listener):
        """Call ``listener`` once when the caller disconnects."""
        self.on_ended = listener

    async def send_ready(self, status: TransactionStatus, position):
        """Send only the line with the session state, as after a STARTUP."""
        self._guard.start(self._key)
        await self._send(_lines.encode_ready(status, position))

    async def send_answer(self, answer: StatementAnswer, status, position):
        """Send an endpoint's answer, then the session state."""
        await self._send(_encode_answer(answer, status, position))

    async def send_failure(self, failure: Failure, status):
        """Send a failure, then the state unless the session ends."""
        data = encode_failure(failure)
        if status is not None:
            data += _lines.encode_ready(status, None)
        await self._send(data)

    def notify_end(self, failure: Failure):
        """Send a failure that ends the session, outside of an answer."""
        if not self.is_ended:
            self.transport.write(encode_failure(failure))

    async def _send(self, data):
        if self.is_ended:
            return
        self.transport.write(data)
        # The unsent part is in the transport's buffer now.
        del data
        self._guard.update(self._key)
        await self.drain()

    def _append_line(self, line):
        super()._append_line(line)
        self._lines_count += 1
        self._unread_bytes += _line_bytes(self._lines[-1])

    def _set_served(self, size_bytes):
        if size_bytes != self._served_bytes:
            self._served_bytes = size_bytes
            self._guard.update(self._key)


def _line_bytes(line):
    """Return the memory of a line; None is one that was skipped."""
    return _LINE_OVERHEAD_BYTES + len(line or b"")


def _encode_answer(answer, status, position):
    parts = [b"DATAROW %s\r\n" % row for row in answer.rows]
    if answer.error is None:
        receipt = answer.receipt or _lines.EMPTY_FIELD
        parts.append(b"COMPLETE %s\r\n" % receipt)
    else:
        error_code = _lines.ERROR_CODES[answer.error.code]
        parts.append(b"ERROR %s %s\r\n" % (error_code, answer.error.text))
    parts.append(_lines.encode_ready(status, position))
    return b"".join(parts)


def encode_failure(failure: Failure) -> bytes:
    """Return the line of a failure.

    A code that says that the statement has not run is used only if that is
    certain.
    """
    error_code = _FAILURE_CODES.get(failure.code, _DEFAULT_CODE)
    claims_not_run = error_code not in _UNCERTAIN_CODES
    if claims_not_run and failure.verdict is not Verdict.NOT_RUN:
        error_code = _DEFAULT_CODE
    text = failure.message
    if failure.retry_after_ms is not None:
        text = f"{text}; retry after {failure.retry_after_ms} ms"
    encoded = text.encode("ascii", "replace").replace(b"\n", b" ")
    return b"ERROR %s %s\r\n" % (error_code, encoded)
