"""HTTP/1.1 over asyncio streams, with `h11` as the codec."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import logging

import h11

from waxwinglift.process import Address

logger = logging.getLogger(__name__)

_READ_BYTES = 2**16
# Maximum size of a body, which is read into memory.
BODY_LIMIT_BYTES = 2**20
# Timeouts of single reads: for the head of a request, and for a body or a
# response.
_IDLE_TIMEOUT_S = 30.0
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


@contextlib.asynccontextmanager
async def serving_http(address: Address, handle: Handler):
    """Answer requests with ``handle`` while the context is open."""
    tasks = set()

    async def serve(reader, writer):
        task = asyncio.current_task()
        tasks.add(task)
        try:
            await _serve_connection(reader, writer, handle)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            # The client has disconnected or does not use HTTP.
            pass
        finally:
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(serve, address.host, address.port)
    try:
        yield server
    finally:
        server.close()
        for task in tasks:
            task.cancel()


async def _serve_connection(reader, writer, handle):
    connection = h11.Connection(h11.SERVER)
    while True:
        head = await _read_head(connection, reader)
        if head is None:
            return
        has_body = True
        if isinstance(head, HttpResponse):
            response = head
        else:
            response = await _respond(connection, reader, handle, head)
            has_body = head.method != b"HEAD"
        _write_response(connection, writer, response, has_body)
        await writer.drain()
        if connection.our_state is not h11.DONE:
            return
        if connection.their_state is not h11.DONE:
            return
        connection.start_next_cycle()


async def _read_head(connection, reader):
    """Return the head of a request, the response if it cannot be read.

    None if the client has left.
    """
    try:
        head = await _next_event(connection, reader, _IDLE_TIMEOUT_S)
    except h11.RemoteProtocolError as error:
        # The client does not use HTTP, or its head is too large.
        return HttpResponse(error.error_status_hint)
    return head if isinstance(head, h11.Request) else None


async def _respond(connection, reader, handle, head):
    """Read the rest of a request and return its response."""
    try:
        body = await _read_body(connection, reader)
        request = HttpRequest(head.method.decode(), head.target.decode(), body)
    except BodyTooLarge:
        return HttpResponse(413)
    except h11.RemoteProtocolError as error:
        return HttpResponse(error.error_status_hint)
    try:
        return await handle(request)
    except Exception:
        logger.exception(
            "failed to handle %s %s", request.method, request.path[:100]
        )
        return HttpResponse(500)


async def _read_body(connection, reader):
    parts = []
    size_bytes = 0
    while True:
        event = await _next_event(connection, reader, _READ_TIMEOUT_S)
        if isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the body ended early")
        size_bytes += len(event.data)
        if size_bytes > BODY_LIMIT_BYTES:
            raise BodyTooLarge
        parts.append(bytes(event.data))


async def _next_event(connection, reader, timeout_s):
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        async with asyncio.timeout(timeout_s):
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
        answer = await _next_event(connection, reader, _READ_TIMEOUT_S)
        if not isinstance(answer, h11.Response):
            raise h11.RemoteProtocolError("no response")
        body = await _read_body(connection, reader)
        return HttpResponse(answer.status_code, body)
    finally:
        writer.close()
