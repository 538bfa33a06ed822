"""Runs transactions at other proxies, over one connection per peer."""

import asyncio
import contextlib

from grpclib.config import Configuration
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok
from result import Result

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Executor
from waxwinglift.process._data_path_types import Sink
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._peer_cancel import send_cancel_request
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._peer_codec import decode_failure
from waxwinglift.process._peer_codec import decode_position
from waxwinglift.process._peer_codec import decode_result
from waxwinglift.process._peer_codec import encode_exchange
from waxwinglift.process._peer_health import PeerHealth
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import peer_grpc
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.process.rpc._channels import ClosableChannel
from waxwinglift.process.rpc._channels import retrieve_exception
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.version import GroupName
from waxwinglift.version import Position
from waxwinglift.version import Term

# Interval of the HTTP/2 keep-alive pings, and time limit for their answers.  A
# missing answer reveals an isolated peer.
_KEEPALIVE_S = 1.0
# Idle streams kept open per peer.
_IDLE_LIMIT_COUNT = 64
_POSITION_TIMEOUT_S = 2.0
# Time limit for opening a stream, including a new connection.  Two round trips
# between regions take 48 ms.
_OPEN_TIMEOUT_MS = 400.0
_CONNECTION_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    asyncio.TimeoutError,
)


class PeerClient:
    """Executor of one other proxy.

    A gRPC stream serves one transaction at a time and is reused for the next
    one, because opening a stream costs more than a small exchange.

    Parameters
    ----------
    address : Address
    """

    def __init__(self, address: Address):
        self.address = address
        self.health = PeerHealth(self._ping, self._reconnect, monotonic_ms)
        self._idle_streams: list[_GrpcStream] = []
        self._background_tasks: set[asyncio.Task] = set()
        self._connect()

    @property
    def is_unresponsive(self) -> bool:
        """Whether the proxy does not answer at present."""
        return self.health.is_unresponsive

    def open(self, header: ExecuteHeader) -> "PeerTransaction":
        """Return the stream of a new transaction."""
        return PeerTransaction(self, header)

    async def group_position(
        self, group: GroupName, term: Term
    ) -> Result[Position, Failure]:
        """Return a position that includes every acknowledged write."""
        request = peer_pb2.GroupPositionRequest(group=group, term=term)
        self.health.record_request()
        try:
            reply = await self._stub.GroupPosition(
                request, timeout=_POSITION_TIMEOUT_S
            )
        except _CONNECTION_ERRORS as error:
            return Err(_unreachable(error))
        finally:
            self.health.record_request_end()
        self.health.record_answer()
        if reply.HasField("failure"):
            return Err(decode_failure(reply.failure))
        return Ok(decode_position(reply.position))

    async def cancel(self, key: CancelKey):
        """Cancel the running statement of a session, ignoring errors."""
        stream = _GrpcStream(self._stub.Execute.open())
        try:
            with contextlib.suppress(*_CONNECTION_ERRORS):
                await send_cancel_request(stream, key)
        finally:
            self.run_in_background(stream.finish())

    def close(self):
        """Close the connection; open transactions are rolled back."""
        self.health.close()
        self._discard_idle_streams()
        for task in self._background_tasks:
            task.cancel()
        self._channel.close()

    def _connect(self):
        self._channel = ClosableChannel(
            self.address,
            config=Configuration(
                _keepalive_time=_KEEPALIVE_S,
                _keepalive_timeout=_KEEPALIVE_S,
                _http2_max_pings_without_data=0,
            ),
        )
        self._stub = peer_grpc.PeerStub(self._channel)

    def _reconnect(self):
        """Replace an unresponsive connection; running exchanges fail."""
        self._discard_idle_streams()
        self._channel.close()
        self._connect()

    def _discard_idle_streams(self):
        for stream in self._idle_streams:
            stream.stop_reading()
        self._idle_streams.clear()

    async def _ping(self, timeout_ms):
        try:
            message = peer_pb2.PingMessage()
            await self._stub.Ping(message, timeout=timeout_ms / 1000)
        except _CONNECTION_ERRORS:
            return False
        return True

    def acquire(self) -> "_GrpcStream":
        """Return an idle stream that is still open, or a new one."""
        while self._idle_streams:
            stream = self._idle_streams.pop()
            if stream.is_usable:
                return stream
            stream.stop_reading()
        return _GrpcStream(self._stub.Execute.open())

    def release(self, stream: "_GrpcStream"):
        """Make an idle stream available to the next transaction."""
        if len(self._idle_streams) >= _IDLE_LIMIT_COUNT:
            self.run_in_background(stream.finish())
            return
        stream.start_reading()
        self._idle_streams.append(stream)

    def run_in_background(self, coroutine):
        """Run a coroutine in a task of its own and return the task."""
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task


class _GrpcStream:
    """One gRPC stream; reads while idle in order to detect its end."""

    def __init__(self, call):
        self.is_open = False
        self._call = call
        self._pending_reply: asyncio.Task | None = None

    @property
    def is_usable(self) -> bool:
        return (
            self._pending_reply is not None and not self._pending_reply.done()
        )

    async def open(self):
        await self._call.__aenter__()
        await self._call.send_request()
        self.is_open = True

    async def send(self, frame):
        await self._call.send_message(frame)

    def start_reading(self):
        self._pending_reply = asyncio.ensure_future(self._call.recv_message())
        # No task awaits this read while the stream is idle, so asyncio would
        # log its error.
        self._pending_reply.add_done_callback(retrieve_exception)

    async def receive(self):
        pending_reply, self._pending_reply = self._pending_reply, None
        if pending_reply is not None:
            return await pending_reply
        return await self._call.recv_message()

    async def finish(self):
        """End the stream; an open transaction is rolled back."""
        with contextlib.suppress(*_CONNECTION_ERRORS):
            if self.is_open:
                await self._call.end()
            await self._call.__aexit__(None, None, None)

    def stop_reading(self):
        """Cancel the pending read of a stream that is no longer used."""
        self._pending_reply.cancel()


class PeerTransaction:
    """One transaction at another proxy."""

    def __init__(self, client: PeerClient, header: ExecuteHeader):
        self._client = client
        self._header = header
        self._stream: _GrpcStream | None = None
        self._is_started = False
        # Whether the transaction may still be open at the other proxy.
        self._may_be_open = False
        self._is_cancelled = False
        self._cancel_task: asyncio.Task | None = None

    async def run(self, exchange: Exchange, sink: Sink) -> ExchangeEnd:
        """Run one exchange and return its outcome."""
        self._client.health.record_request()
        try:
            return await self._run(exchange, sink)
        finally:
            self._client.health.record_request_end()

    async def _run(self, exchange, sink):
        header = None
        if not self._is_started:
            header = self._header
            self._is_started = True
            try:
                await self._open()
            except _CONNECTION_ERRORS as error:
                self._client.health.record_connection_failure()
                return ExchangeEnd(
                    failure=_unreachable(error), is_owner_unreachable=True
                )
            if self._is_cancelled:
                message = "the statement was cancelled"
                failure = not_run(FailureCode.CANCELLED, message)
                return ExchangeEnd(failure=failure)
        if self._cancel_task is not None:
            # The pending cancel is for the previous exchange.  If it were sent
            # after the frame of this exchange, it would cancel this one.
            await asyncio.wait([self._cancel_task])
        try:
            self._may_be_open = True
            await self._stream.send(encode_exchange(exchange, header))
            return await self._receive(sink)
        except _CONNECTION_ERRORS as error:
            message = f"the connection to the endpoint's owner ended: {error}"
            return ExchangeEnd(
                failure=may_have_run(message), is_owner_unreachable=True
            )

    def cancel(self):
        """Cancel the running exchange."""
        # The cancel may arrive late, so the stream is not reused.
        self._is_cancelled = True
        if self._stream is not None and self._stream.is_open:
            coroutine = self._send_cancel(self._stream)
            self._cancel_task = self._client.run_in_background(coroutine)

    async def close(self):
        """End the transaction; an open block is rolled back."""
        stream, self._stream = self._stream, None
        if stream is None:
            return
        is_reusable = not self._may_be_open and not self._is_cancelled
        if not is_reusable or not stream.is_open:
            self._client.run_in_background(stream.finish())
        else:
            self._client.release(stream)

    async def _open(self):
        self._stream = self._client.acquire()
        if self._stream.is_open:
            return
        limit_ms = min(self._header.deadline_left_ms, _OPEN_TIMEOUT_MS)
        # A network partition causes no error, so the attempt needs a limit.
        async with asyncio.timeout(limit_ms / 1000):
            await self._stream.open()

    async def _receive(self, sink):
        while True:
            reply = await self._stream.receive()
            self._client.health.record_answer()
            if reply is None:
                raise ConnectionResetError(
                    "the stream ended before the answer was complete"
                )
            if reply.messages:
                await sink(reply.messages)
            if reply.HasField("end"):
                return self._record_end(decode_result(reply))

    def _record_end(self, end):
        is_ended = (
            end.failure is not None
            or end.needs_primary
            or end.status is TransactionStatus.IDLE
        )
        self._may_be_open = self._is_cancelled or not is_ended
        return end

    async def _send_cancel(self, stream):
        with contextlib.suppress(*_CONNECTION_ERRORS):
            await stream.send(peer_pb2.ExecuteFrame(cancel=True))


class PeerClients:
    """Executors of all proxies; the local one needs no connection.

    Parameters
    ----------
    view : FleetView
    local : Executor
        Executor of this process.
    """

    def __init__(self, view: FleetView, local: Executor):
        self._view = view
        self._local = local
        self._clients: dict[DaemonId, PeerClient] = {}
        view.add_listener(self._close_departed)

    def _close_departed(self):
        """Close the connections to proxies that have left the fleet.

        A proxy that is frozen or isolated does not close its connections.
        Its lease has expired, so its answers could not be used.
        """
        departed = self._clients.keys() - self._view.fleet.daemons.keys()
        for daemon in departed:
            self._clients.pop(daemon).close()

    def executor_for(self, daemon: DaemonId) -> Executor | None:
        """Return the executor of a proxy, or None if it is unknown."""
        if daemon == self._view.daemon:
            return self._local
        record = self._view.fleet.daemons.get(daemon)
        if record is None:
            return None
        client = self._clients.get(daemon)
        if client is None or client.address != record.address:
            if client is not None:
                client.close()
            client = PeerClient(record.address)
            self._clients[daemon] = client
        return client

    async def cancel(self, daemon: DaemonId, key: CancelKey):
        """Cancel the running statement of a session at another proxy."""
        executor = self.executor_for(daemon)
        if executor is not None:
            await executor.cancel(key)

    def close(self):
        """Close all connections."""
        self._view.remove_listener(self._close_departed)
        for client in self._clients.values():
            client.close()
        self._clients.clear()


def _unreachable(error):
    message = f"the endpoint's owner cannot be reached: {error}"
    return not_run(FailureCode.UNAVAILABLE, message)
