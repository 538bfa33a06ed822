"""Runs the load against real processes, one fault after another.

Prints for each fault what was acknowledged, what the servers hold and the
longest time without an acknowledged write; exits with code 1 when a write is
lost or doubled or a read is stale.  Times differ from run to run.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

import demo
from demo_fleet import running_fleet
import psycopg

from waxwinglift.process import Address
from waxwinglift.version import PoolName
from waxwinglift.version import Rank
from waxwinglift_bench.process import _load
from waxwinglift_bench.process import _load_report
from waxwinglift_bench.process._load_settings import LoadSettings
from waxwinglift_bench.request._payment import Outcome

STATEMENTS_COUNT = 1500
FAULT_AFTER_S = 2.0
FREEZE_S = 4.0
ENDPOINTS_COUNT = 3
ROW = "{:28} {:>7} {:>6} {:>8} {:>6} {:>7} {:>8} {:>8}"

FAULTS = {}


def live_fault(name):
    """Register a coroutine that takes the fleet and injects a fault."""

    def register(function):
        FAULTS[name] = function
        return function

    return register


def _status_word(fleet, start):
    """Return the last word of the first status line that has ``start``."""
    for line in fleet.operator("status").stdout.splitlines():
        if line.startswith(start):
            return line
    return ""


def control_leader(fleet):
    """Return the name of the control leader."""
    line = _status_word(fleet, "control:")
    return line.split("leader ")[1].split(",")[0]


def primary_owner(fleet):
    """Return the proxy that owns the first primary."""
    line = _status_word(fleet, "endpoint server-0")
    return line.split("owner ")[1].split(" ")[0]


def switch_fault(fleet, number, name, value):
    """Switch a fault of a stand-in server."""
    port = fleet.plan.endpoint_ports[number]
    with psycopg.connect(
        host="127.0.0.1",
        port=port,
        user="demo",
        dbname="postgres",
        autocommit=True,
    ) as connection:
        connection.execute(f"SELECT standin_fault('{name}', '{value}')")


@live_fault("none")
async def no_fault(fleet):
    """Run without a fault, for comparison."""


@live_fault("primary killed")
async def primary_killed(fleet):
    """End the primary at once."""
    fleet.kill("server-0")


@live_fault("primary frozen")
async def primary_frozen(fleet):
    """Let the primary answer nothing, on old and new connections."""
    switch_fault(fleet, 0, "freeze", "on")


@live_fault("connections silent")
async def connections_silent(fleet):
    """Let the primary's open connections go silent; new ones work."""
    switch_fault(fleet, 0, "silence", "on")


@live_fault("replica lagging")
async def replica_lagging(fleet):
    """Let one replica fall 500 ms behind."""
    switch_fault(fleet, 1, "lag", "500/500")


@live_fault("owner proxy killed")
async def owner_killed(fleet):
    """End the proxy that owns the primary."""
    fleet.kill(primary_owner(fleet))


@live_fault("owner proxy paused")
async def owner_paused(fleet):
    """Pause the primary's owner for longer than its lease."""
    owner = primary_owner(fleet)
    fleet.signal(owner, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    fleet.signal(owner, signal.SIGCONT)


@live_fault("owner proxy drained")
async def owner_drained(fleet):
    """Shut the primary's owner down gracefully."""
    fleet.signal(primary_owner(fleet), signal.SIGTERM)


@live_fault("control leader killed")
async def leader_killed(fleet):
    """End the control leader."""
    fleet.kill(control_leader(fleet))


@live_fault("leader and primary killed")
async def leader_and_primary_killed(fleet):
    """End the control leader and the primary together."""
    leader = control_leader(fleet)
    fleet.kill(leader)
    fleet.kill("server-0")


@live_fault("owner and primary killed")
async def owner_and_primary_killed(fleet):
    """End the primary and its owner together."""
    owner = primary_owner(fleet)
    fleet.kill(owner)
    fleet.kill("server-0")


@live_fault("primary leaving")
async def primary_leaving(fleet):
    """Let the primary announce that it is leaving, then stop."""
    fleet.signal("server-0", signal.SIGTERM)


async def run_with_fault(fleet, settings, inject):
    """Run the load and inject the fault while it runs."""
    load = asyncio.create_task(_load.run_load(settings))
    await asyncio.sleep(FAULT_AFTER_S)
    await inject(fleet)
    return await load


def count_stored(fleet, records):
    """Return the most lost and doubled rows of the servers that answer."""
    acknowledged = _load_report.acknowledged_ids(records)
    lost_count = doubled_count = 0
    for number in fleet.current_servers(demo.GROUP):
        rows = demo.stored_ids(fleet.plan.endpoint_ports[number])
        lost_count = max(lost_count, len(acknowledged - set(rows)))
        doubled_count = max(doubled_count, len(rows) - len(set(rows)))
    return lost_count, doubled_count


def run_fault(name, folder):
    """Run one fault; print its row; return whether all promises held."""
    with running_fleet(folder, proxies_count=3) as fleet:
        demo.create_pool(fleet)
        proxies = tuple(
            Address("127.0.0.1", port) for port in fleet.plan.caller_ports
        )
        demo.wait_for("a writable group", lambda: demo.can_write(proxies))
        settings = LoadSettings(
            proxies=proxies,
            pool=PoolName(demo.POOL),
            rank_callers=((Rank("urgent"), 4), (Rank("low"), 4)),
            statements_count=STATEMENTS_COUNT,
        )
        records = asyncio.run(run_with_fault(fleet, settings, FAULTS[name]))
        time.sleep(1.5)
        lost_count, doubled_count = count_stored(fleet, records)
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


def main(names):
    """Run the named faults, all without names, and return the exit code."""
    columns = "fault acked lost doubled stale failed gap-ms records"
    print(ROW.format(*columns.split()), flush=True)
    is_right = True
    for name in names or FAULTS:
        with tempfile.TemporaryDirectory(prefix="waxwinglift-") as folder:
            is_right &= run_fault(name, pathlib.Path(folder))
    return 0 if is_right else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
