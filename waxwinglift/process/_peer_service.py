"""Runs transactions for other proxies, one at a time per stream."""

import asyncio

from result import Ok

from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Executor
from waxwinglift.process._group_load import GroupLoads
from waxwinglift.process._header_repeats import ReceivedHeaders
from waxwinglift.process._listener import stop_accepting
from waxwinglift.process._load_codec import encode_loads
from waxwinglift.process._peer_cancel import is_cancel_request
from waxwinglift.process._peer_cancel import serve_cancel
from waxwinglift.process._peer_cancel import StatementFinder
from waxwinglift.process._peer_codec import decode_exchange
from waxwinglift.process._peer_codec import decode_header
from waxwinglift.process._peer_codec import encode_answer
from waxwinglift.process._peer_codec import encode_end
from waxwinglift.process._peer_codec import encode_failure
from waxwinglift.process._peer_codec import encode_position
from waxwinglift.process._peer_codec import encode_quota_answer
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import FrameTooLargeError
from waxwinglift.process._peer_server_connection import NoticeHandlers
from waxwinglift.process._peer_server_connection import ServerConnection
from waxwinglift.process._peer_server_connection import StreamMethods
from waxwinglift.process._registry import Registry
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.request import may_have_run
from waxwinglift.version import GroupName
from waxwinglift.version import Term
from waxwinglift.version._types import WorkspaceName

# Largest part of an answer that is buffered to be sent with the next frame.
_BUFFER_LIMIT_BYTES = 2**14
# Size of the frames into which an answer is divided, so that a stream does not
# delay the others of its connection.
_PART_BYTES = 2**16
# Methods that serve a stream, by the kind of its frames.
_METHODS = Registry()


class PeerService:
    """Runs transactions for other proxies.

    Parameters
    ----------
    executor : Executor
        Executor of this process.
    find_statement : callable
        Returns the running statement of a CancelKey's session, or None.
    loads : GroupLoads, optional
        If set, answers contain the loads of endpoints.
    """

    def __init__(
        self,
        executor: Executor,
        find_statement: StatementFinder,
        loads: GroupLoads | None = None,
    ):
        self._executor = executor
        self._find_statement = find_statement
        self._loads = loads

    @property
    def methods(self) -> StreamMethods:
        """Methods that serve a stream, by the kind of its frames."""
        return {
            kind: getattr(self, method.__name__)
            for kind, method in _METHODS.items()
        }

    @property
    def notices(self) -> NoticeHandlers:
        """Functions that take messages without a stream, by frame kind."""
        return {FrameKind.LOAD: self._record_loads}

    def _record_loads(self, message):
        if self._loads is not None:
            self._loads.record_report(message)

    @_METHODS.register(FrameKind.EXECUTE)
    async def execute(self, stream):
        """Serve transactions one after another, or a cancel request."""
        frame = await stream.recv_message()
        if frame is not None and is_cancel_request(frame):
            await serve_cancel(stream, frame, self._find_statement)
        elif frame is not None and frame.HasField("header"):
            server = _StreamServer(stream, self._executor, self._loads)
            await server.serve(frame)

    @_METHODS.register(FrameKind.POSITION_REQUEST)
    async def group_position(self, stream):
        """Answer with a position that includes every acknowledged write."""
        request = await stream.recv_message()
        if request.sender and self._loads is not None:
            self._loads.record_receiver(DaemonId(request.sender))
        with stream.interruptible():
            outcome = await self._executor.group_position(
                GroupName(request.group), Term(request.term)
            )
        reply = peer_pb2.GroupPositionReply(
            takes_loads=self._loads is not None
        )
        if isinstance(outcome, Ok):
            encode_position(reply.position, outcome.ok_value)
        else:
            encode_failure(reply.failure, outcome.err_value)
        await stream.send_message(reply)

    @_METHODS.register(FrameKind.QUOTA_REQUEST)
    async def take_quota(self, stream):
        """Answer whether an operation of a workspace may start."""
        request = await stream.recv_message()
        asked = await self._executor.take_quota(
            WorkspaceName(request.workspace)
        )
        await stream.send_message(encode_quota_answer(asked.ok_value))


class PeerServer:
    """Accepts connections from other proxies, with many streams on each.

    Parameters
    ----------
    services : list of PeerService
    """

    def __init__(self, services):
        self._methods = {}
        self._notices = {}
        for service in services:
            self._methods.update(service.methods)
            self._notices.update(service.notices)
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._is_closed = False

    async def start(self, host=None, port=None, *, sock=None):
        """Listen on an address or a bound socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, host, port, sock=sock
        )

    def close(self):
        """Stop listening and end the open connections.

        Peers then detect the end at once.
        """
        self._is_closed = True
        stop_accepting(self._server)
        # Connections that were just accepted have no transport yet.
        asyncio.get_running_loop().call_soon(self._server.close)
        for connection in list(self._connections):
            connection.close()

    def add(self, connection: ServerConnection):
        """Register a connection, or close it if the server is closed."""
        if self._is_closed:
            connection.close()
        else:
            self._connections.add(connection)

    def discard(self, connection: ServerConnection):
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    async def wait_closed(self):
        """Wait until the open transactions have been rolled back."""
        await self._server.wait_closed()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _make_connection(self):
        return ServerConnection(
            self._methods, self, self._tasks, self._notices
        )


class _StreamServer:
    """Runs the exchanges of a stream.

    A frame with a header starts a new transaction.
    """

    def __init__(self, stream, executor, loads):
        self._stream = stream
        self._executor = executor
        self._loads: GroupLoads | None = loads
        self._header: ExecuteHeader | None = None
        self._transaction = None
        self._buffered = b""
        self._headers = ReceivedHeaders()
        self._has_stated_abilities = False

    async def serve(self, frame):
        try:
            while frame is not None:
                if frame.HasField("header"):
                    await self._start(frame.header)
                await self._run(frame)
                frame = await self._next_exchange()
        finally:
            if self._transaction is not None:
                await self._transaction.close()

    async def _start(self, header):
        if self._transaction is not None:
            await self._transaction.close()
        self._headers.restore(header)
        self._header = decode_header(header)
        self._transaction = self._executor.open(self._header)

    async def _next_exchange(self):
        frame = await self._stream.recv_message()
        while frame is not None and frame.cancel:
            # The exchange had ended before the cancel arrived.
            frame = await self._stream.recv_message()
        return frame

    async def _run(self, frame):
        exchange = decode_exchange(frame)
        with self._stream.interruptible(self._transaction.cancel):
            end = await self._transaction.run(exchange, self._sink)
        # A small answer is sent in one frame with its end.
        reply = peer_pb2.ResultFrame(messages=self._buffered)
        self._buffered = b""
        if not self._has_stated_abilities:
            self._has_stated_abilities = True
            self._state_abilities(reply)
        encode_end(reply.end, end)
        self._add_loads(reply, end)
        if end.answer is not None:
            encode_answer(reply.answer, end.answer)
        try:
            await self._stream.send_message(reply)
        except FrameTooLargeError as error:
            await self._fail(may_have_run(str(error)))

    def _state_abilities(self, reply):
        reply.keeps_headers = True
        reply.reads_compressed = True

    def _add_loads(self, reply, end):
        """Add the loads of endpoints that the entry proxy does not know."""
        if self._loads is None:
            return
        loads = self._loads.records_of_answer(
            self._header, end, self._stream.connection.load_reports
        )
        if loads:
            encode_loads(
                reply.end.loads, loads, monotonic_ms(), self._header.endpoint
            )

    async def _fail(self, failure):
        await self._transaction.close()
        reply = peer_pb2.ResultFrame()
        encode_end(reply.end, ExchangeEnd(failure=failure))
        await self._stream.send_message(reply)

    async def _sink(self, data):
        """Send the buffered data; buffer ``data``, or send it if large."""
        buffered, self._buffered = self._buffered, data
        if len(data) > _BUFFER_LIMIT_BYTES:
            buffered, self._buffered = buffered + data, b""
        for start in range(0, len(buffered), _PART_BYTES):
            part = buffered[start : start + _PART_BYTES]
            await self._stream.send_message(
                peer_pb2.ResultFrame(messages=part)
            )
