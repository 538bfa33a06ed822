"""Runs transactions at other proxies, over one connection per peer."""

import asyncio
import contextlib

from grpclib.client import Channel
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
from waxwinglift.process.rpc._channels import retrieve_exception
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.version import GroupName
from waxwinglift.version import Position
from waxwinglift.version import Term

# An isolated peer is noticed by missing answers to keep-alive messages.
_KEEPALIVE_S = 1.0
# Streams kept per peer while they have no transaction.
_IDLE_LIMIT_COUNT = 64
_POSITION_TIMEOUT_S = 2.0
# Longest time for opening a stream, a new connection included: two round
# trips between regions take 48 ms.
_OPEN_TIMEOUT_MS = 400.0
_LOST = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    asyncio.TimeoutError,
)


class PeerClient:
    """Executor of one other proxy.

    A gRPC stream serves one transaction at a time and is used again for the
    next one, because opening a stream costs more than a small exchange.

    Parameters
    ----------
    address : Address
    """

    def __init__(self, address: Address):
        self.address = address
        self.health = PeerHealth(self._ping, self._reconnect, monotonic_ms)
        self._idle: list[_PeerCall] = []
        self._closing: set[asyncio.Task] = set()
        self._connect()

    @property
    def is_unresponsive(self) -> bool:
        """Whether the proxy does not answer at the moment."""
        return self.health.is_unresponsive

    def open(self, header: ExecuteHeader) -> "PeerStream":
        """Return the stream of a new transaction."""
        return PeerStream(self, header)

    async def group_position(
        self, group: GroupName, term: Term
    ) -> Result[Position, Failure]:
        """Return a position that holds every acknowledged write."""
        request = peer_pb2.GroupPositionRequest(group=group, term=term)
        self.health.record_request()
        try:
            reply = await self._stub.GroupPosition(
                request, timeout=_POSITION_TIMEOUT_S
            )
        except _LOST as error:
            return Err(_unreachable(error))
        finally:
            self.health.record_end()
        self.health.record_answer()
        if reply.HasField("failure"):
            return Err(decode_failure(reply.failure))
        return Ok(decode_position(reply.position))

    async def cancel(self, key: CancelKey):
        """Cancel what a session of the proxy runs; errors are ignored."""
        call = _PeerCall(self._stub.Execute.open())
        try:
            with contextlib.suppress(*_LOST):
                await send_cancel_request(call, key)
        finally:
            self.run_in_background(call.finish())

    def close(self):
        """Close the connection; open transactions are rolled back."""
        self.health.close()
        self._drop_idle()
        for task in self._closing:
            task.cancel()
        self._channel.close()

    def _connect(self):
        self._channel = Channel(
            self.address.host,
            self.address.port,
            config=Configuration(
                _keepalive_time=_KEEPALIVE_S,
                _keepalive_timeout=_KEEPALIVE_S,
                _http2_max_pings_without_data=0,
            ),
        )
        self._stub = peer_grpc.PeerStub(self._channel)

    def _reconnect(self):
        """Give up on a connection that has gone silent; what runs fails."""
        self._drop_idle()
        self._channel.close()
        self._connect()

    def _drop_idle(self):
        for call in self._idle:
            call.drop()
        self._idle.clear()

    async def _ping(self, timeout_ms):
        try:
            message = peer_pb2.PingMessage()
            await self._stub.Ping(message, timeout=timeout_ms / 1000)
        except _LOST:
            return False
        return True

    def acquire(self) -> "_PeerCall":
        """Return an idle stream that is still open, or a new one."""
        while self._idle:
            call = self._idle.pop()
            if call.is_usable:
                return call
            call.drop()
        return _PeerCall(self._stub.Execute.open())

    def release(self, call: "_PeerCall"):
        """Keep a stream without a transaction for the next one."""
        if len(self._idle) >= _IDLE_LIMIT_COUNT:
            self.run_in_background(call.finish())
            return
        call.listen()
        self._idle.append(call)

    def run_in_background(self, work):
        """Finish something without delaying the caller."""
        task = asyncio.ensure_future(work)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        return task


class _PeerCall:
    """One gRPC stream; listens while idle, so that its end is noticed."""

    def __init__(self, call):
        self.is_open = False
        self._call = call
        self._incoming: asyncio.Task | None = None

    @property
    def is_usable(self) -> bool:
        return self._incoming is not None and not self._incoming.done()

    async def open(self):
        await self._call.__aenter__()
        await self._call.send_request()
        self.is_open = True

    async def send(self, frame):
        await self._call.send_message(frame)

    def listen(self):
        self._incoming = asyncio.ensure_future(self._call.recv_message())
        # A stream that ends while it is idle is an error that concerns nobody.
        self._incoming.add_done_callback(retrieve_exception)

    async def receive(self):
        incoming, self._incoming = self._incoming, None
        if incoming is not None:
            return await incoming
        return await self._call.recv_message()

    async def finish(self):
        """End the stream; an open transaction is rolled back."""
        with contextlib.suppress(*_LOST):
            if self.is_open:
                await self._call.end()
            await self._call.__aexit__(None, None, None)

    def drop(self):
        """Forget a stream that has ended, or whose connection ends."""
        self._incoming.cancel()


class PeerStream:
    """One transaction at another proxy."""

    def __init__(self, client: PeerClient, header: ExecuteHeader):
        self._client = client
        self._header = header
        self._call: _PeerCall | None = None
        self._is_started = False
        # Whether the other side may still hold the transaction.
        self._is_pending = False
        self._is_cancelled = False
        self._cancelling: asyncio.Task | None = None

    async def run(self, exchange: Exchange, sink: Sink) -> ExchangeEnd:
        """Run one exchange and return its outcome."""
        self._client.health.record_request()
        try:
            return await self._run(exchange, sink)
        finally:
            self._client.health.record_end()

    async def _run(self, exchange, sink):
        header = None
        if not self._is_started:
            header = self._header
            self._is_started = True
            try:
                await self._open()
            except _LOST as error:
                self._client.health.record_connection_failure()
                return ExchangeEnd(
                    failure=_unreachable(error), is_owner_unreachable=True
                )
            if self._is_cancelled:
                message = "the statement was cancelled"
                failure = not_run(FailureCode.CANCELLED, message)
                return ExchangeEnd(failure=failure)
        if self._cancelling is not None:
            # Behind this exchange's frame it would cancel this exchange.
            await asyncio.wait([self._cancelling])
        try:
            self._is_pending = True
            await self._call.send(encode_exchange(exchange, header))
            return await self._receive(sink)
        except _LOST as error:
            message = f"the connection to the endpoint's owner ended: {error}"
            return ExchangeEnd(
                failure=may_have_run(message), is_owner_unreachable=True
            )

    def cancel(self):
        """Give up the exchange that runs."""
        # The cancel may arrive late, so the stream is not used again.
        self._is_cancelled = True
        if self._call is not None and self._call.is_open:
            work = self._send_cancel(self._call)
            self._cancelling = self._client.run_in_background(work)

    async def close(self):
        """End the transaction; an open block is rolled back."""
        call, self._call = self._call, None
        if call is None:
            return
        is_reusable = not self._is_pending and not self._is_cancelled
        if not is_reusable or not call.is_open:
            self._client.run_in_background(call.finish())
        else:
            self._client.release(call)

    async def _open(self):
        self._call = self._client.acquire()
        if self._call.is_open:
            return
        limit_ms = min(self._header.deadline_left_ms, _OPEN_TIMEOUT_MS)
        # A peer behind a partition does not even refuse.
        async with asyncio.timeout(limit_ms / 1000):
            await self._call.open()

    async def _receive(self, sink):
        while True:
            reply = await self._call.receive()
            self._client.health.record_answer()
            if reply is None:
                raise ConnectionResetError("the answer is incomplete")
            if reply.messages:
                await sink(reply.messages)
            if reply.HasField("end"):
                return self._end(decode_result(reply))

    def _end(self, end):
        is_over = (
            end.failure is not None
            or end.needs_primary
            or end.status is TransactionStatus.IDLE
        )
        self._is_pending = self._is_cancelled or not is_over
        return end

    async def _send_cancel(self, call):
        with contextlib.suppress(*_LOST):
            await call.send(peer_pb2.ExecuteFrame(cancel=True))


class PeerClients:
    """Executors of all proxies; this proxy's own needs no connection.

    Parameters
    ----------
    view : FleetView
    local : Executor
        Owners of this process.
    """

    def __init__(self, view: FleetView, local: Executor):
        self._view = view
        self._local = local
        self._clients: dict[DaemonId, PeerClient] = {}
        view.add_listener(self._drop_departed)

    def _drop_departed(self):
        """Close the connections to proxies that have left the fleet.

        A proxy that has frozen or is cut off keeps its connections open; its
        lease has run out, so that no answer of it could be passed on.
        """
        departed = self._clients.keys() - self._view.fleet.daemons.keys()
        for daemon in departed:
            self._clients.pop(daemon).close()

    def executor_for(self, daemon: DaemonId) -> Executor | None:
        """Return the executor of a proxy, None when it is unknown."""
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
        """Have another proxy cancel what a session of it runs."""
        executor = self.executor_for(daemon)
        if executor is not None:
            await executor.cancel(key)

    def close(self):
        """Close all connections."""
        self._view.remove_listener(self._drop_departed)
        for client in self._clients.values():
            client.close()
        self._clients.clear()


def _unreachable(error):
    message = f"the endpoint's owner cannot be reached: {error}"
    return not_run(FailureCode.UNAVAILABLE, message)
