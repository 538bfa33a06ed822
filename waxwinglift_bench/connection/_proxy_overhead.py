"""Benchmark of simple queries, direct and through one or two proxies.

Run it with ``python -m waxwinglift_bench.connection._proxy_overhead``.
Callers, proxies and stand-in servers share one event loop, so the figures
include the cost of all of them.  Only ratios within one run are meaningful.
"""

import asyncio
import dataclasses
import struct
import time

import click
from pygwire.messages import Query
from pygwire.messages import StartupMessage

from waxwinglift.process.tests.data_path_fleet import POOL
from waxwinglift.process.tests.data_path_fleet import running_fleet

_MESSAGE_HEADER = struct.Struct("!cI")
_READY = b"Z"
_WARM_UP_COUNT = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Throughput and latency of one path."""

    path: str
    queries_per_s: float
    p50_ms: float
    p99_ms: float


class RawCaller:
    """Caller that reads answers without decoding them."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._buffer = b""

    async def run(self, message):
        """Send a message and read until ReadyForQuery."""
        self._writer.write(message)
        while True:
            self._buffer += await self._reader.read(65536)
            if self._consume_messages():
                return

    def close(self):
        """Close the connection."""
        self._writer.close()

    def _consume_messages(self):
        start = 0
        is_ready = False
        while len(self._buffer) - start >= _MESSAGE_HEADER.size:
            kind, length = _MESSAGE_HEADER.unpack_from(self._buffer, start)
            if start + 1 + length > len(self._buffer):
                break
            start += 1 + length
            is_ready = is_ready or kind == _READY
        self._buffer = self._buffer[start:]
        return is_ready


async def connect(address, database):
    """Return a caller that has completed the startup handshake."""
    stream = await asyncio.open_connection(address.host, address.port)
    caller = RawCaller(*stream)
    startup = StartupMessage(params={"user": "bench", "database": database})
    await caller.run(startup.to_wire())
    return caller


async def measure(path, address, database, caller_count, query_count, text):
    """Run one query repeatedly on several connections; return a Sample."""
    message = Query(query_string=text).to_wire()
    callers = [await connect(address, database) for _ in range(caller_count)]
    times_ms = []

    async def run_queries(caller):
        for _ in range(query_count):
            started_s = time.perf_counter()
            await caller.run(message)
            times_ms.append((time.perf_counter() - started_s) * 1000)

    for caller in callers:
        for _ in range(_WARM_UP_COUNT):
            await caller.run(message)
    started_s = time.perf_counter()
    await asyncio.gather(*(run_queries(caller) for caller in callers))
    elapsed_s = time.perf_counter() - started_s
    for caller in callers:
        caller.close()
    times_ms.sort()
    return Sample(
        path,
        len(times_ms) / elapsed_s,
        times_ms[len(times_ms) // 2],
        times_ms[len(times_ms) * 99 // 100],
    )


async def compare(caller_count, query_count, text):
    """Measure all paths one after another and return the samples."""
    samples = []
    async with running_fleet(2, group={"slots_count": 100}) as fleet:
        servers, (remote, local) = fleet
        paths = (
            ("direct", servers[1].address, "group"),
            ("one proxy", local.entry.address, POOL),
            ("two proxies", remote.entry.address, POOL),
        )
        for path, address, database in paths:
            sample = await measure(
                path, address, database, caller_count, query_count, text
            )
            samples.append(sample)
    return samples


@click.command()
@click.option(
    "--callers",
    default=4,
    show_default=True,
    help="Number of concurrent connections.",
)
@click.option(
    "--queries",
    default=1000,
    show_default=True,
    help="Number of queries of each connection.",
)
@click.option(
    "--text",
    default="SELECT 1",
    show_default=True,
    help="SQL text of the query.",
)
def main(callers, queries, text):
    """Print queries per second and latencies of each path."""
    samples = asyncio.run(compare(callers, queries, text))
    direct = samples[0]
    for sample in samples:
        ratio = direct.queries_per_s / sample.queries_per_s
        click.echo(
            f"{sample.path:12} {sample.queries_per_s:8.0f}/s "
            f"p50 {sample.p50_ms:6.3f} ms p99 {sample.p99_ms:6.3f} ms "
            f"direct/this path {ratio:5.2f}, p50 ratio "
            f"{sample.p50_ms / direct.p50_ms:5.2f}"
        )


if __name__ == "__main__":
    main()
