"""Tests a proxy process against PostgreSQL callers that misbehave.

Checked is only what does not depend on the speed of the machine: the process
lives, its memory and descriptors stay under a bound, and an ordinary request
is answered afterwards.
"""

import asyncio
import contextlib
import dataclasses
import importlib.util
import pathlib
import struct
import time

import psycopg
import pytest

from waxwinglift.platform.tests.process_fleet import read_use
from waxwinglift.process._data_path_settings import EntrySettings

_MIB = 2**20
# Memory of the smallest VM.
_RESIDENT_LIMIT_BYTES = 152_000_000
_CONNECTION_LIMIT_COUNT = 40
# Connections of callers, and those that the proxy uses itself.
_DESCRIPTORS_LIMIT_COUNT = _CONNECTION_LIMIT_COUNT + 40
_CROWD_S = 4.0
_WAIT_S = 40.0
_POOL = "payouts"
_TABLE = (
    "rank,weight,floor_percent,limit_count,queue_limit_count,deadline_ms\n"
    "urgent,6,0,0,1000,5000\n"
)
_DEMO = pathlib.Path(__file__).parents[3] / "scripts" / "demo_fleet.py"


def _message(kind, payload):
    return kind + struct.pack("!I", len(payload) + 4) + payload


def _query(text):
    return _message(b"Q", text + b"\0")


_START = b"user\0crowd\0database\0payouts\0\0"
_STARTUP = struct.pack("!II", len(_START) + 8, 3 << 16) + _START
_LARGE = _query(b"SELECT 1 --" + b"x" * 15 * _MIB)


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Callers that send ``data`` ``repeat_count`` times and never read."""

    callers_count: int
    data: bytes = b""
    repeat_count: int = 1
    start: bytes = _STARTUP
    piece_bytes: int = _MIB


CROWDS = {
    "unfinished statements": Crowd(12, _LARGE[: 14 * _MIB]),
    "large statements at once": Crowd(12, _LARGE),
    "large statements in small pieces": Crowd(12, _LARGE, piece_bytes=20_000),
    "unfinished exchanges": Crowd(
        12, _message(b"P", b"\0SELECT 1 --" + b"x" * _MIB + b"\0\0\0"), 14
    ),
    "messages over the limit": Crowd(12, b"Q\x7f\xff\xff\xff", 16),
    "statements sent ahead": Crowd(12, _query(b"SELECT 1") * 10_000, 4),
    "silent connections": Crowd(120, start=b""),
    "unfinished start-up messages": Crowd(120, start=_STARTUP[:-1]),
}


def _load_demo_fleet():
    spec = importlib.util.spec_from_file_location("demo_fleet", _DEMO)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _limits_text():
    """Return the settings that the code knows."""
    if "caller_limits" not in EntrySettings.model_fields:
        return ""
    count = _CONNECTION_LIMIT_COUNT
    return f"[entry.caller_limits]\nconnection_limit_count = {count}\n"


def _wait_for(description, condition):
    deadline_s = time.monotonic() + _WAIT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"timed out while waiting for {description}")
        time.sleep(0.2)


def _can_edit_pool(fleet, path):
    edit = ("pool", "edit", _POOL, "--group", "ledger", "--file", str(path))
    options = ("--expect", "0", "--edit-id", "create")
    return fleet.run_operator(*edit, *options).returncode == 0


def _can_query(port):
    with contextlib.suppress(psycopg.Error):
        with psycopg.connect(
            host="127.0.0.1",
            port=port,
            user="ordinary",
            dbname=_POOL,
            connect_timeout=5,
            autocommit=True,
        ) as connection:
            return connection.execute("SELECT 1").fetchone() is not None
    return False


async def _run_caller(crowd, port):
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.transport.pause_reading()
        try:
            writer.write(crowd.start)
            for _ in range(crowd.repeat_count):
                for start in range(0, len(crowd.data), crowd.piece_bytes):
                    end = start + crowd.piece_bytes
                    writer.write(crowd.data[start:end])
                    await writer.drain()
            await asyncio.sleep(3600)
        finally:
            writer.transport.abort()


async def _run_crowd(crowd, port, pid):
    """Run a crowd; return the uses of the process meanwhile."""
    callers = [
        asyncio.ensure_future(_run_caller(crowd, port))
        for _ in range(crowd.callers_count)
    ]
    uses = []
    request = asyncio.ensure_future(_request_at_last(port))
    try:
        while not request.done():
            uses.append(read_use(pid))
            await asyncio.sleep(0.05)
        request.result()
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    return uses


async def _request_at_last(port):
    await asyncio.sleep(_CROWD_S)
    await asyncio.to_thread(
        _wait_for, "an ordinary request", lambda: _can_query(port)
    )


@pytest.mark.parametrize("name", CROWDS)
def test_crowd(name, tmp_path):
    """A crowd must neither exhaust a proxy nor keep others from it."""
    demo = _load_demo_fleet()
    sizes = {"control_count": 1, "proxies_count": 1}
    with demo.running_fleet(tmp_path, _limits_text(), **sizes) as fleet:
        path = tmp_path / "pool.csv"
        path.write_text(_TABLE, encoding="utf-8")
        port = fleet.ports.caller_ports[0]
        _wait_for("the pool", lambda: _can_edit_pool(fleet, path))
        _wait_for("the first request", lambda: _can_query(port))
        pid = fleet.pids()["proxy-0"]
        uses = [read_use(pid)]
        uses += asyncio.run(_run_crowd(CROWDS[name], port, pid))
        resident_bytes = max(use.resident_bytes for use in uses)
        descriptors_count = max(use.descriptors_count for use in uses)
        print(
            f"{uses[0].resident_bytes / 1e6:.0f} MB before, at most "
            f"{resident_bytes / 1e6:.0f} MB, {descriptors_count} descriptors"
        )
        assert resident_bytes <= _RESIDENT_LIMIT_BYTES
        assert descriptors_count <= _DESCRIPTORS_LIMIT_COUNT
