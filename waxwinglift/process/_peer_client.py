"""Runs transactions at other proxies, over one connection per peer."""

import asyncio
import contextlib

from result import Err
from result import Ok
from result import Result

from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Executor
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._peer_cancel import send_cancel_request
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._peer_client_connection import ClientStream
from waxwinglift.process._peer_client_connection import PeerConnector
from waxwinglift.process._peer_codec import decode_failure
from waxwinglift.process._peer_codec import decode_position
from waxwinglift.process._peer_codec import decode_quota_answer
from waxwinglift.process._peer_frames import CONNECTION_STREAM
from waxwinglift.process._peer_frames import encode_body
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_health import PeerHealth
from waxwinglift.process._peer_transaction import CONNECTION_ERRORS
from waxwinglift.process._peer_transaction import PeerTransaction
from waxwinglift.process._peer_transaction import unreachable_failure
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._quota import QuotaAnswer
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version._types import WorkspaceName

# Idle streams kept open per peer.
_IDLE_LIMIT_COUNT = 64
_POSITION_TIMEOUT_S = 2.0


class PeerClient:
    """Executor of one other proxy.

    A stream serves one transaction at a time and is reused for the next one,
    which saves the peer a task for each transaction.

    Parameters
    ----------
    address : Address
    compresses : bool
        Whether to compress what is sent, which also compresses the answers.
    load_sender : DaemonId, optional
        This proxy, if it takes LOAD frames.
    """

    def __init__(
        self,
        address: Address,
        compresses: bool = False,
        load_sender: DaemonId | None = None,
    ):
        self.address = address
        self.compresses = compresses
        self._load_sender = load_sender
        self.health = PeerHealth(self._ping, self._reconnect, monotonic_ms)
        self._connector = PeerConnector(address, compresses)
        self._idle_streams: list[ClientStream] = []
        # Whether the proxy has shown that it takes LOAD frames.
        self.takes_loads = False
        self._load_task: asyncio.Task | None = None
        self._background_tasks: set[asyncio.Task] = set()

    @property
    def is_unresponsive(self) -> bool:
        """Whether the proxy does not answer at present."""
        return self.health.is_unresponsive

    def open(self, header: ExecuteHeader) -> PeerTransaction:
        """Return the stream of a new transaction."""
        return PeerTransaction(self, header)

    async def group_position(
        self, group: GroupName, term: Term
    ) -> Result[Position, Failure]:
        """Return a position that includes every acknowledged write."""
        request = peer_pb2.GroupPositionRequest(group=group, term=term)
        if self._load_sender is not None and not self.takes_loads:
            request.sender = self._load_sender
        try:
            async with asyncio.timeout(_POSITION_TIMEOUT_S):
                reply = await self._call(
                    FrameKind.POSITION_REQUEST,
                    FrameKind.POSITION_REPLY,
                    request,
                )
        except CONNECTION_ERRORS as error:
            return Err(unreachable_failure(error))
        self.takes_loads = self.takes_loads or reply.takes_loads
        if reply.HasField("failure"):
            return Err(decode_failure(reply.failure))
        return Ok(decode_position(reply.position))

    async def take_quota(
        self, workspace: WorkspaceName
    ) -> Result[QuotaAnswer, Failure]:
        """Ask the proxy, as a workspace's home, to start one operation.

        The caller limits the time.
        """
        request = peer_pb2.QuotaRequest(workspace=workspace)
        try:
            reply = await self._call(
                FrameKind.QUOTA_REQUEST, FrameKind.QUOTA_REPLY, request
            )
            return Ok(decode_quota_answer(reply))
        except (ValueError, *CONNECTION_ERRORS) as error:
            return Err(not_run(FailureCode.UNAVAILABLE, repr(error)))

    def send_loads(self, report):
        """Send a LoadReport, unless the last one is still being sent."""
        if self._load_task is None or self._load_task.done():
            self._load_task = self.run_in_background(self._send_loads(report))

    async def _send_loads(self, report):
        with contextlib.suppress(*CONNECTION_ERRORS):
            connection = await self._connector.connect()
            body = encode_body(report)
            frame = encode_frame(FrameKind.LOAD, CONNECTION_STREAM, body)
            connection.write(frame)

    async def cancel(self, key: CancelKey):
        """Cancel the running statement of a session, ignoring errors."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            await send_cancel_request(self._connector, key)

    def close(self):
        """Close the connection; open transactions are rolled back."""
        self._connector.close()
        self.health.close()
        self._idle_streams.clear()
        for task in self._background_tasks:
            task.cancel()

    def record_connection_failure(self):
        """Record that the connection could not be opened."""
        if not self._connector.is_closed:
            self.health.record_connection_failure()

    def take_idle_stream(self) -> ClientStream | None:
        """Return an idle stream that is still open, or None."""
        while self._idle_streams:
            stream = self._idle_streams.pop()
            if not stream.is_ended:
                return stream
        return None

    async def open_stream(self) -> ClientStream:
        """Return a new stream, after connecting if necessary."""
        connection = await self._connector.connect()
        return connection.open_stream(FrameKind.RESULT)

    def release(self, stream: ClientStream):
        """Make an idle stream available to the next transaction."""
        if len(self._idle_streams) >= _IDLE_LIMIT_COUNT:
            stream.finish()
        elif not stream.is_ended:
            self._idle_streams.append(stream)

    def run_in_background(self, coroutine):
        """Run a coroutine in a task of its own and return the task."""
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def _reconnect(self):
        """Replace an unresponsive connection; running exchanges fail."""
        self._idle_streams.clear()
        self._connector.discard()

    async def _call(self, kind, reply_kind, request):
        """Send one message on a stream of its own and return the answer."""
        self.health.record_request()
        try:
            connection = await self._connector.connect()
            stream = connection.open_stream(reply_kind)
            try:
                await stream.send(kind, request)
                reply = await stream.receive()
            finally:
                stream.finish()
        finally:
            self.health.record_request_end()
        if reply is None:
            raise ConnectionResetError("the stream ended without an answer")
        self.health.record_answer()
        return reply

    async def _ping(self, timeout_ms):
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                connection = await self._connector.connect()
                await connection.ping()
        except CONNECTION_ERRORS:
            return False
        return True


class PeerClients:
    """Executors of all proxies; the local one needs no connection.

    Parameters
    ----------
    view : FleetView
    local : OwnerSet
        Executor of this process.
    compresses_between_regions : bool
        Whether to compress what is sent to proxies of other regions.
    """

    def __init__(
        self,
        view: FleetView,
        local: Executor,
        compresses_between_regions: bool = False,
    ):
        self._view = view
        self._compresses_between_regions = compresses_between_regions
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
            shares_load = self._local.loads is not None
            client = PeerClient(
                record.address,
                self._compresses(record),
                self._view.daemon if shares_load else None,
            )
            self._clients[daemon] = client
        return client

    def _compresses(self, record):
        is_remote = record.location.region != self._view.location.region
        return self._compresses_between_regions and is_remote

    def temporary_owners(self, endpoint: EndpointId) -> tuple[DaemonId, ...]:
        """Return the proxies that may serve without an assignment."""
        return self._local.temporary_owners(endpoint)

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
