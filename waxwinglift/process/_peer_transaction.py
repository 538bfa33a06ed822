"""One transaction at another proxy, on a stream of its own."""

import asyncio
import contextlib
import dataclasses

from waxwinglift.connection import TransactionStatus
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Sink
from waxwinglift.process._load_codec import decode_loads
from waxwinglift.process._peer_client_connection import ClientStream
from waxwinglift.process._peer_client_connection import OPEN_TIMEOUT_S
from waxwinglift.process._peer_codec import decode_result
from waxwinglift.process._peer_codec import encode_exchange
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import FrameTooLargeError
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run

# Errors of a connection that cannot be opened or has ended.
CONNECTION_ERRORS = (OSError, asyncio.TimeoutError)


class PeerTransaction:
    """One transaction at another proxy.

    Parameters
    ----------
    client : PeerClient
        Provides the stream, and records whether the proxy answers.
    header : ExecuteHeader
    """

    def __init__(self, client, header: ExecuteHeader):
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
            except CONNECTION_ERRORS as error:
                self._client.record_connection_failure()
                return ExchangeEnd(
                    failure=unreachable_failure(error),
                    is_owner_unreachable=True,
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
        except CONNECTION_ERRORS as error:
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
        with contextlib.suppress(*CONNECTION_ERRORS):
            frame = peer_pb2.ExecuteFrame(cancel=True)
            await stream.send(FrameKind.EXECUTE, frame)


def unreachable_failure(error):
    """Return the failure of a request to a proxy without a connection."""
    message = f"the endpoint's owner cannot be reached: {error}"
    return not_run(FailureCode.UNAVAILABLE, message)
