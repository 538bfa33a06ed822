"""Tests processes against crowds of callers that misbehave.

Each row starts a control daemon and a proxy with lowered limits.  Checked is
only what does not depend on the speed of the machine: the process lives, its
memory and descriptors stay under a bound, and an ordinary request is answered
afterwards.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

import pytest

from waxwinglift.platform.tests.process_fleet import count_connections
from waxwinglift.platform.tests.process_fleet import ProcessUse
from waxwinglift.platform.tests.process_fleet import read_use
from waxwinglift.platform.tests.process_fleet import running_process_fleet
from waxwinglift.platform.tests.process_fleet import wait_for

_MIB = 2**20
# Largest data of a line, without the words in front of it.
_DATA = b"x" * 1_000_000
_STARTUP = b"STARTUP payouts crowd\r\n"
_WRITE = b"QUERY id1 WRITE item " + _DATA + b"\r\n"
_READ = b"QUERY id1 READ item\r\n"
_POST = b"POST /Instances.Heartbeat/s9 HTTP/1.1\r\nHost: a\r\n"
_LIMITS = {
    "caller_limits": {
        "budget_bytes": 8 * _MIB,
        "message_timeout_ms": 2000.0,
        "read_timeout_ms": 2000.0,
        "startup_timeout_ms": 2000.0,
    },
    "http_limits": {"budget_bytes": 4 * _MIB, "request_timeout_ms": 2000.0},
}
# The budget, twice that for the copies that one step of the work makes, and
# 16 MiB for the memory that the allocator keeps.
_GROWTH_LIMIT_BYTES = 40 * _MIB
# The limit of 96 that the daemons are started with, with a few left.
_DESCRIPTORS_LIMIT_COUNT = 90


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that send ``data`` ``repeat_count`` times and never read.

    ``role`` names the process that is checked.  With ``is_reduced`` the
    process must close the connections of the crowd at last.
    """

    role: str
    clients_count: int
    data: bytes = b""
    repeat_count: int = 1
    start: bytes = b""
    piece_bytes: int = _MIB
    is_reduced: bool = False


CROWDS = {
    "unfinished lines": Crowd("proxy", 40, _WRITE[:-2], start=_STARTUP),
    "unfinished lines before the start": Crowd("proxy", 40, _WRITE[:-2]),
    "large lines sent ahead": Crowd("proxy", 12, _WRITE, 16, _STARTUP),
    "large lines in small pieces": Crowd(
        "proxy", 12, _WRITE, 4, _STARTUP, piece_bytes=4000
    ),
    "many small lines sent ahead": Crowd(
        "proxy", 12, b"\r\n" * _MIB, 2, _STARTUP
    ),
    "lines over the limit": Crowd("proxy", 12, _DATA, 8, _STARTUP),
    "answers that are not read": Crowd("proxy", 40, _READ, 64, _STARTUP),
    "lines that never end": Crowd(
        "proxy", 24, b"QUERY", start=_STARTUP, is_reduced=True
    ),
    "answers not read at all": Crowd(
        "proxy", 24, _READ, 512, _STARTUP, is_reduced=True
    ),
    "silent connections": Crowd("proxy", 120),
    "unfinished bodies": Crowd(
        "control", 60, _DATA, start=_POST + b"Content-Length: 1048000\r\n\r\n"
    ),
    "chunks without end": Crowd(
        "control",
        24,
        b"8\r\n12345678\r\n" * 100_000,
        2,
        start=_POST + b"Transfer-Encoding: chunked\r\n\r\n",
    ),
    "heads over the limit": Crowd("control", 60, b"X: " + _DATA, start=_POST),
    "heads that never end": Crowd(
        "control", 24, b"X: 1\r\n", start=_POST, is_reduced=True
    ),
    "bodies that never end": Crowd(
        "control",
        24,
        b"{",
        start=_POST + b"Content-Length: 100\r\n\r\n",
        is_reduced=True,
    ),
    "silent HTTP connections": Crowd("control", 120),
}


async def _send_data(crowd, address):
    """Send the data of one client, then wait for the end."""
    reader, writer = await asyncio.open_connection(
        address.host, address.port, limit=1
    )
    # A client that does not read: nothing is taken from its socket.
    writer.transport.pause_reading()
    try:
        writer.write(crowd.start)
        for _ in range(crowd.repeat_count):
            for start in range(0, len(crowd.data), crowd.piece_bytes):
                writer.write(crowd.data[start : start + crowd.piece_bytes])
                await writer.drain()
        await asyncio.sleep(3600)
    finally:
        writer.transport.abort()


async def _run_client(crowd, address):
    with contextlib.suppress(OSError):
        await _send_data(crowd, address)


@contextlib.asynccontextmanager
async def _running_crowd(crowd, address):
    clients = [
        asyncio.ensure_future(_run_client(crowd, address))
        for _ in range(crowd.clients_count)
    ]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def _watch(pid, record: Callable[[ProcessUse], None]):
    while True:
        record(read_use(pid))
        await asyncio.sleep(0.05)


# Time in which a crowd sends; a slow machine makes the test weaker, not red.
_CROWD_S = 4.0


async def _check(crowd):
    async with running_process_fleet(_LIMITS) as fleet:
        text = f"item {_DATA.decode()}"
        await wait_for("a large item", lambda: fleet.can_write(text))
        process = fleet.processes[crowd.role]
        is_proxy = crowd.role == "proxy"
        address = fleet.callers if is_proxy else fleet.control
        request = fleet.can_write if is_proxy else fleet.can_configure
        before = read_use(process.pid)
        uses = [before]
        watching = asyncio.ensure_future(_watch(process.pid, uses.append))
        try:
            async with _running_crowd(crowd, address):
                await asyncio.sleep(_CROWD_S)
                await wait_for("an ordinary request", request)
                if crowd.is_reduced:
                    await wait_for(
                        "the crowd's connections to be closed",
                        lambda: _has_no_connection(address),
                    )
        finally:
            watching.cancel()
            growth_bytes = max(use.resident_bytes for use in uses)
            growth_bytes -= before.resident_bytes
            descriptors_count = max(use.descriptors_count for use in uses)
            print(
                f"{crowd.role}: {before.resident_bytes / _MIB:.0f} MiB before,"
                f" grown by {growth_bytes / _MIB:.0f} MiB, "
                f"{descriptors_count} descriptors, exit {process.poll()}"
            )
        assert process.poll() is None
        assert growth_bytes <= _GROWTH_LIMIT_BYTES
        assert descriptors_count <= _DESCRIPTORS_LIMIT_COUNT


async def _has_no_connection(address):
    return count_connections(address) == 0


@pytest.mark.parametrize("name", CROWDS)
def test_crowd(name):
    """A crowd must neither exhaust a process nor keep others from it."""
    asyncio.run(_check(CROWDS[name]))
