"""Runs the load on real processes, one run per fault.

Prints a row per fault: acknowledged, lost and duplicated writes, stale reads,
failed statements and the longest time without an acknowledged write.  Exits
with code 1 if a write is lost or duplicated or a read is stale.  Times differ
between runs.
"""

import argparse
import asyncio
import dataclasses
import pathlib
import signal
import sys
import tempfile
import time

import demo
from demo_fleet import Fleet
from demo_fleet import running_fleet
import psycopg

from waxwinglift.process import Address
from waxwinglift.process import Registry
from waxwinglift.version import PoolName
from waxwinglift.version import Rank
from waxwinglift_bench.process import _load
from waxwinglift_bench.process import _load_report
from waxwinglift_bench.process._load_settings import LoadSettings
from waxwinglift_bench.request._payment import Outcome

STATEMENTS_COUNT = 1500
FAULT_AFTER_S = 2.0
PAUSE_S = 4.0
ROW = "{:28} {:>7} {:>6} {:>8} {:>6} {:>7} {:>8} {:>8}"

# Coroutine functions by the name of the fault that they inject in a Target.
FAULTS = Registry()
live_fault = FAULTS.register


@dataclasses.dataclass(frozen=True)
class Target:
    """Fleet under test and the roles of its processes before the fault."""

    fleet: Fleet
    control_leader: str
    primary_owner: str


def find_target(fleet):
    """Return the Target, read from the fleet's status.

    Call it before the load starts, because the status command would disturb
    the load.
    """
    lines = fleet.run_operator("status").stdout.splitlines()
    control = next(line for line in lines if line.startswith("control:"))
    prefix = "endpoint server-0"
    primary = next(line for line in lines if line.startswith(prefix))
    return Target(
        fleet,
        control.split("leader ")[1].split(",")[0],
        primary.split("owner ")[1].split(" ")[0],
    )


def set_fault(fleet, number, name, value):
    """Set a fault of a stand-in server."""
    port = fleet.ports.endpoint_ports[number]
    with psycopg.connect(
        host="127.0.0.1",
        port=port,
        user="demo",
        dbname="postgres",
        autocommit=True,
    ) as connection:
        connection.execute(f"SELECT standin_fault('{name}', '{value}')")


@live_fault("none")
async def no_fault(target):
    """Run without a fault, for comparison."""


@live_fault("primary killed")
async def primary_killed(target):
    """Kill the primary."""
    target.fleet.kill("server-0")


@live_fault("primary frozen")
async def primary_frozen(target):
    """Stop the primary from answering on open and new connections."""
    set_fault(target.fleet, 0, "freeze", "on")


@live_fault("primary cut from replicas")
async def replication_cut(target):
    """Stop replication from the primary, which still answers callers."""
    set_fault(target.fleet, 0, "cut_replication", "on")


@live_fault("connections silent")
async def connections_silent(target):
    """Stop answers on the primary's open connections; new ones work."""
    set_fault(target.fleet, 0, "silence", "on")


@live_fault("replica lagging")
async def replica_lagging(target):
    """Delay receipt and replay at one replica by 500 ms each."""
    set_fault(target.fleet, 1, "lag", "500/500")


@live_fault("owner proxy killed")
async def owner_killed(target):
    """Kill the proxy that owns the primary."""
    target.fleet.kill(target.primary_owner)


@live_fault("owner proxy paused")
async def owner_paused(target):
    """Pause the primary's owner for longer than its lease."""
    owner = target.primary_owner
    target.fleet.signal(owner, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    target.fleet.signal(owner, signal.SIGCONT)


@live_fault("owner proxy drained")
async def owner_drained(target):
    """Shut down the primary's owner gracefully."""
    target.fleet.signal(target.primary_owner, signal.SIGTERM)


@live_fault("control leader killed")
async def leader_killed(target):
    """Kill the control leader."""
    target.fleet.kill(target.control_leader)


@live_fault("leader and primary killed")
async def leader_and_primary_killed(target):
    """Kill the control leader and the primary together."""
    leader = target.control_leader
    target.fleet.kill(leader)
    target.fleet.kill("server-0")


@live_fault("owner and primary killed")
async def owner_and_primary_killed(target):
    """Kill the primary and its owner together."""
    owner = target.primary_owner
    target.fleet.kill(owner)
    target.fleet.kill("server-0")


@live_fault("primary leaving")
async def primary_leaving(target):
    """Stop the primary gracefully, so that it announces its departure."""
    target.fleet.signal("server-0", signal.SIGTERM)


async def run_with_fault(fleet, settings, inject):
    """Run the load and inject the fault during the run."""
    target = find_target(fleet)
    load = asyncio.create_task(_load.run_load(settings))
    await asyncio.sleep(FAULT_AFTER_S)
    await inject(target)
    return await load


def count_lost_and_duplicated(fleet, records):
    """Return the highest counts of lost and duplicated rows on a server.

    Only servers that have joined the current term count.
    """
    acknowledged = _load_report.acknowledged_ids(records)
    lost_count = doubled_count = 0
    for number in fleet.current_servers(demo.GROUP):
        rows = demo.stored_ids(fleet.ports.endpoint_ports[number])
        lost_count = max(lost_count, len(acknowledged - set(rows)))
        doubled_count = max(doubled_count, len(rows) - len(set(rows)))
    return lost_count, doubled_count


def run_fault(name, folder, owner_text):
    """Run one fault, print its row and return whether the run passed."""
    with running_fleet(folder, owner_text, proxies_count=3) as fleet:
        demo.create_pool(fleet)
        proxies = tuple(
            Address("127.0.0.1", port) for port in fleet.ports.caller_ports
        )
        demo.wait_for(
            "a writable group", lambda: demo.try_create_tables(proxies)
        )
        settings = LoadSettings(
            proxies=proxies,
            pool=PoolName(demo.POOL),
            rank_callers=((Rank("urgent"), 4), (Rank("low"), 4)),
            statements_count=STATEMENTS_COUNT,
        )
        records = asyncio.run(run_with_fault(fleet, settings, FAULTS[name]))
        time.sleep(1.5)
        lost_count, doubled_count = count_lost_and_duplicated(fleet, records)
    stale_count = sum(r.outcome is Outcome.STALE_READ for r in records)
    failed_count = sum(
        r.outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN) for r in records
    )
    print(
        ROW.format(
            name,
            len(_load_report.acknowledged_ids(records)),
            lost_count,
            doubled_count,
            stale_count,
            failed_count,
            f"{_load_report.write_gap_ms(records):.0f}",
            len(records),
        ),
        flush=True,
    )
    return not (lost_count or doubled_count or stale_count)


def read_arguments(arguments):
    """Parse the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "names",
        nargs="*",
        metavar="fault",
        help="name of a fault; all by default",
    )
    parser.add_argument(
        "--owner",
        default="",
        help="TOML lines of the [owner] settings of each proxy",
    )
    options = parser.parse_args(arguments)
    for name in options.names:
        if name not in FAULTS:
            parser.error(
                f"unknown fault {name}; choose from {', '.join(FAULTS)}"
            )
    return options


def main(arguments):
    """Run the named faults, or all of them, and return the exit code."""
    options = read_arguments(arguments)
    columns = "fault acked lost doubled stale failed gap-ms records"
    print(ROW.format(*columns.split()), flush=True)
    is_passed = True
    for name in options.names or FAULTS:
        with tempfile.TemporaryDirectory(prefix="waxwinglift-") as folder:
            is_passed &= run_fault(name, pathlib.Path(folder), options.owner)
    return 0 if is_passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
