"""Line-based wire format of the platform: lines, words and fields."""

import asyncio
import collections
import enum

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._unread_close import close_transport
from waxwinglift.platform._json import UINT64_MAX
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term

LINE_LIMIT_BYTES = 2**20
# Field without a value: no position, no receipt or no request id.
EMPTY_FIELD = b"-"
# The only end of a line: CR or LF alone are data.
_LINE_END = b"\r\n"
# Number of unread lines above which reading from the peer is paused.
_UNREAD_LIMIT_COUNT = 64


class LineKind(enum.Enum):
    """First word of a line."""

    STARTUP = b"STARTUP"
    QUERY = b"QUERY"
    TERMINATE = b"TERMINATE"
    READY = b"READY"
    ROW = b"DATAROW"
    COMPLETE = b"COMPLETE"
    ERROR = b"ERROR"


# Meaning of the error codes that servers send.
ENDPOINT_ERRORS = {
    b"BUSY": EndpointErrorCode.OVERLOADED,
    b"LAGGING": EndpointErrorCode.BEHIND,
    b"READONLY": EndpointErrorCode.READ_ONLY,
    b"NOSTMT": EndpointErrorCode.UNKNOWN_STATEMENT,
    b"MISROUTED": EndpointErrorCode.WRONG_ENDPOINT,
    b"TOOMANY": EndpointErrorCode.CONNECTION_LIMIT,
    b"MALFORMED": EndpointErrorCode.MALFORMED,
    b"FAILED": EndpointErrorCode.FAILED,
    b"TIMEOUT": EndpointErrorCode.TIMED_OUT,
}
ERROR_CODES = {code: word for word, code in ENDPOINT_ERRORS.items()}
# All other errors are sent to callers as FAILED, because a caller can only try
# again after any of them.
ERROR_CODES[EndpointErrorCode.OTHER] = b"FAILED"


class LineTooLong(Exception):
    """A line exceeds the size limit and was skipped."""


class LineProtocol(asyncio.Protocol):
    """Splits received bytes into lines and queues them for one reader.

    ``on_ended`` is called once when the connection has ended.
    """

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.is_ended = False
        self.on_ended = None
        self._buffer = bytearray()
        self._lines = collections.deque()
        self._waiter: asyncio.Future | None = None
        self._is_skipping = False
        # Too many unread lines, or a limit on the bytes held for callers.
        self._is_full = False
        self._is_reading_held = False
        self._is_reading_paused = False
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, exc):
        """End the connection; complete lines can still be read."""
        self._end()

    def eof_received(self):
        """Treat a half-closed connection as ended."""
        self._end()
        return False

    def pause_writing(self):
        """Make `drain` wait, since the peer does not read."""
        self._writable.clear()

    def resume_writing(self):
        """Let `drain` continue."""
        self._writable.set()

    def data_received(self, data):
        """Split received bytes into lines."""
        buffer = self._buffer
        # The first half of an end may have arrived before.
        searched = max(0, len(buffer) - 1)
        buffer += data
        start = 0
        while True:
            end = buffer.find(_LINE_END, searched)
            if end < 0:
                break
            self._append_line(bytes(buffer[start:end]))
            start = searched = end + len(_LINE_END)
        del buffer[:start]
        if len(buffer) > LINE_LIMIT_BYTES:
            self._is_skipping = True
            del buffer[:-1]
        self._handle_lines()

    def _handle_lines(self):
        """Pass new lines to the reader; pause the peer if it is too fast.

        A subclass that overrides this takes the lines from the queue itself;
        only `read_line` resumes reading.
        """
        if len(self._lines) > _UNREAD_LIMIT_COUNT:
            self._is_full = True
            self._update_reading()
        self._wake()

    @property
    def has_unread_line(self) -> bool:
        """Whether a complete line has arrived that was not read yet."""
        return bool(self._lines)

    async def read_line(self) -> bytes | None:
        """Return the next line without its end, None after the last one.

        Raises
        ------
        LineTooLong
            The line was skipped.
        """
        while not self._lines:
            if self.is_ended:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        line = self._lines.popleft()
        if self._is_full and not self._lines:
            self._is_full = False
            self._update_reading()
        if line is None:
            raise LineTooLong
        return line

    async def drain(self):
        """Wait while writing is paused, unless the connection has ended."""
        if not self._writable.is_set() and not self.is_ended:
            await self._writable.wait()

    def close(self):
        """Close once all written bytes have been sent."""
        if self.transport is not None:
            close_transport(self.transport)

    def hold_reading(self, is_held: bool):
        """Pause reading from the peer, or allow it again."""
        self._is_reading_held = is_held
        self._update_reading()

    def abort(self):
        """Close now and discard unread lines and unsent bytes."""
        self._buffer.clear()
        self._lines.clear()
        if self.transport is not None:
            self.transport.abort()
        self._end()

    def _update_reading(self):
        is_paused = self._is_full or self._is_reading_held
        if is_paused == self._is_reading_paused:
            return
        self._is_reading_paused = is_paused
        if is_paused:
            self.transport.pause_reading()
        elif not self.is_ended:
            self.transport.resume_reading()

    def _append_line(self, line):
        if self._is_skipping or len(line) > LINE_LIMIT_BYTES:
            self._is_skipping = False
            self._lines.append(None)
            return
        self._lines.append(line)

    def _wake(self):
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _end(self):
        if self.is_ended:
            return
        self.is_ended = True
        self._writable.set()
        self._wake()
        if self.on_ended is not None:
            self.on_ended()


def split_word(line: bytes) -> tuple[bytes, bytes]:
    """Return the first word of a line and the rest."""
    word, _, rest = line.partition(b" ")
    return word, rest


def encode_position(position: Position | None) -> bytes:
    """Return the field of a position."""
    if position is None:
        return EMPTY_FIELD
    return b"%d.%d" % (position.term, position.lsn)


def decode_position(field: bytes) -> Position | None:
    """Return the position of a field, None for an empty one.

    Raises
    ------
    ValueError
        The field is not a position.
    """
    if field == EMPTY_FIELD:
        return None
    term, _, number = field.partition(b".")
    return Position(Term(decode_number(term)), Lsn(decode_number(number)))


def decode_number(field: bytes) -> int:
    """Return the number of a field of decimal digits.

    Raises
    ------
    ValueError
        The field is not such a number, or has more than 64 bits.
    """
    # Unlike ``int``, refuses signs, blanks and underscores.
    if not field.isdigit():
        raise ValueError("expected a number in decimal digits")
    number = int(field)
    if number > UINT64_MAX:
        raise ValueError("a number is larger than 64 bits")
    return number


def encode_ready(status: TransactionStatus, position) -> bytes:
    """Return the line that ends an answer."""
    state = status.value.encode()
    return b"READY %s %s\r\n" % (state, encode_position(position))
