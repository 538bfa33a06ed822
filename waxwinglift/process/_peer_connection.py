"""Parts of a connection between proxies that both ends share."""

import asyncio
import collections
import logging

from waxwinglift.process._peer_compression import BodyCompressor
from waxwinglift.process._peer_compression import BodyDecompressor
from waxwinglift.process._peer_compression import CompressionError
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import Frame
from waxwinglift.process._peer_frames import FrameDecoder
from waxwinglift.process._peer_frames import FrameError
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import StreamId

logger = logging.getLogger(__name__)

# Unsent bytes above which senders wait.
_WRITE_LIMIT_BYTES = 2**18


class StreamEndedError(ConnectionResetError):
    """The peer has ended the stream, or the connection is closed."""


class PeerStream:
    """Received messages of one stream, in order.

    ``is_ended`` is true once either end has ended the stream or the
    connection is lost.
    """

    def __init__(self, connection: "PeerConnection", stream_id: StreamId):
        self.is_ended = False
        self.connection = connection
        self.stream_id = stream_id
        self._messages = collections.deque()
        self._waiter: asyncio.Future | None = None

    @property
    def pending_count(self) -> int:
        """Number of messages that have not been taken."""
        return len(self._messages)

    def deliver(self, message):
        """Append a received message."""
        self._messages.append(message)
        self._wake()

    def end(self):
        """Record the end of the stream."""
        self.is_ended = True
        self._wake()

    async def take(self):
        """Return the next message, or None at the end of the stream."""
        while not self._messages:
            if self.is_ended:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._messages.popleft()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class PeerConnection(asyncio.Protocol):
    """One TCP connection with many streams."""

    def __init__(self):
        self.is_closed = False
        self.streams: dict[StreamId, PeerStream] = {}
        self._transport: asyncio.Transport | None = None
        self._decoder = FrameDecoder()
        self._is_writable = asyncio.Event()
        self._is_writable.set()
        self._compressor: BodyCompressor | None = None
        self._decompressor: BodyDecompressor | None = None

    def handle_frame(self, frame: Frame):
        """Act on a received frame; raise FrameError if it is invalid."""
        raise NotImplementedError

    def write(self, data: bytes):
        """Send encoded frames.

        Raises
        ------
        StreamEndedError
            The connection is closed; nothing was sent.
        """
        if self.is_closed:
            raise StreamEndedError("the connection is closed")
        self._transport.write(data)

    def write_frame(self, kind: FrameKind, stream_id: StreamId, body: bytes):
        """Send a frame, compressed where that was started.

        Raises
        ------
        StreamEndedError
            The connection is closed; nothing was sent.
        """
        compressor = self._compressor
        is_compressed = (
            compressor is not None
            and not self.is_closed
            and compressor.accepts(body)
        )
        if is_compressed:
            body = compressor.compress(body)
        self.write(encode_frame(kind, stream_id, body, is_compressed))

    def start_compression(self):
        """Compress the bodies that are sent from now on."""
        if self._compressor is None:
            self._compressor = BodyCompressor()

    async def wait_writable(self):
        """Wait until the peer has read enough, or the connection ends."""
        if not self._is_writable.is_set():
            await self._is_writable.wait()

    def end_stream(self, stream: PeerStream):
        """End a stream at this end and tell the peer."""
        self.streams.pop(stream.stream_id, None)
        if stream.is_ended:
            return
        stream.end()
        if not self.is_closed:
            self.write(encode_frame(FrameKind.END, stream.stream_id))

    def close(self):
        """Send what was written, then close; all streams end at once."""
        if not self.is_closed:
            self._end_streams()
            self._transport.close()

    def abort(self):
        """Close without sending; all streams end at once."""
        if not self.is_closed:
            self._end_streams()
            self._transport.abort()

    def connection_made(self, transport):
        """Implement asyncio.Protocol."""
        transport.set_write_buffer_limits(high=_WRITE_LIMIT_BYTES)
        self._transport = transport

    def data_received(self, data):
        """Implement asyncio.Protocol."""
        try:
            for frame in self._decoder.feed(data):
                if self.is_closed:
                    return
                if frame.is_compressed:
                    frame = self.decompress(frame)
                self.handle_frame(frame)
        except FrameError as error:
            logger.warning(
                "closing the connection to the proxy at %s: %s",
                self._transport.get_extra_info("peername"),
                error,
            )
            self.abort()

    def decompress(self, frame: Frame) -> Frame:
        """Return a frame with its decompressed body.

        Raises
        ------
        FrameError
        """
        if self._decompressor is None:
            self._decompressor = BodyDecompressor()
        try:
            body = self._decompressor.decompress(frame.body)
        except CompressionError as error:
            raise FrameError(str(error)) from error
        return Frame(frame.kind, frame.stream_id, body)

    def pause_writing(self):
        """Implement asyncio.Protocol."""
        self._is_writable.clear()

    def resume_writing(self):
        """Implement asyncio.Protocol."""
        self._is_writable.set()

    def connection_lost(self, exc):
        """Implement asyncio.Protocol."""
        self._end_streams()

    def _end_streams(self):
        self.is_closed = True
        self._is_writable.set()
        for stream in list(self.streams.values()):
            stream.end()
        self.streams.clear()
