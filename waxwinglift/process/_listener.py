"""Ends listening servers without leaving connections open."""

import asyncio


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
