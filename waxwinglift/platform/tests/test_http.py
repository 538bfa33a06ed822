"""Tests the HTTP server and client against odd requests and answers."""

import asyncio
import contextlib

import pytest

from waxwinglift.platform import _http
from waxwinglift.process import Address

_GET = b"GET /good HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


async def _handle(request):
    if request.path != "/good":
        raise KeyError(request.path)
    return _http.HttpResponse(200, b"{}")


@contextlib.asynccontextmanager
async def _serving(handle):
    address = Address("127.0.0.1", 0)
    async with _http.serving_http(address, handle) as server:
        yield Address(*server.sockets[0].getsockname())


async def _send(address, data):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    return answer


def _run_requests(*requests):
    """Return the answers, and the errors that no code has handled."""
    unhandled = []

    async def work():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, error: unhandled.append(error))
        async with _serving(_handle) as address:
            return [await _send(address, data) for data in requests]

    return asyncio.run(work()), unhandled


@pytest.mark.parametrize(
    "request_data, status",
    [
        (b"GET /bad HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 500),
        (b"HEAD /good HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 200),
        (b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"POST /good HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET /good HTTP/1.1\r\nX: " + b"x" * 17_000, 431),
    ],
    ids=[
        "failing handler",
        "response without body",
        "path that is not ASCII",
        "length that is no number",
        "large head",
    ],
)
def test_odd_request_is_answered(request_data, status):
    """The sender gets an answer, and the server goes on."""
    (answer, next_answer), unhandled = _run_requests(request_data, _GET)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert next_answer.startswith(b"HTTP/1.1 200 ")
    assert unhandled == []


@pytest.mark.parametrize(
    "body",
    [b"x" * (_http.BODY_LIMIT_BYTES + 1)],
    ids=["large body"],
)
def test_odd_response_is_a_failed_call(body):
    """A response of a faulty service must not end the caller's task."""

    async def work():
        async def answer(request):
            return _http.HttpResponse(200, body)

        async with _serving(answer) as address:
            request = _http.HttpRequest("POST", "/promote")
            await _http.call_http(address, request, {}, 5.0)

    with pytest.raises(_http.HttpFailed):
        asyncio.run(work())
