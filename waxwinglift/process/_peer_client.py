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

from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Executor
from waxwinglift.process._data_path_types import Sink
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._peer_codec import decode_end
from waxwinglift.process._peer_codec import decode_failure
from waxwinglift.process._peer_codec import decode_position
from waxwinglift.process._peer_codec import encode_exchange
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import peer_grpc
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.version import GroupName
from waxwinglift.version import Position
from waxwinglift.version import Term

# An isolated peer is noticed by missing answers to keep-alive messages.
_KEEPALIVE_S = 1.0
_POSITION_TIMEOUT_S = 2.0
_LOST = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    asyncio.TimeoutError,
)


class PeerClient:
    """Executor of one other proxy.

    Parameters
    ----------
    address : Address
    """

    def __init__(self, address: Address):
        self.address = address
        self._channel = Channel(
            address.host,
            address.port,
            config=Configuration(
                _keepalive_time=_KEEPALIVE_S,
                _keepalive_timeout=_KEEPALIVE_S,
                _http2_max_pings_without_data=0,
            ),
        )
        self._stub = peer_grpc.PeerStub(self._channel)
        self._closing: set[asyncio.Task] = set()

    def open(self, header: ExecuteHeader) -> "PeerStream":
        """Return the stream of a new transaction."""
        return PeerStream(self, header, self._stub.Execute.open())

    async def group_position(
        self, group: GroupName, term: Term
    ) -> Result[Position, Failure]:
        """Return a position that holds every acknowledged write."""
        request = peer_pb2.GroupPositionRequest(group=group, term=term)
        try:
            reply = await self._stub.GroupPosition(
                request, timeout=_POSITION_TIMEOUT_S
            )
        except _LOST as error:
            return Err(_unreachable(error))
        if reply.HasField("failure"):
            return Err(decode_failure(reply.failure))
        return Ok(decode_position(reply.position))

    def close(self):
        """Close the connection; open transactions are rolled back."""
        for task in self._closing:
            task.cancel()
        self._channel.close()

    def run_in_background(self, work):
        """Finish a stream without delaying the caller."""
        task = asyncio.ensure_future(work)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


class PeerStream:
    """One transaction at another proxy."""

    def __init__(self, client: PeerClient, header: ExecuteHeader, call):
        self._client = client
        self._header = header
        self._call = call
        self._is_open = False
        self._is_entered = False

    async def run(self, exchange: Exchange, sink: Sink) -> ExchangeEnd:
        """Run one exchange and return its outcome."""
        header = None
        if not self._is_open:
            header = self._header
            limit_s = self._header.deadline_left_ms / 1000
            try:
                # A peer behind a partition does not even refuse.
                async with asyncio.timeout(limit_s):
                    await self._open()
            except _LOST as error:
                return ExchangeEnd(failure=_unreachable(error))
        try:
            frame = encode_exchange(exchange, header)
            await self._call.send_message(frame)
            return await self._receive(sink)
        except _LOST as error:
            message = f"the connection to the endpoint's owner ended: {error}"
            return ExchangeEnd(failure=may_have_run(message))

    def cancel(self):
        """Give up the exchange that runs."""
        if self._is_open:
            self._client.run_in_background(self._send_cancel())

    async def close(self):
        """End the transaction; an open block is rolled back."""
        if self._is_entered:
            self._is_entered = False
            self._client.run_in_background(self._finish())

    async def _open(self):
        await self._call.__aenter__()
        self._is_entered = True
        await self._call.send_request()
        self._is_open = True

    async def _receive(self, sink):
        while True:
            reply = await self._call.recv_message()
            if reply is None:
                raise ConnectionResetError("the answer is incomplete")
            if reply.messages:
                await sink(reply.messages)
            if reply.HasField("end"):
                return decode_end(reply.end)

    async def _send_cancel(self):
        with contextlib.suppress(*_LOST):
            await self._call.send_message(peer_pb2.ExecuteFrame(cancel=True))

    async def _finish(self):
        with contextlib.suppress(*_LOST):
            if self._is_open:
                await self._call.end()
            await self._call.__aexit__(None, None, None)


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

    def close(self):
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()


def _unreachable(error):
    message = f"the endpoint's owner cannot be reached: {error}"
    return not_run(FailureCode.UNAVAILABLE, message)
