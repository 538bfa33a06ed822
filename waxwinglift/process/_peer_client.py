"""Runs transactions at other proxies, over one connection per peer."""

import asyncio
import contextlib
import dataclasses

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
from waxwinglift.process._load_codec import decode_loads
from waxwinglift.process._peer_cancel import send_cancel_request
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._peer_client_connection import ClientStream
from waxwinglift.process._peer_client_connection import OPEN_TIMEOUT_S
from waxwinglift.process._peer_client_connection import PeerConnector
from waxwinglift.process._peer_codec import decode_failure
from waxwinglift.process._peer_codec import decode_position
from waxwinglift.process._peer_codec import decode_quota_answer
from waxwinglift.process._peer_codec import decode_result
from waxwinglift.process._peer_codec import encode_exchange
from waxwinglift.process._peer_frames import CONNECTION_STREAM
from waxwinglift.process._peer_frames import encode_body
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import FrameTooLargeError
from waxwinglift.process._peer_health import PeerHealth
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.request._quota import QuotaAnswer
from waxwinglift.version import GroupName
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version._types import WorkspaceName

# Idle streams kept open per peer.
_IDLE_LIMIT_COUNT = 64
_POSITION_TIMEOUT_S = 2.0
_CONNECTION_ERRORS = (OSError, asyncio.TimeoutError)


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

    def open(self, header: ExecuteHeader) -> "PeerTransaction":
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
        except _CONNECTION_ERRORS as error:
            return Err(_unreachable(error))
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
        except (ValueError, *_CONNECTION_ERRORS) as error:
            return Err(not_run(FailureCode.UNAVAILABLE, repr(error)))

    def send_loads(self, report):
        """Send a LoadReport, unless the last one is still being sent."""
        if self._load_task is None or self._load_task.done():
            self._load_task = self.run_in_background(self._send_loads(report))

    async def _send_loads(self, report):
        with contextlib.suppress(*_CONNECTION_ERRORS):
            connection = await self._connector.connect()
            body = encode_body(report)
            frame = encode_frame(FrameKind.LOAD, CONNECTION_STREAM, body)
            connection.write(frame)

    async def cancel(self, key: CancelKey):
        """Cancel the running statement of a session, ignoring errors."""
        with contextlib.suppress(*_CONNECTION_ERRORS):
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
        except _CONNECTION_ERRORS:
            return False
        return True


class PeerTransaction:
    """One transaction at another proxy."""

    def __init__(self, client: PeerClient, header: ExecuteHeader):
        self._client = client
        self._header = header
        self._stream: ClientStream | None = None
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
                self._client.record_connection_failure()
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
            frame = encode_exchange(exchange, header)
            await self._send(frame)
            return await self._receive(sink)
        except FrameTooLargeError as error:
            failure = not_run(FailureCode.TOO_LARGE, str(error))
            return ExchangeEnd(failure=failure)
        except _CONNECTION_ERRORS as error:
            message = f"the connection to the endpoint's owner ended: {error}"
            return ExchangeEnd(
                failure=may_have_run(message), is_owner_unreachable=True
            )

    def cancel(self):
        """Cancel the running exchange."""
        # The cancel may arrive late, so the stream is not reused.
        self._is_cancelled = True
        if self._stream is not None:
            coroutine = self._send_cancel(self._stream)
            self._cancel_task = self._client.run_in_background(coroutine)

    async def close(self):
        """End the transaction; an open block is rolled back."""
        stream, self._stream = self._stream, None
        if stream is None:
            return
        is_reusable = not self._may_be_open and not self._is_cancelled
        if is_reusable:
            self._client.release(stream)
        else:
            stream.finish()

    async def _open(self):
        self._stream = self._client.take_idle_stream()
        if self._stream is not None:
            return
        deadline_left_s = self._header.deadline_left_ms / 1000
        # A network partition causes no error, so the attempt needs a limit.
        async with asyncio.timeout(min(deadline_left_s, OPEN_TIMEOUT_S)):
            self._stream = await self._client.open_stream()

    async def _send(self, frame):
        headers = self._stream.headers
        has_header = frame.HasField("header")
        if has_header:
            headers.omit_repeats(frame.header)
        await self._stream.send(FrameKind.EXECUTE, frame)
        if has_header:
            headers.record_sent()

    async def _receive(self, sink):
        while True:
            reply = await self._stream.receive()
            if reply is None:
                raise ConnectionResetError(
                    "the stream ended before the answer was complete"
                )
            self._client.health.record_answer()
            if reply.messages:
                await sink(reply.messages)
            if reply.keeps_headers:
                self._stream.headers.are_kept = True
            if reply.reads_compressed:
                self._stream.connection.on_compression_accepted()
            if reply.HasField("end"):
                return self._record_end(self._decode_end(reply))

    def _decode_end(self, reply):
        end = decode_result(reply)
        if not reply.end.loads:
            return end
        self._client.takes_loads = True
        loads = decode_loads(
            reply.end.loads, monotonic_ms(), self._header.endpoint
        )
        return dataclasses.replace(end, loads=loads)

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
            frame = peer_pb2.ExecuteFrame(cancel=True)
            await stream.send(FrameKind.EXECUTE, frame)


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
