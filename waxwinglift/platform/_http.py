"""HTTP/1.1 over asyncio streams, with `h11` as the codec."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import logging

import h11

from waxwinglift.connection._unread_close import close_transport
from waxwinglift.process import Address
from waxwinglift.process._caller_guard import CallerGuard
from waxwinglift.process._caller_limit_settings import HttpLimitSettings
from waxwinglift.process._caller_limits import HeldBytes
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._listener import open_listener

logger = logging.getLogger(__name__)

_READ_BYTES = 2**16
# Maximum size of a body, which is read into memory.
BODY_LIMIT_BYTES = 2**20
HEAD_LIMIT_BYTES = 2**14
# Timeout of a single read of a response.
_READ_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body."""

    method: str
    path: str
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its complete body."""

    status: int
    body: bytes = b""


class BodyTooLarge(Exception):
    """A body exceeds the limit."""


class HttpFailed(Exception):
    """A call got no complete response; it may have taken effect."""


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _ServerConnection(asyncio.StreamReaderProtocol):
    """Connection of one client, whose bytes are counted."""

    def __init__(self, serve, guard):
        loop = asyncio.get_running_loop()
        super().__init__(asyncio.StreamReader(_READ_BYTES, loop), serve, loop)
        self.body_bytes = 0
        self.requests_count = 0
        self.is_receiving = False
        self._guard = guard
        self._key = None
        self._client_transport = None

    def connection_made(self, transport):
        """Count the connection, then start to serve it."""
        self._client_transport = transport
        self._key = self._guard.add(self)
        if not transport.is_closing():
            super().connection_made(transport)

    def connection_lost(self, exc):
        """End the connection; what it holds no longer counts."""
        self._guard.remove(self._key)
        super().connection_lost(exc)

    def held_bytes(self) -> HeldBytes:
        """Return what the connection holds now."""
        # A request without bytes of a body is incomplete as well.
        incomplete_bytes = self.body_bytes + int(self.is_receiving)
        unsent_bytes = self._client_transport.get_write_buffer_size()
        return HeldBytes(
            incomplete_bytes, 0, unsent_bytes, self.requests_count
        )

    def hold_reading(self, is_held: bool):
        """Do nothing: asyncio bounds what is read ahead of the codec."""

    def abort(self):
        """Close the connection and discard what it holds."""
        self._client_transport.abort()

    def update(self):
        """Count what the connection holds now."""
        self._guard.update(self._key)

    def finish_request(self):
        """Record that a request has arrived completely."""
        self.is_receiving = False
        self.body_bytes = 0
        self.requests_count += 1
        self._guard.start(self._key)


@contextlib.asynccontextmanager
async def serving_http(
    address: Address,
    handle: Handler,
    limits: HttpLimitSettings | None = None,
    metrics: Metrics | None = None,
    body_limit: Callable[[str], int] = lambda path: BODY_LIMIT_BYTES,
):
    """Answer requests with ``handle`` while the context is open.

    ``body_limit`` returns the largest body of a request by its path.
    """
    tasks = set()
    limits = limits or HttpLimitSettings()
    guard = CallerGuard(
        limits.caller_limits(), monotonic_ms, metrics or NoMetrics(), "http"
    )

    async def serve(reader, writer):
        task = asyncio.current_task()
        tasks.add(task)
        try:
            client = _Client(reader, writer, limits, body_limit)
            await client.serve(handle)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            # The client has disconnected or does not use HTTP.
            pass
        finally:
            tasks.discard(task)
            close_transport(writer.transport)

    server = await open_listener(
        lambda: _ServerConnection(serve, guard), address.host, address.port
    )
    try:
        yield server
    finally:
        server.close()
        for task in tasks:
            task.cancel()


class _Client:
    """Serves the requests of one connection."""

    def __init__(self, reader, writer, limits, body_limit):
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._body_limit = body_limit
        self._held = writer.transport.get_protocol()
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )

    async def serve(self, handle):
        """Serve requests until the client leaves or does not use HTTP."""
        while True:
            has_body = True
            head = await self._read_head()
            if head is None:
                return
            if isinstance(head, HttpResponse):
                response = head
            else:
                response = await self._respond(handle, head)
                has_body = head.method != b"HEAD"
            self._held.finish_request()
            _write_response(self._codec, self._writer, response, has_body)
            self._held.update()
            await self._writer.drain()
            if self._codec.our_state is not h11.DONE:
                return
            if self._codec.their_state is not h11.DONE:
                return
            self._codec.start_next_cycle()

    async def _read_head(self):
        """Return the head of a request, the response if it cannot be read.

        None if the client has left.
        """
        timeout_s = self._limits.request_timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                head = await _next_event(self._codec, self._reader)
        except h11.RemoteProtocolError as error:
            # The client does not use HTTP, or its head is too large.
            return HttpResponse(error.error_status_hint)
        return head if isinstance(head, h11.Request) else None

    async def _respond(self, handle, head):
        """Read the rest of a request and return its response."""
        path = head.target.decode()
        timeout_s = self._limits.request_timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                body = await _read_body(
                    self._codec,
                    self._reader,
                    self._body_limit(path),
                    self._count_body,
                )
        except BodyTooLarge:
            return HttpResponse(413)
        except h11.RemoteProtocolError as error:
            return HttpResponse(error.error_status_hint)
        request = HttpRequest(head.method.decode(), path, body)
        try:
            return await handle(request)
        except Exception:
            logger.exception(
                "failed to handle %s %s", request.method, request.path[:100]
            )
            return HttpResponse(500)

    def _count_body(self, size_bytes):
        self._held.is_receiving = True
        self._held.body_bytes = size_bytes
        self._held.update()


def _ignore_size(size_bytes):
    pass


async def _read_body(connection, reader, limit_bytes, count=_ignore_size):
    """Return the body; ``count`` is called with the bytes received so far."""
    body = bytearray()
    while True:
        event = await _next_event(connection, reader)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the body ended early")
        if len(body) + len(event.data) > limit_bytes:
            raise BodyTooLarge
        body += event.data
        count(len(body))


async def _next_event(connection, reader):
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await reader.read(_READ_BYTES))


def _write_response(connection, writer, response, has_body):
    head = h11.Response(
        status_code=response.status,
        headers=[
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
        ],
    )
    events = [head, h11.EndOfMessage()]
    if has_body:
        events.insert(1, h11.Data(response.body))
    for event in events:
        writer.write(connection.send(event))


async def call_http(
    address: Address,
    request: HttpRequest,
    headers: dict[str, str],
    timeout_s: float,
) -> HttpResponse:
    """Send one request over a new connection.

    Raises
    ------
    HttpFailed
        There was no complete response within ``timeout_s`` seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, request, headers)
    except BodyTooLarge as error:
        raise HttpFailed("the response is too large") from error
    except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
        raise HttpFailed(str(error) or "no response in time") from error


async def _call(address, request, headers):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        connection = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=[
                ("Host", str(address)),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(request.body))),
                *headers.items(),
            ],
        )
        for event in (head, h11.Data(request.body), h11.EndOfMessage()):
            writer.write(connection.send(event))
        async with asyncio.timeout(_READ_TIMEOUT_S):
            answer = await _next_event(connection, reader)
        if not isinstance(answer, h11.Response):
            raise h11.RemoteProtocolError("no response")
        async with asyncio.timeout(_READ_TIMEOUT_S):
            body = await _read_body(connection, reader, BODY_LIMIT_BYTES)
        return HttpResponse(answer.status_code, body)
    finally:
        writer.close()
