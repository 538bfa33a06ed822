"""Measures idle cost and the propagation time of edits in real processes.

Starts three control daemons, eight proxies and one group of three stand-in
servers on loopback; the arguments change the numbers of proxies and servers.
Prints processor time and resident memory of each process and the time until
every proxy has applied an accepted edit.  With two proxies and 12 endpoints,
each proxy has as many endpoints as at the target size (docs/CAPACITY.md):
about six as the owner and six as the standby.
"""

import argparse
import asyncio
import dataclasses
import os
import pathlib
import sys
import tempfile
import time

import demo
from demo_fleet import running_fleet

from waxwinglift.process import Address
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import open_channel
from waxwinglift.version._entries import PoolEdited
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_entry

DEFAULT_PROXIES_COUNT = 8
DEFAULT_ENDPOINTS_COUNT = 3
IDLE_S = 20.0
EDITS_COUNT = 30
POLL_S = 0.002
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_s(pid):
    """Return the processor time that a process has used, in seconds."""
    # /proc/<pid>/stat counts ticks of 10 ms, too coarse for idle processes.
    text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


def resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / 1e6


def print_idle_costs(pids):
    """Print processor time and resident memory of each idle process."""
    before = {name: processor_s(pid) for name, pid in pids.items()}
    time.sleep(IDLE_S)
    print(f"{'process':12} {'core %':>8} {'resident MB':>12}")
    for name, pid in sorted(pids.items()):
        used_s = processor_s(pid) - before[name]
        percent = 100 * used_s / IDLE_S
        print(f"{name:12} {percent:8.2f} {resident_mb(pid):12.1f}")


async def time_edits(address, proxies_count):
    """Return for each edit the time in ms until all proxies apply it."""
    times_ms = []
    with open_channel(address) as channel:
        stub = control_grpc.ControlStub(channel)
        status = await stub.Status(control_pb2.StatusRequest())
        pool = decode_fleet(status.fleet).pools[demo.POOL]
        for number in range(EDITS_COUNT):
            table = dataclasses.replace(pool.table)
            version = pool.version + number
            edit = PoolEdited(f"edit-{number}", demo.POOL, version, table)
            times_ms.append(await _time_edit(stub, edit, proxies_count))
    return times_ms


async def _time_edit(stub, edit, proxies_count):
    started_s = time.monotonic()
    request = control_pb2.ProposeRequest(entry=encode_entry(edit))
    reply = await stub.Propose(request)
    if not reply.accepted:
        raise SystemExit(f"edit refused: {reply.error}")
    while True:
        status = await stub.Status(control_pb2.StatusRequest())
        applied = [d.applied_index for d in status.daemons]
        if len(applied) == proxies_count and min(applied) >= reply.index:
            return 1000 * (time.monotonic() - started_s)
        await asyncio.sleep(POLL_S)


def read_arguments(arguments):
    """Parse the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "proxies",
        type=int,
        nargs="?",
        default=DEFAULT_PROXIES_COUNT,
        help="number of proxies; %(default)s by default",
    )
    parser.add_argument(
        "endpoints",
        type=int,
        nargs="?",
        default=DEFAULT_ENDPOINTS_COUNT,
        help="number of stand-in servers; %(default)s by default",
    )
    parser.add_argument(
        "--owner",
        default="",
        help="TOML lines of the [owner] settings of each proxy",
    )
    return parser.parse_args(arguments)


def main(arguments):
    """Run the measurement."""
    options = read_arguments(arguments)
    sizes = {
        "proxies_count": options.proxies,
        "endpoints_count": options.endpoints,
    }
    with tempfile.TemporaryDirectory(prefix="waxwinglift-") as name:
        folder = pathlib.Path(name)
        with running_fleet(folder, options.owner, **sizes) as fleet:
            demo.create_pool(fleet)
            proxy_ports = fleet.ports.caller_ports
            proxies = tuple(Address("127.0.0.1", port) for port in proxy_ports)
            demo.wait_for(
                "a writable group", lambda: demo.try_create_tables(proxies)
            )
            time.sleep(2.0)
            print_idle_costs(fleet.pids())
            control = Address("127.0.0.1", fleet.ports.control_ports[0])
            edits = time_edits(control, options.proxies)
            times_ms = sorted(asyncio.run(edits))
    median_ms = times_ms[len(times_ms) // 2]
    print(
        f"edit applied by {options.proxies} proxies: median "
        f"{median_ms:.0f} ms, worst {times_ms[-1]:.0f} ms of {EDITS_COUNT}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
