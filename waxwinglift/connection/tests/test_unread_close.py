"""Tests the close of connections with unsent bytes."""

import asyncio
import socket

import pytest

from waxwinglift.connection import _unread_close

# More than the buffers of the kernel hold.
ANSWER_BYTES = 2**23
# Size of one read of a slow caller, and the interval between two of them.
READ_BYTES = 2**20
READ_INTERVAL_S = 0.2


async def _read_answer(caller):
    """Read an answer slowly; return the number of bytes until its end."""
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    received_bytes = 0
    while True:
        part_bytes = 0
        while part_bytes < READ_BYTES:
            data = await loop.sock_recv(caller, READ_BYTES - part_bytes)
            if not data:
                return received_bytes + part_bytes
            part_bytes += len(data)
        received_bytes += part_bytes
        await asyncio.sleep(READ_INTERVAL_S)


@pytest.mark.parametrize(
    ("pause_s", "is_complete"),
    [
        pytest.param(0.0, True, id="slow"),
        pytest.param(2.0, False, id="frozen"),
    ],
)
def test_only_a_caller_that_does_not_read_is_aborted(
    monkeypatch, pause_s, is_complete
):
    # A slow caller must get its whole answer; a frozen one would keep the
    # connection open.
    monkeypatch.setattr(_unread_close, "UNREAD_TIMEOUT_S", 1.0)

    async def work():
        accepted = asyncio.get_running_loop().create_future()
        server = await asyncio.start_server(
            lambda _, writer: accepted.set_result(writer), "127.0.0.1", 0
        )
        async with server:
            with socket.create_connection(
                server.sockets[0].getsockname()
            ) as caller:
                writer = await accepted
                writer.write(bytes(ANSWER_BYTES))
                _unread_close.close_transport(writer.transport)
                await asyncio.sleep(pause_s)
                try:
                    return await _read_answer(caller)
                except ConnectionResetError:
                    return 0

    assert (asyncio.run(work()) == ANSWER_BYTES) is is_complete
