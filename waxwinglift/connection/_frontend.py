"""PostgreSQL connection of a caller: start-up, authentication, messages."""

import asyncio
import dataclasses
import hmac
import struct

import pygwire
from pygwire import PygwireError
from pygwire.messages import AuthenticationCleartextPassword
from pygwire.messages import AuthenticationOk
from pygwire.messages import BackendKeyData
from pygwire.messages import CancelRequest
from pygwire.messages import ErrorResponse
from pygwire.messages import NegotiateProtocolVersion
from pygwire.messages import ParameterStatus
from pygwire.messages import PasswordMessage
from pygwire.messages import ReadyForQuery
from pygwire.messages import StartupMessage

from waxwinglift.connection._types import TransactionStatus
from waxwinglift.connection._wire import FrameSplitter
from waxwinglift.connection._wire import WireError
from waxwinglift.process._caller_limits import HeldBytes
from waxwinglift.request import Failure

_INT32 = struct.Struct("!I")
_HEADER_BYTES = 5
_READ_BYTES = 2**16
_FLUSH_THRESHOLD_BYTES = 2**15
# PostgreSQL's own limits for these messages.
_STARTUP_LIMIT_BYTES = 10_000
_PASSWORD_LIMIT_BYTES = 65_535
_VERSION_3 = 3 << 16
# SSLRequest and GSSENCRequest; both are answered with N.
_ENCRYPTION_REQUESTS = frozenset({80877103, 80877104})
_CANCEL_REQUEST = 80877102
_READY = {
    status: ReadyForQuery(
        status=pygwire.TransactionStatus(status.value)
    ).to_wire()
    for status in TransactionStatus
}


def encode_failure(failure: Failure, severity: str = "ERROR") -> bytes:
    """Return the ErrorResponse of a failure, with its verdict as detail."""
    fields = {
        "S": severity,
        "V": severity,
        "C": failure.code.value,
        "M": failure.message,
        "D": f"verdict={failure.verdict.value}",
    }
    return ErrorResponse(fields=fields).to_wire()


def encode_ready(status: TransactionStatus) -> bytes:
    """Return the ReadyForQuery message of a transaction status."""
    return _READY[status]


def encode_parameter(name: str, value: str) -> bytes:
    """Return the ParameterStatus message of a parameter."""
    return ParameterStatus(name=name, value=value).to_wire()


class CallerConnection:
    """Messages from and to one caller.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    limit_bytes : int
        Largest accepted message.
    write_buffer_bytes : int
        Unsent answer bytes above which ``write`` waits for a slow caller.
    guard : CallerGuard
        Counts what the connection holds.
    """

    def __init__(self, reader, writer, limit_bytes, write_buffer_bytes, guard):
        self._reader = reader
        self._writer = writer
        self._splitter = FrameSplitter(limit_bytes)
        self._write_buffer_bytes = write_buffer_bytes
        self._parts: list[bytes] = []
        self._parts_bytes = 0
        # Returns the size of the messages of an incomplete exchange.
        self.collected_bytes = lambda: 0
        self._frames_bytes = 0
        self._frames_count = 0
        self._guard = guard
        self._key = guard.add(self)

    def held_bytes(self) -> HeldBytes:
        """Return what the connection holds now."""
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        return HeldBytes(
            self._splitter.pending_bytes,
            self._frames_bytes + self.collected_bytes(),
            unsent_bytes + self._parts_bytes,
            self._frames_count,
        )

    def hold_reading(self, is_held: bool):
        """Do nothing: nothing is read before the last answer is complete."""

    def abort(self):
        """Close now and discard an incomplete message and unsent bytes."""
        self._splitter.clear()
        self._writer.transport.abort()

    def stop_counting(self):
        """Record that the connection has ended."""
        self._guard.remove(self._key)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closing or closed."""
        return self._writer.is_closing()

    async def read_startup(self) -> StartupMessage | CancelRequest | None:
        """Return the start-up message, None if the caller disconnected.

        Encryption is refused, because callers reach the proxies inside the
        platform's network.

        Raises
        ------
        WireError
            The bytes are not a valid start-up message.
        """
        while True:
            payload = await self._read_startup_payload()
            if payload is None:
                return None
            (code,) = _INT32.unpack_from(payload)
            if code in _ENCRYPTION_REQUESTS:
                self._writer.write(b"N")
            elif code == _CANCEL_REQUEST:
                return _decode(CancelRequest, payload)
            elif code >> 16 != 3:
                raise WireError(
                    f"unsupported protocol version {code >> 16}."
                    f"{code & 0xFFFF}; expected 3"
                )
            else:
                return self._negotiate(_decode(StartupMessage, payload))

    async def check_password(self, expected: str) -> bool:
        """Request the clear-text password; return whether it is right.

        Raises
        ------
        WireError
            The caller sent another message.
        """
        self._writer.write(AuthenticationCleartextPassword().to_wire())
        splitter = FrameSplitter(_PASSWORD_LIMIT_BYTES)
        frames = []
        while not frames:
            data = await self._reader.read(_READ_BYTES)
            if not data:
                return False
            frames = splitter.feed(data)
        kind, frame = frames[0]
        if kind != b"p":
            raise WireError(f"expected a password message, got type {kind!r}")
        message = decode_message(PasswordMessage, frame)
        given = message.password.encode()
        return hmac.compare_digest(given, expected.encode())

    def accept(self, process_id: int, secret_key: bytes, parameters):
        """Report a successful start-up and the session's parameters."""
        key = BackendKeyData(process_id=process_id, secret_key=secret_key)
        parts = [AuthenticationOk().to_wire()]
        parts.extend(encode_parameter(*item) for item in parameters.items())
        parts.append(key.to_wire())
        parts.append(encode_ready(TransactionStatus.IDLE))
        self._writer.write(b"".join(parts))
        self._guard.start(self._key)

    async def read_frames(self) -> list[tuple[bytes, bytes]] | None:
        """Return the complete messages that arrived, None at the end.

        Raises
        ------
        WireError
            A message is too large or malformed.
        """
        self._frames_bytes = 0
        data = await self._reader.read(_READ_BYTES)
        if not data:
            return None
        frames = self._splitter.feed(data)
        self._frames_bytes = sum(len(frame) for _, frame in frames)
        self._frames_count += len(frames)
        self._guard.update(self._key)
        return frames

    async def write(self, data: bytes):
        """Write answer bytes; wait while the caller is slow.

        Small answers are buffered until ``flush``, so that they are sent in
        one piece with ReadyForQuery.  The next read detects a caller that
        has disconnected.
        """
        self._parts.append(data)
        self._parts_bytes += len(data)
        if self._parts_bytes < _FLUSH_THRESHOLD_BYTES:
            return
        self.flush()
        await self.wait_for_reader()

    async def wait_for_reader(self):
        """Wait while the caller has read too little of its answers."""
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        if unsent_bytes > self._write_buffer_bytes:
            try:
                await self._writer.drain()
            except OSError:
                self._writer.close()

    def flush(self, data: bytes = b""):
        """Send the buffered bytes, then ``data``."""
        self._parts.append(data)
        if not self._writer.is_closing():
            self._writer.write(b"".join(self._parts))
        self._parts.clear()
        self._parts_bytes = 0
        self._guard.update(self._key)

    def close(self):
        """Close after the written bytes have been sent."""
        self._writer.close()

    async def _read_startup_payload(self):
        try:
            head = await self._reader.readexactly(_INT32.size)
            (length,) = _INT32.unpack(head)
            if not 8 <= length <= _STARTUP_LIMIT_BYTES:
                raise WireError(
                    f"start-up message length {length} is not between 8 and "
                    f"{_STARTUP_LIMIT_BYTES}"
                )
            return await self._reader.readexactly(length - _INT32.size)
        except asyncio.IncompleteReadError:
            return None

    def _negotiate(self, startup):
        unknown = [n for n in startup.params if n.startswith("_pq_.")]
        for name in unknown:
            del startup.params[name]
        if unknown or startup.protocol_version != _VERSION_3:
            answer = NegotiateProtocolVersion(
                newest_minor=_VERSION_3, unrecognized=unknown
            )
            self._writer.write(answer.to_wire())
        return startup


@dataclasses.dataclass(frozen=True, slots=True)
class StartupRequest:
    """Parameters of a start-up message."""

    user: str
    pool: str
    parameters: tuple[tuple[str, str], ...]


def read_parameters(startup: StartupMessage) -> StartupRequest:
    """Return the parameters of a start-up, including those in ``options``.

    Raises
    ------
    WireError
        ``options`` cannot be parsed, or replication is requested.
    """
    parameters = dict(startup.params)
    user = parameters.pop("user", "")
    pool = parameters.pop("database", user)
    if parameters.pop("replication", "false") not in ("false", "off", "0"):
        raise WireError("replication connections are not supported")
    pairs = _split_options(parameters.pop("options", ""))
    return StartupRequest(user, pool, (*parameters.items(), *pairs))


def decode_message(message_type, frame: bytes):
    """Decode the payload of a whole message.

    Raises
    ------
    WireError
        The payload is malformed.
    """
    return _decode(message_type, memoryview(frame)[_HEADER_BYTES:])


def _decode(message_type, payload):
    try:
        return message_type.decode(memoryview(payload))
    except (struct.error, ValueError, IndexError, PygwireError) as error:
        name = message_type.__name__
        raise WireError(f"malformed {name} message: {error}") from error


def _split_options(text):
    """Return the settings in ``-c name=value`` and ``--name=value``."""
    words = text.replace("\\ ", "\0").split()
    pairs = []
    position = 0
    while position < len(words):
        word = words[position].replace("\0", " ")
        if word == "-c" and position + 1 < len(words):
            position += 1
            word = words[position].replace("\0", " ")
        elif word.startswith("-c"):
            word = word[2:]
        elif word.startswith("--"):
            word = word[2:].replace("-", "_")
        name, separator, value = word.partition("=")
        if not separator:
            raise WireError(f"start-up option {word!r} is not name=value")
        pairs.append((name, value))
        position += 1
    return pairs
