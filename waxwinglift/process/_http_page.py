"""HTTP server for a page that is generated at each ``GET`` request."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

from waxwinglift.process._types import Address

_REQUEST_LIMIT_BYTES = 4096
_REQUEST_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Response: status line, content type and body."""

    status: str
    content_type: str
    body: bytes


@contextlib.asynccontextmanager
async def serving_page(address: Address, make_page: Callable[[], Page]):
    """Serve a page while the context is open.

    Parameters
    ----------
    address : Address
        Address to listen on.
    make_page : callable
        Returns the `Page` that answers a request.
    """

    async def answer(reader, writer):
        # asyncio would report a cancelled handler as an error, although the
        # server is only being stopped.
        try:
            with contextlib.suppress(
                OSError, asyncio.TimeoutError, asyncio.CancelledError
            ):
                await _answer(reader, writer, make_page)
        finally:
            writer.close()

    server = await asyncio.start_server(answer, address.host, address.port)
    async with server:
        yield server


async def _answer(reader, writer, make_page):
    request = await asyncio.wait_for(
        reader.read(_REQUEST_LIMIT_BYTES), _REQUEST_TIMEOUT_S
    )
    if not request.startswith(b"GET "):
        writer.write(b"HTTP/1.0 405 Method Not Allowed\r\n\r\n")
        return
    page = make_page()
    head = (
        f"HTTP/1.0 {page.status}\r\nContent-Type: {page.content_type}\r\n"
        f"Content-Length: {len(page.body)}\r\n\r\n"
    )
    writer.write(head.encode() + page.body)
    await writer.drain()
