"""Memory and setup time of caller connections at one proxy.

The callers are plain sockets in the same process.  A socket object without
buffers needs well under 1 KB, so the slope mainly shows the proxy's cost.
"""

import asyncio
import contextlib
import os
import pathlib
import socket
import struct
import time

from waxwinglift.process import DaemonId
from waxwinglift.process._entry_server import EntryServer
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._fleet_view import FleetView
from waxwinglift_bench.process import _slopes_fleet
from waxwinglift_bench.process._slopes import measurement

STATM_PATH = pathlib.Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PROTOCOL_VERSION = 196608
READY_FOR_QUERY = b"Z\x00\x00\x00\x05I"
READ_BYTES = 4096


class _NoExecutors:
    """Replaces the executors, as these measurements run no statements."""

    def executor_for(self, daemon):
        return None


@contextlib.asynccontextmanager
async def _running_entry():
    fleet = _slopes_fleet.build_fleet(2, 1)
    daemon = _slopes_fleet.daemon_name(0)
    view = FleetView(
        DaemonId(daemon), _slopes_fleet.location(0), lambda: True, fleet
    )
    settings = EntrySettings(token_secret="slopes-secret")
    server = EntryServer(settings, view, _NoExecutors())
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


def _startup_packet():
    body = struct.pack("!I", PROTOCOL_VERSION)
    body += b"user\0caller\0database\0pool-0000\0\0"
    return struct.pack("!I", len(body) + 4) + body


async def _connect(address):
    loop = asyncio.get_running_loop()
    opened = socket.socket()
    opened.setblocking(False)
    await loop.sock_connect(opened, (address.host, address.port))
    await loop.sock_sendall(opened, _startup_packet())
    data = b""
    while READY_FOR_QUERY not in data:
        received = await loop.sock_recv(opened, READ_BYTES)
        if not received:
            raise ConnectionError("closed by the proxy before ReadyForQuery")
        data += received
    return opened


def _resident_bytes():
    return int(STATM_PATH.read_text().split()[1]) * PAGE_BYTES


async def _open_callers(count):
    async with _running_entry() as server:
        before_bytes = _resident_bytes()
        started_s = time.process_time()
        callers = [await _connect(server.address) for _ in range(count)]
        cpu_us = (time.process_time() - started_s) * 1e6
        grown_bytes = _resident_bytes() - before_bytes
        for caller in callers:
            caller.close()
        await asyncio.sleep(0.1)
    return grown_bytes, cpu_us


@measurement(
    "proxy: idle caller", "bytes", "caller", (500, 1500, 3000), pick=max
)
def caller_bytes(count):
    """Resident memory of a proxy for idle callers."""
    return asyncio.run(_open_callers(count))[0]


@measurement("proxy: caller's start-up", "us", "caller", (200, 1000))
def caller_startup_us(count):
    """Processor time at both ends to open caller connections."""
    return asyncio.run(_open_callers(count))[1]
