"""Server's end of the connections from other proxies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib

from waxwinglift.process._peer_connection import logger
from waxwinglift.process._peer_connection import PeerConnection
from waxwinglift.process._peer_connection import PeerStream
from waxwinglift.process._peer_connection import StreamEndedError
from waxwinglift.process._peer_frames import encode_body
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import Frame
from waxwinglift.process._peer_frames import FrameError
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import StreamId
from waxwinglift.process._peer_frames import WINDOW_BYTES
from waxwinglift.request._endpoint_load import LoadReports

# A transaction uses its stream while it waits in the owner's queue, so the
# limit is above the number of requests that can wait.
_STREAM_LIMIT_COUNT = 100_000
# A client waits for the answer to each exchange, and cancels it once.
_PENDING_LIMIT_COUNT = 8
_REPLY_KINDS = {
    FrameKind.EXECUTE: FrameKind.RESULT,
    FrameKind.POSITION_REQUEST: FrameKind.POSITION_REPLY,
    FrameKind.QUOTA_REQUEST: FrameKind.QUOTA_REPLY,
}


class ServerStream(PeerStream):
    """One stream that a client has opened; ``kind`` is its frames' kind."""

    def __init__(
        self,
        connection: "ServerConnection",
        stream_id: StreamId,
        kind: FrameKind,
    ):
        super().__init__(connection, stream_id)
        self.kind = kind
        self._window_bytes = WINDOW_BYTES
        self._granted: asyncio.Future | None = None
        self._on_end: Callable[[], None] | None = None
        self._on_cancel: Callable[[], None] | None = None

    def deliver(self, message):
        """Append a received message, or cancel the running exchange.

        Raises
        ------
        FrameError
            The client sends exchanges without waiting for their answers.
        """
        if self._is_cancel(message):
            if self._on_cancel is not None:
                self._on_cancel()
                return
            if self._messages and self._is_cancel(self._messages[-1]):
                return
        if self.pending_count >= _PENDING_LIMIT_COUNT:
            raise FrameError("more than one exchange at a time in a stream")
        super().deliver(message)

    def end(self):
        """Record the end of the stream and interrupt its exchange."""
        super().end()
        self._wake_sender()
        if self._on_end is not None:
            self._on_end()

    def grant(self, size_bytes: int):
        """Allow more bytes to be sent."""
        self._window_bytes += size_bytes
        if self._window_bytes > 0:
            self._wake_sender()

    async def recv_message(self):
        """Return the next message, or None at the end of the stream."""
        return await self.take()

    async def send_message(self, message):
        """Send a message once the client's window has room.

        Raises
        ------
        FrameTooLargeError
            The message exceeds the limit of a frame.
        StreamEndedError
            The stream has ended.
        """
        body = encode_body(message)
        while self._window_bytes <= 0 and not self.is_ended:
            await self._wait_for_grant()
        await self.connection.wait_writable()
        if self.is_ended:
            raise StreamEndedError("the client has ended the stream")
        self._window_bytes -= len(body)
        reply_kind = _REPLY_KINDS[self.kind]
        self.connection.write_frame(reply_kind, self.stream_id, body)

    @contextlib.contextmanager
    def interruptible(self, on_cancel: Callable[[], None] | None = None):
        """Cancel the current task if the stream ends within the context.

        ``on_cancel`` is called for each cancel that the client sends.

        Raises
        ------
        StreamEndedError
            The stream has already ended.
        """
        if self.is_ended:
            raise StreamEndedError("the client has ended the stream")
        self._on_end = asyncio.current_task().cancel
        self._on_cancel = on_cancel
        if self._messages and self._is_cancel(self._messages[0]):
            # The cancel has arrived together with the exchange, which can be
            # cancelled once it runs.
            self._messages.popleft()
            asyncio.get_running_loop().call_soon(self._cancel)
        try:
            yield
        finally:
            self._on_end = None
            self._on_cancel = None

    def _is_cancel(self, message):
        if self.kind is not FrameKind.EXECUTE:
            return False
        return message.cancel and not message.messages

    def _cancel(self):
        if self._on_cancel is not None:
            self._on_cancel()

    async def _wait_for_grant(self):
        self._granted = asyncio.get_running_loop().create_future()
        try:
            await self._granted
        finally:
            self._granted = None

    def _wake_sender(self):
        if self._granted is not None and not self._granted.done():
            self._granted.set_result(None)


StreamMethods = Mapping[FrameKind, Callable[[ServerStream], Awaitable[None]]]
# Functions that take the message of a frame that belongs to no stream.
NoticeHandlers = Mapping[FrameKind, Callable[[object], None]]


class ServerConnection(PeerConnection):
    """Connection on which another proxy opens streams.

    Parameters
    ----------
    methods : mapping of FrameKind to coroutine function
        Serves a stream whose first frame is of this kind.
    connections : PeerServer
        Registers the open connections, with ``add`` and ``discard``.
    tasks : set of asyncio.Task
        Tasks of all streams of the server.
    notices : mapping of FrameKind to callable
    """

    def __init__(
        self,
        methods: StreamMethods,
        connections,
        tasks: set[asyncio.Task],
        notices: NoticeHandlers,
    ):
        super().__init__()
        # Records of endpoints that the other proxy has got.
        self.load_reports = LoadReports()
        self._notices = notices
        self._methods = methods
        self._connections = connections
        self._tasks = tasks

    def handle_frame(self, frame: Frame):
        """Act on a frame; the first one of a stream opens it."""
        if frame.kind in self._methods:
            self._deliver(frame)
        elif frame.kind in self._notices:
            self._notices[frame.kind](frame.decode())
        elif frame.kind is FrameKind.PING:
            self.write(encode_frame(FrameKind.PONG, frame.stream_id))
        elif frame.kind is FrameKind.GRANT:
            self._grant(frame)
        elif frame.kind is FrameKind.END:
            stream = self.streams.pop(frame.stream_id, None)
            if stream is not None:
                stream.end()
        else:
            raise FrameError(f"unexpected {frame.kind.name} frame")

    def decompress(self, frame: Frame) -> Frame:
        """Decompress a frame; the client gets compressed answers then."""
        self.start_compression()
        return super().decompress(frame)

    def connection_made(self, transport):
        """Implement asyncio.Protocol."""
        super().connection_made(transport)
        self._connections.add(self)

    def connection_lost(self, exc):
        """Implement asyncio.Protocol."""
        super().connection_lost(exc)
        self._connections.discard(self)

    def _deliver(self, frame):
        message = frame.decode()
        stream = self.streams.get(frame.stream_id)
        if stream is None:
            stream = self._open_stream(frame)
        elif stream.kind is not frame.kind:
            raise FrameError(f"unexpected {frame.kind.name} frame")
        stream.deliver(message)

    def _grant(self, frame):
        size_bytes = frame.granted_bytes()
        stream = self.streams.get(frame.stream_id)
        if stream is not None:
            stream.grant(size_bytes)

    def _open_stream(self, frame):
        if len(self.streams) >= _STREAM_LIMIT_COUNT:
            raise FrameError(f"more than {_STREAM_LIMIT_COUNT} open streams")
        stream = ServerStream(self, frame.stream_id, frame.kind)
        self.streams[frame.stream_id] = stream
        task = asyncio.ensure_future(self._serve(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return stream

    async def _serve(self, stream):
        try:
            await self._methods[stream.kind](stream)
        except StreamEndedError:
            # The client has ended the stream.
            pass
        except Exception:
            logger.exception("a stream of another proxy failed")
        finally:
            self.end_stream(stream)
