"""Framing of PostgreSQL messages without decoding their payload.

A proxy forwards results undecoded; it reads only the type and length of each
message.  ``ReplyFilter`` matches the answers to one packet with its steps, so
that answers to the proxy's own statements are separated from those that the
caller gets.
"""

import dataclasses
import enum
import struct

from pygwire import PygwireError
from pygwire.messages import ErrorResponse

_HEADER = struct.Struct("!cI")
_HEADER_BYTES = 5
_LENGTH = struct.Struct("!i")
_COLUMN_COUNT = struct.Struct("!H")
# Messages that a server may send at any time.
_ASYNCHRONOUS = frozenset({b"N", b"S", b"A"})
_COPY = frozenset({b"G", b"H", b"W"})
# Errors of these severities end the endpoint's connection.
_ENDING_SEVERITIES = frozenset({"FATAL", "PANIC"})


class WireError(Exception):
    """A peer sent bytes that are not valid PostgreSQL messages."""


class FrameSplitter:
    """Splits a byte stream into messages.

    Parameters
    ----------
    limit_bytes : int
        Largest accepted message.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._parts: list[bytes] = []
        self._parts_bytes = 0
        self._needed_bytes = 0

    @property
    def pending_bytes(self) -> int:
        """Bytes of the incomplete message."""
        return self._parts_bytes

    def clear(self):
        """Discard the incomplete message."""
        self._parts, self._parts_bytes, self._needed_bytes = [], 0, 0

    def feed(self, data: bytes) -> list[tuple[bytes, bytes]]:
        """Return (type, whole message) of each message that is complete.

        Raises
        ------
        WireError
            The length of a message is out of range.
        """
        self._parts.append(data)
        self._parts_bytes += len(data)
        # Joining the parts of a large message only once takes linear time.
        if self._parts_bytes < self._needed_bytes:
            return []
        is_single = len(self._parts) == 1
        buffer = data if is_single else b"".join(self._parts)
        # A large message is held once while it is split.
        self._parts = []
        return self._split(buffer)

    def _split(self, buffer):
        frames = []
        start = 0
        self._needed_bytes = 0
        while len(buffer) - start >= _HEADER_BYTES:
            kind, length = _HEADER.unpack_from(buffer, start)
            if not 4 <= length <= self._limit_bytes:
                raise WireError(
                    f"message length {length} is not between 4 and "
                    f"{self._limit_bytes}"
                )
            end = start + 1 + length
            if end > len(buffer):
                self._needed_bytes = end - start
                break
            frames.append((kind, buffer[start:end]))
            start = end
        rest = buffer[start:]
        self._parts = [rest] if rest else []
        self._parts_bytes = len(rest)
        return frames


class StepKind(enum.Enum):
    """Kinds of messages that get an answer."""

    QUERY = "query"
    SYNC = "sync"
    PARSE = "parse"
    BIND = "bind"
    CLOSE = "close"
    DESCRIBE = "describe"
    EXECUTE = "execute"


# Types of the message that completes the answer to each kind.
_FINAL_TYPES = {
    StepKind.QUERY: frozenset({b"Z"}),
    StepKind.SYNC: frozenset({b"Z"}),
    StepKind.PARSE: frozenset({b"1"}),
    StepKind.BIND: frozenset({b"2"}),
    StepKind.CLOSE: frozenset({b"3"}),
    StepKind.DESCRIBE: frozenset({b"T", b"n"}),
    StepKind.EXECUTE: frozenset({b"C", b"I", b"s"}),
}
# Other types that may precede it; for Query, any type may.
_PRECEDING_TYPES = {
    StepKind.SYNC: frozenset({b"E"}),
    StepKind.PARSE: frozenset({b"E"}),
    StepKind.BIND: frozenset({b"E"}),
    StepKind.CLOSE: frozenset({b"E"}),
    StepKind.DESCRIBE: frozenset({b"E", b"t"}),
    StepKind.EXECUTE: frozenset({b"E", b"D"}) | _COPY,
}
_STEP_KINDS = {
    b"Q": StepKind.QUERY,
    b"S": StepKind.SYNC,
    b"P": StepKind.PARSE,
    b"B": StepKind.BIND,
    b"C": StepKind.CLOSE,
    b"D": StepKind.DESCRIBE,
    b"E": StepKind.EXECUTE,
}


@dataclasses.dataclass(slots=True)
class PacketStep:
    """One message of a packet and the answer received so far.

    ``prepared_name`` is the statement name of a Parse, empty for other
    messages.  With ``forwards_error`` an error is forwarded although other
    answers are not.  ``tag`` is the last command tag, ``error`` the first
    error and ``status`` the transaction status from ReadyForQuery.  ``rows``
    holds the rows, only for steps that are not forwarded.
    """

    kind: StepKind
    is_forwarded: bool
    prepared_name: str = ""
    tag: str = ""
    error: ErrorResponse | None = None
    rows: list[list[str | None]] = dataclasses.field(default_factory=list)
    status: str = ""
    is_done: bool = False
    forwards_error: bool = False


def step_of(kind: bytes, prepared_name: str = "") -> PacketStep | None:
    """Return the forwarded step of a caller's message, None for Flush."""
    step_kind = _STEP_KINDS.get(kind)
    return (
        None
        if step_kind is None
        else PacketStep(step_kind, True, prepared_name)
    )


class ReplyFilter:
    """Matches answers with steps and returns the bytes to forward.

    ReadyForQuery is never forwarded, because the caller's proxy writes its
    own.  ``is_copy`` is true once the endpoint has started a COPY.
    """

    def __init__(self, steps: list[PacketStep], limit_bytes: int):
        self._steps = steps
        self._next = 0
        self._splitter = FrameSplitter(limit_bytes)
        self.is_copy = False

    @property
    def is_done(self) -> bool:
        """Whether each step has its complete answer."""
        return self._next >= len(self._steps)

    def feed(self, data: bytes) -> bytes:
        """Match bytes from the endpoint; return those for the caller.

        Raises
        ------
        WireError
            The bytes are not valid answers to the steps.
        """
        try:
            frames = self._splitter.feed(data)
            forwarded = [
                f for kind, f in frames if self._match_answer(kind, f)
            ]
        except (struct.error, ValueError, IndexError, PygwireError) as error:
            raise WireError(f"malformed answer: {error}") from error
        return b"".join(forwarded)

    def _match_answer(self, kind, frame):
        """Match a message with its step; return whether to forward it."""
        if self.is_done:
            if kind in _ASYNCHRONOUS:
                return False
            raise WireError(f"the endpoint sent {kind!r} after all answers")
        step = self._steps[self._next]
        if kind in _ASYNCHRONOUS:
            return step.is_forwarded and kind != b"A"
        is_final = kind in _FINAL_TYPES[step.kind]
        if not is_final and kind not in _PRECEDING_TYPES.get(
            step.kind, (kind,)
        ):
            raise WireError(f"unexpected answer {kind!r} to {step.kind.value}")
        self.is_copy = self.is_copy or kind in _COPY
        self._record_answer(step, kind, frame)
        if kind == b"E" and step.kind is not StepKind.QUERY:
            self._skip_to_sync()
        elif is_final:
            self._finish(step)
        if kind == b"E" and step.forwards_error:
            return True
        return step.is_forwarded and kind != b"Z"

    def _record_answer(self, step, kind, frame):
        if kind == b"E":
            self._record_error(step, frame)
        elif kind == b"C":
            step.tag = frame[_HEADER_BYTES:-1].decode("utf-8", "replace")
        elif kind == b"Z":
            step.status = chr(frame[_HEADER_BYTES])
        elif kind == b"D" and not step.is_forwarded:
            step.rows.append(read_row(frame))

    def _record_error(self, step, frame):
        error = ErrorResponse.decode(memoryview(frame)[_HEADER_BYTES:])
        # Such an error ends the endpoint's connection, not the caller's, and
        # leaves the outcome unknown, so it must not count as an answer.
        if error.fields.get("V", error.severity) in _ENDING_SEVERITIES:
            raise WireError(error.message)
        step.error = step.error or error

    def _finish(self, step):
        step.is_done = True
        self._next += 1

    def _skip_to_sync(self):
        # After an error the server ignores messages up to Sync.
        while self._steps[self._next].kind is not StepKind.SYNC:
            self._next += 1
            if self.is_done:
                raise WireError(
                    "the endpoint sent an error for a packet without a Sync"
                )


def read_row(frame: bytes) -> list[str | None]:
    """Return the columns of a DataRow message as text."""
    (count,) = _COLUMN_COUNT.unpack_from(frame, _HEADER_BYTES)
    offset = _HEADER_BYTES + 2
    columns = []
    for _ in range(count):
        (length,) = _LENGTH.unpack_from(frame, offset)
        offset += 4
        if length < 0:
            columns.append(None)
            continue
        columns.append(frame[offset : offset + length].decode())
        offset += length
    return columns


def parse_lsn(text: str) -> int:
    """Return the byte offset of an LSN such as ``0/16B3740``."""
    high, _, low = text.partition("/")
    return (int(high, 16) << 32) | int(low, 16)
