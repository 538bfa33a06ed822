"""Stand-in for the promotion service of the platform."""

import asyncio
import contextlib
import json

from standin._common import read_head


@contextlib.asynccontextmanager
async def promotion_service(services, record):
    """Serve ``POST /promote``; yield the address."""

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            line, headers, body = await read_head(reader)
            values = json.loads(body)
            token = int(headers["fencing-token"])
            service = services.get(values["service"])
            status = 404
            if service is not None:
                status = await service.promote(values["id"], token)
            record.write("POST /promote", values, "token", token, "->", status)
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                b"Content-Length: 2\r\n\r\n{}" % status
            )
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[:2]
    finally:
        server.close()
