"""Runs transactions for other proxies, one at a time per gRPC stream."""

import asyncio

from grpclib.protocol import H2Protocol
from grpclib.server import Server
from h2.settings import SettingCodes
from result import Ok

from waxwinglift.process._data_path_types import Executor
from waxwinglift.process._listener import stop_accepting
from waxwinglift.process._peer_cancel import is_cancel_request
from waxwinglift.process._peer_cancel import serve_cancel
from waxwinglift.process._peer_cancel import StatementFinder
from waxwinglift.process._peer_codec import decode_exchange
from waxwinglift.process._peer_codec import decode_header
from waxwinglift.process._peer_codec import encode_answer
from waxwinglift.process._peer_codec import encode_end
from waxwinglift.process._peer_codec import encode_failure
from waxwinglift.process._peer_codec import encode_position
from waxwinglift.process.rpc import peer_grpc
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.version import GroupName
from waxwinglift.version import Term

# A transaction uses its stream while it waits in the owner's queue.  With the
# library's limit of 100 streams, urgent requests would wait at the entry
# proxy.
_STREAM_LIMIT_COUNT = 100_000
# Largest part of an answer that is buffered to be sent with the next frame.
_BUFFER_LIMIT_BYTES = 2**14


class PeerService(peer_grpc.PeerBase):
    """Runs transactions for other proxies.

    Parameters
    ----------
    executor : Executor
        Executor of this process.
    find_statement : callable
        Returns the running statement of a CancelKey's session, or None.
    """

    def __init__(self, executor: Executor, find_statement: StatementFinder):
        self._executor = executor
        self._find_statement = find_statement

    async def Execute(self, stream):
        """Serve transactions one after another, or a cancel request."""
        frame = await stream.recv_message()
        if frame is not None and is_cancel_request(frame):
            await serve_cancel(stream, frame, self._find_statement)
        elif frame is not None:
            await _StreamServer(stream, self._executor).serve(frame)

    async def Ping(self, stream):
        """Answer at once."""
        await stream.recv_message()
        await stream.send_message(peer_pb2.PingMessage())

    async def GroupPosition(self, stream):
        """Answer with a position that includes every acknowledged write."""
        request = await stream.recv_message()
        outcome = await self._executor.group_position(
            GroupName(request.group), Term(request.term)
        )
        reply = peer_pb2.GroupPositionReply()
        if isinstance(outcome, Ok):
            encode_position(reply.position, outcome.ok_value)
        else:
            encode_failure(reply.failure, outcome.err_value)
        await stream.send_message(reply)


class PeerServer(Server):
    """gRPC server that accepts many concurrent streams per connection.

    ``close`` also ends the open connections, so that peers detect it at once.

    Parameters
    ----------
    handlers : list
        Services, PeerService among them.
    """

    def __init__(self, handlers):
        super().__init__(handlers)
        self._protocols = set()
        self._is_closed = False

    def close(self):
        """Stop listening and end the open connections."""
        self._is_closed = True
        stop_accepting(self._server)
        # Connections that were just accepted have no protocol yet.
        asyncio.get_running_loop().call_soon(super().close)
        for protocol in list(self._protocols):
            protocol.connection.close()

    def add(self, protocol):
        """Register a connection, or close it if the server is closed."""
        if self._is_closed:
            protocol.connection.close()
        else:
            self._protocols.add(protocol)

    def remove(self, protocol):
        """Remove a connection that has ended."""
        self._protocols.discard(protocol)

    def _protocol_factory(self):
        protocol = super()._protocol_factory()
        return _PeerProtocol(
            self,
            protocol.handler,
            protocol.config,
            protocol.h2_config,
        )


class _PeerProtocol(H2Protocol):
    def __init__(self, server, handler, config, h2_config):
        super().__init__(handler, config, h2_config)
        self._server = server

    def connection_made(self, transport):
        super().connection_made(transport)
        limits = {SettingCodes.MAX_CONCURRENT_STREAMS: _STREAM_LIMIT_COUNT}
        self.connection._connection.update_settings(limits)
        self.connection.flush()
        self._server.add(self)

    def connection_lost(self, exc):
        super().connection_lost(exc)
        self._server.remove(self)


class _StreamServer:
    """Runs the exchanges of a stream, and reads cancels while they run.

    A frame with a header starts a new transaction.
    """

    def __init__(self, stream, executor):
        self._stream = stream
        self._executor = executor
        self._transaction = None
        self._pending_frame = None
        self._running = None
        self._buffered = b""

    async def serve(self, frame):
        try:
            while frame is not None:
                if frame.HasField("header"):
                    await self._start(frame.header)
                self._running = asyncio.ensure_future(self._run(frame))
                if not await self._finish_exchange():
                    return
                frame = await self._next_frame()
                while frame is not None and frame.cancel:
                    # The exchange had ended before the cancel arrived.
                    frame = await self._next_frame()
        finally:
            for task in (self._running, self._pending_frame):
                if task is not None:
                    task.cancel()
            if self._transaction is not None:
                await self._transaction.close()

    async def _start(self, header):
        if self._transaction is not None:
            await self._transaction.close()
        self._transaction = self._executor.open(decode_header(header))

    async def _finish_exchange(self):
        """Wait for the end of the exchange; False if the peer disconnects."""
        while not self._running.done():
            pending_frame = self._start_reading()
            await asyncio.wait(
                {self._running, pending_frame},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not pending_frame.done() or self._running.done():
                continue
            frame = await self._next_frame()
            if frame is None:
                return False
            if frame.cancel:
                self._transaction.cancel()
        await self._running
        return True

    def _start_reading(self):
        if self._pending_frame is None:
            receive = self._stream.recv_message()
            self._pending_frame = asyncio.ensure_future(receive)
        return self._pending_frame

    async def _next_frame(self):
        frame = await self._start_reading()
        self._pending_frame = None
        return frame

    async def _run(self, frame):
        end = await self._transaction.run(decode_exchange(frame), self._sink)
        # A small answer is sent in one frame with its end.
        reply = peer_pb2.ResultFrame(messages=self._buffered)
        self._buffered = b""
        encode_end(reply.end, end)
        if end.answer is not None:
            encode_answer(reply.answer, end.answer)
        await self._stream.send_message(reply)

    async def _sink(self, data):
        """Send the buffered data; buffer ``data``, or send it if large."""
        buffered, self._buffered = self._buffered, data
        if len(data) > _BUFFER_LIMIT_BYTES:
            buffered, self._buffered = buffered + data, b""
        if buffered:
            reply = peer_pb2.ResultFrame(messages=buffered)
            await self._stream.send_message(reply)
