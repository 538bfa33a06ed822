"""Starts listening servers, and ends them without open connections."""

import asyncio
import socket

_BACKLOG_COUNT = 1024
# Connections accepted in one iteration of the loop.
_ACCEPT_COUNT = 16


async def close_listener(server: asyncio.Server):
    """Stop accepting connections and close the listening sockets.

    Python 3.11 gives an accepted connection its transport in the next
    iteration of the loop, and leaves the socket open if the server is closed
    by then.  So the sockets are closed one iteration after the last accept.
    """
    stop_accepting(server)
    await asyncio.sleep(0)
    server.close()


def stop_accepting(server: asyncio.Server):
    """Accept no further connections until the server is closed.

    Close it in the next iteration of the loop or later.
    """
    loop = asyncio.get_running_loop()
    for listener in server.sockets:
        loop.remove_reader(listener)


async def open_listener(make_protocol, host: str, port: int) -> asyncio.Server:
    """Start to listen for connections of callers and return the server.

    asyncio accepts up to ``backlog`` connections in one iteration of the
    loop, before any of them can be closed for the limit of connections, so
    this number is small.  The kernel's queue is set separately.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make_protocol, sock=listener, backlog=_ACCEPT_COUNT
    )
    listener.listen(_BACKLOG_COUNT)
    return server
