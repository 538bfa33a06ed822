"""Measures idle cost and the spread of an edit on real processes.

Starts three control daemons, eight proxies (or as many as the first argument
says) and one group of three stand-in
servers on loopback; prints processor time and resident memory by role and
the time until an accepted edit is in force at every proxy.
"""

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
IDLE_S = 10.0
EDITS_COUNT = 30
POLL_S = 0.002
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
FIRST_TIME_FIELD = 11


def processor_s(pid):
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    user, system = fields[FIRST_TIME_FIELD : FIRST_TIME_FIELD + 2]
    return (int(user) + int(system)) / TICKS_PER_S


def resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / 1e6


def print_idle_costs(pids):
    """Print the idle cost of each process."""
    before = {name: processor_s(pid) for name, pid in pids.items()}
    time.sleep(IDLE_S)
    print(f"{'process':12} {'core %':>8} {'resident MB':>12}")
    for name, pid in sorted(pids.items()):
        used_s = processor_s(pid) - before[name]
        percent = 100 * used_s / IDLE_S
        print(f"{name:12} {percent:8.2f} {resident_mb(pid):12.1f}")


async def time_edits(address, proxies_count):
    """Return for each edit the ms until all proxies have applied it."""
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


def main(arguments):
    """Run the measurement with the given number of proxies."""
    proxies_count = int(arguments[0]) if arguments else DEFAULT_PROXIES_COUNT
    with tempfile.TemporaryDirectory(prefix="waxwinglift-") as name:
        folder = pathlib.Path(name)
        with running_fleet(folder, proxies_count=proxies_count) as fleet:
            demo.create_pool(fleet)
            ports = fleet.plan.caller_ports
            proxies = tuple(Address("127.0.0.1", port) for port in ports)
            demo.wait_for("a writable group", lambda: demo.can_write(proxies))
            time.sleep(2.0)
            print_idle_costs(fleet.pids())
            control = Address("127.0.0.1", fleet.plan.control_ports[0])
            times_ms = sorted(asyncio.run(time_edits(control, proxies_count)))
    middle_ms = times_ms[len(times_ms) // 2]
    print(
        f"edit in force at {proxies_count} proxies: median "
        f"{middle_ms:.0f} ms, worst {times_ms[-1]:.0f} ms of {EDITS_COUNT}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
