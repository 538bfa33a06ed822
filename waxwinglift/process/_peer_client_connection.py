"""Client's end of the connection to another proxy."""

import asyncio

from waxwinglift.process._header_repeats import SentHeaders
from waxwinglift.process._peer_connection import logger
from waxwinglift.process._peer_connection import PeerConnection
from waxwinglift.process._peer_connection import PeerStream
from waxwinglift.process._peer_connection import StreamEndedError
from waxwinglift.process._peer_frames import CONNECTION_STREAM
from waxwinglift.process._peer_frames import encode_body
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import encode_grant
from waxwinglift.process._peer_frames import Frame
from waxwinglift.process._peer_frames import FrameError
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import STREAM_ID_LIMIT
from waxwinglift.process._peer_frames import StreamId
from waxwinglift.process._peer_frames import WINDOW_BYTES
from waxwinglift.process._types import Address
from waxwinglift.process.rpc._channels import retrieve_exception

# Time without data after which a connection is pinged, and time limit for the
# answer.  A missing answer reveals an isolated peer.
KEEPALIVE_S = 1.0
# Time limit for opening a stream, including a new connection.  Two round trips
# between regions take 48 ms.
OPEN_TIMEOUT_S = 0.4
# A grant for each answer would cost as much as the answer.
_GRANT_BYTES = WINDOW_BYTES // 2


class ClientStream(PeerStream):
    """One stream that the client has opened.

    ``reply_kind`` is the kind of the frames that answer it, ``headers`` are
    those of its transactions.
    """

    def __init__(
        self,
        connection: "ClientConnection",
        stream_id: StreamId,
        reply_kind: FrameKind,
    ):
        super().__init__(connection, stream_id)
        self.reply_kind = reply_kind
        self.headers = SentHeaders()
        self._taken_bytes = 0

    async def send(self, kind: FrameKind, message):
        """Send a message.

        Raises
        ------
        FrameTooLargeError
            The message exceeds the limit of a frame.
        StreamEndedError
            The stream has ended.
        """
        body = encode_body(message)
        await self.connection.wait_writable()
        if self.is_ended:
            raise StreamEndedError("the peer has ended the stream")
        self.connection.write_frame(kind, self.stream_id, body)

    async def receive(self):
        """Return the next message, or None at the end of the stream.

        Bytes of taken messages are granted to the peer again, so a caller
        that takes no messages delays only its own stream.
        """
        received = await self.take()
        if received is None:
            return None
        message, size_bytes = received
        self._taken_bytes += size_bytes
        if self._taken_bytes >= _GRANT_BYTES and not self.is_ended:
            grant = encode_grant(self.stream_id, self._taken_bytes)
            self._taken_bytes = 0
            self.connection.write(grant)
        return message

    def finish(self):
        """End the stream; an open transaction is rolled back."""
        self.connection.end_stream(self)


class ClientConnection(PeerConnection):
    """Connection on which the client opens streams.

    Parameters
    ----------
    compresses : bool
        Whether to compress bodies once the peer has stated that it reads
        compressed ones.
    """

    def __init__(self, compresses: bool = False):
        super().__init__()
        self._compresses = compresses
        self._last_id = CONNECTION_STREAM
        self._loop = asyncio.get_running_loop()
        self._last_data_s = self._loop.time()
        self._is_ping_pending = False
        self._timer: asyncio.TimerHandle | None = None

    def on_compression_accepted(self):
        """Record that the peer reads compressed bodies."""
        if self._compresses:
            self.start_compression()

    def open_stream(self, reply_kind: FrameKind) -> ClientStream:
        """Return a new stream; the peer learns of it by its first frame."""
        stream_id = self._next_id()
        stream = ClientStream(self, stream_id, reply_kind)
        self.streams[stream_id] = stream
        return stream

    async def ping(self):
        """Wait until the peer has answered a ping.

        Raises
        ------
        StreamEndedError
            The connection has ended.
        """
        stream = self.open_stream(FrameKind.PONG)
        try:
            self.write(encode_frame(FrameKind.PING, stream.stream_id))
            if await stream.receive() is None:
                raise StreamEndedError("the connection has ended")
        finally:
            self.streams.pop(stream.stream_id, None)

    def handle_frame(self, frame: Frame):
        """Pass a frame on to its stream."""
        if frame.kind not in _RECEIVED_KINDS:
            raise FrameError(f"unexpected {frame.kind.name} frame")
        stream = self.streams.get(frame.stream_id)
        if stream is None:
            # Late answer of a stream that has ended here.
            return
        if frame.kind is FrameKind.END:
            del self.streams[frame.stream_id]
            stream.end()
        elif frame.kind is not stream.reply_kind:
            raise FrameError(f"unexpected {frame.kind.name} frame")
        elif frame.kind is FrameKind.PONG:
            stream.deliver((frame, 0))
        else:
            stream.deliver((frame.decode(), len(frame.body)))

    def connection_made(self, transport):
        """Implement asyncio.Protocol."""
        super().connection_made(transport)
        self._timer = self._loop.call_later(KEEPALIVE_S, self._check_alive)

    def data_received(self, data):
        """Implement asyncio.Protocol."""
        self._last_data_s = self._loop.time()
        self._is_ping_pending = False
        super().data_received(data)

    def _end_streams(self):
        super()._end_streams()
        if self._timer is not None:
            self._timer.cancel()

    def _next_id(self):
        while True:
            self._last_id = StreamId((self._last_id + 1) % STREAM_ID_LIMIT)
            is_used = self._last_id in self.streams
            if self._last_id != CONNECTION_STREAM and not is_used:
                return self._last_id

    def _check_alive(self):
        quiet_s = self._loop.time() - self._last_data_s
        delay_s = KEEPALIVE_S - quiet_s
        if self._is_ping_pending:
            logger.warning(
                "closing the connection to the proxy at %s: no answer to a "
                "ping within %s s",
                self._transport.get_extra_info("peername"),
                KEEPALIVE_S,
            )
            self.abort()
            return
        if delay_s <= 0:
            self.write(encode_frame(FrameKind.PING, CONNECTION_STREAM))
            self._is_ping_pending = True
            delay_s = KEEPALIVE_S
        self._timer = self._loop.call_later(delay_s, self._check_alive)


_RECEIVED_KINDS = frozenset(
    (
        FrameKind.RESULT,
        FrameKind.POSITION_REPLY,
        FrameKind.QUOTA_REPLY,
        FrameKind.PONG,
        FrameKind.END,
    )
)


class PeerConnector:
    """Connection to one address, opened on first use.

    Parameters
    ----------
    address : Address
    compresses : bool
        Whether to compress bodies where the peer reads compressed ones.
    """

    def __init__(self, address: Address, compresses: bool = False):
        self.is_closed = False
        self._compresses = compresses
        self._address = address
        self._connection: ClientConnection | None = None
        self._attempt: asyncio.Task | None = None

    @property
    def connection(self) -> ClientConnection | None:
        """Open connection, or None."""
        if self._connection is None or self._connection.is_closed:
            return None
        return self._connection

    async def connect(self) -> ClientConnection:
        """Return the open connection; concurrent callers share an attempt.

        The caller limits the time.

        Raises
        ------
        OSError
            The peer refused the connection.
        """
        while True:
            if self.connection is not None:
                return self.connection
            if self._attempt is None or self._attempt.done():
                self._attempt = asyncio.ensure_future(self._open())
                self._attempt.add_done_callback(retrieve_exception)
            try:
                return await asyncio.shield(self._attempt)
            except TimeoutError:
                # The attempt started earlier than this caller's time.
                continue

    def discard(self):
        """Abort the connection; the next use opens a new one."""
        # An attempt that is abandoned ends by its own time limit.
        self._attempt = None
        if self._connection is not None:
            self._connection.abort()

    def close(self):
        """Close the connection for good."""
        self.is_closed = True
        self._attempt = None
        if self._connection is not None:
            self._connection.close()

    async def _open(self):
        if self.is_closed:
            raise ConnectionAbortedError("the client is closed")
        attempt = asyncio.current_task()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self._compresses),
                self._address.host,
                self._address.port,
            )
        if attempt is not self._attempt:
            connection.abort()
            raise ConnectionAbortedError("the connection was discarded")
        self._connection = connection
        return connection
