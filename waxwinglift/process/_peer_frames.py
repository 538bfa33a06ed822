"""Frames of the connections between proxies.

A frame is the length of its body (4 bytes), its kind (1 byte), the id of its
stream (4 bytes) and the body.  The highest bit of the kind is set if the body
is compressed (`_peer_compression.py`).
"""

from collections.abc import Iterator
import dataclasses
import enum
import struct
from typing import NewType

from google.protobuf.message import DecodeError

from waxwinglift.process.rpc import peer_pb2

StreamId = NewType("StreamId", int)

# Frames that belong to no stream.
CONNECTION_STREAM = StreamId(0)
STREAM_ID_LIMIT = 2**32
# Several times the default limit of a caller's message.
FRAME_LIMIT_BYTES = 2**26
# Bytes of answers that a stream's receiver accepts before it has granted more.
WINDOW_BYTES = 2**18

_HEADER = struct.Struct("!IBI")
_COMPRESSED_BIT = 0x80
_GRANT = struct.Struct("!I")


class FrameKind(enum.Enum):
    """Kind of a frame.

    ``PING`` is answered by a ``PONG`` of the same stream.  ``END`` ends a
    stream; an open transaction is rolled back.  ``GRANT`` allows the server to
    send more bytes on a stream.  ``LOAD`` belongs to no stream and has no
    answer.
    """

    EXECUTE = 1
    RESULT = 2
    POSITION_REQUEST = 3
    POSITION_REPLY = 4
    PING = 5
    PONG = 6
    END = 7
    GRANT = 8
    QUOTA_REQUEST = 9
    QUOTA_REPLY = 10
    LOAD = 20


_MESSAGE_TYPES = {
    FrameKind.EXECUTE: peer_pb2.ExecuteFrame,
    FrameKind.RESULT: peer_pb2.ResultFrame,
    FrameKind.POSITION_REQUEST: peer_pb2.GroupPositionRequest,
    FrameKind.POSITION_REPLY: peer_pb2.GroupPositionReply,
    FrameKind.QUOTA_REQUEST: peer_pb2.QuotaRequest,
    FrameKind.QUOTA_REPLY: peer_pb2.QuotaReply,
    FrameKind.LOAD: peer_pb2.LoadReport,
}


class FrameError(Exception):
    """The peer has sent a frame that violates the protocol."""


class FrameTooLargeError(Exception):
    """A message does not fit into a frame; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One received frame."""

    kind: FrameKind
    stream_id: StreamId
    body: bytes
    is_compressed: bool = False

    def decode(self):
        """Return the protobuf message in the body.

        Raises
        ------
        FrameError
            The body is no message of this kind.
        """
        try:
            return _MESSAGE_TYPES[self.kind].FromString(self.body)
        except DecodeError as error:
            raise FrameError(f"malformed {self.kind.name} frame") from error

    def granted_bytes(self) -> int:
        """Return the number of bytes that a ``GRANT`` frame allows.

        Raises
        ------
        FrameError
            The body has the wrong size.
        """
        if len(self.body) != _GRANT.size:
            raise FrameError("malformed GRANT frame")
        return _GRANT.unpack(self.body)[0]


def encode_frame(
    kind: FrameKind, stream_id: StreamId, body=b"", is_compressed=False
) -> bytes:
    """Return the bytes of a frame."""
    value = kind.value | (_COMPRESSED_BIT if is_compressed else 0)
    return _HEADER.pack(len(body), value, stream_id) + body


def encode_grant(stream_id: StreamId, size_bytes: int) -> bytes:
    """Return a frame that allows ``size_bytes`` more on a stream."""
    return encode_frame(FrameKind.GRANT, stream_id, _GRANT.pack(size_bytes))


def encode_body(message) -> bytes:
    """Return the body of a frame with a protobuf message.

    Raises
    ------
    FrameTooLargeError
        The message exceeds ``FRAME_LIMIT_BYTES``.
    """
    body = message.SerializeToString()
    if len(body) > FRAME_LIMIT_BYTES:
        raise FrameTooLargeError(
            f"a message of {len(body)} bytes exceeds the limit of "
            f"{FRAME_LIMIT_BYTES} bytes between proxies"
        )
    return body


class FrameDecoder:
    """Splits received bytes into frames."""

    def __init__(self):
        self._pending = bytearray()
        # Size at which the first pending frame is complete.
        self._needed_bytes = 0

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that ``data`` completes.

        Raises
        ------
        FrameError
            The length or the kind of a frame is invalid.
        """
        if self._pending:
            self._pending += data
            if len(self._pending) < self._needed_bytes:
                return
            data = bytes(self._pending)
            self._pending.clear()
        start = 0
        while len(data) - start >= _HEADER.size:
            size_bytes, kind, stream_id = _HEADER.unpack_from(data, start)
            is_compressed = bool(kind & _COMPRESSED_BIT)
            kind = _check_header(size_bytes, kind & ~_COMPRESSED_BIT)
            body_start = start + _HEADER.size
            end = body_start + size_bytes
            if end > len(data):
                break
            body = data[body_start:end]
            yield Frame(kind, StreamId(stream_id), body, is_compressed)
            start = end
        self._keep(data, start)

    def _keep(self, data, start):
        self._needed_bytes = _HEADER.size
        left_bytes = len(data) - start
        if left_bytes >= _HEADER.size:
            self._needed_bytes += _HEADER.unpack_from(data, start)[0]
        if left_bytes:
            self._pending += data[start:]


def _check_header(size_bytes, kind):
    if size_bytes > FRAME_LIMIT_BYTES:
        raise FrameError(f"frame of {size_bytes} bytes exceeds the limit")
    try:
        return FrameKind(kind)
    except ValueError as error:
        raise FrameError(f"unknown frame kind {kind}") from error
