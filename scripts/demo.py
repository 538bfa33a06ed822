"""Demo: runs payouts through two proxies and kills the primary meanwhile.

Prints the acknowledged writes, the rows stored on the remaining servers and
the longest time without an acknowledged write.  Exits with code 1 if an
acknowledged write is lost, a row is duplicated or comes from a failed write,
a read is stale, or a statement has no result.
"""

import asyncio
import pathlib
import sys
import tempfile
import time

from demo_fleet import GROUP
from demo_fleet import running_fleet
import psycopg

from waxwinglift.process import Address
from waxwinglift.request import _idempotency
from waxwinglift.version import PoolName
from waxwinglift.version import Rank
from waxwinglift_bench.process import _load
from waxwinglift_bench.process import _load_report
from waxwinglift_bench.process._load_settings import LoadSettings

POOL = "payouts"
POOL_TABLE_CSV = """\
rank,weight,floor_percent,limit_count,queue_limit_count,deadline_ms
urgent,6,0,0,1000,5000
middle,3,15,2,1000,5000
low,1,10,2,1000,5000
"""
START_TIMEOUT_S = 30.0
STATEMENTS_COUNT = 3000
KILL_AFTER_S = 4.0


def wait_for(description, condition):
    """Call ``condition`` every 200 ms until it returns a true value."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        found = condition()
        if found:
            return found
        time.sleep(0.2)
    raise SystemExit(f"demo: timed out while waiting for {description}")


def create_pool(fleet):
    """Create the demo's pool, retrying until control has a leader."""
    path = fleet.folder / "payouts.csv"
    path.write_text(POOL_TABLE_CSV, encoding="utf-8")
    arguments = ("--group", GROUP, "--file", str(path), "--expect", "0")
    edit = ("pool", "edit", POOL, *arguments, "--edit-id", "demo-create")

    def try_edit():
        return fleet.run_operator(*edit).returncode == 0

    wait_for("a control leader", try_edit)


def try_create_tables(proxies):
    """Create the tables through the proxies; return whether that worked."""
    settings = LoadSettings(proxies, PoolName(POOL), (), 0)
    try:
        asyncio.run(
            _load.create_tables(
                settings,
                _idempotency.CREATE_TABLE_SQL,
                _load.CREATE_TABLE_SQL,
            )
        )
    except psycopg.Error:
        return False
    return True


async def run_with_failover(fleet, settings):
    """Run the load and kill the primary during the run."""

    async def kill_primary():
        await asyncio.sleep(KILL_AFTER_S)
        fleet.kill("server-0")
        print(f"killed the primary server-0 after {KILL_AFTER_S:.0f} s")

    killer = asyncio.create_task(kill_primary())
    records = await _load.run_load(settings)
    await killer
    return records


def stored_ids(port):
    """Return the payment ids stored on a server, including duplicates."""
    with psycopg.connect(
        host="127.0.0.1", port=port, user="demo", dbname="postgres"
    ) as connection:
        rows = connection.execute("SELECT id FROM payment").fetchall()
    return [row[0] for row in rows]


def check_stored_rows(fleet, records):
    """Check the rows of the remaining servers and print the result.

    Returns whether each server has every acknowledged write exactly once and
    no other rows than those and the writes with an unknown outcome.
    """
    acknowledged = _load_report.acknowledged_ids(records)
    unresolved = _load_report.unresolved_ids(records)
    is_passed = True
    for number, port in list(enumerate(fleet.ports.endpoint_ports))[1:]:
        rows = stored_ids(port)
        lost = acknowledged - set(rows)
        doubled_count = len(rows) - len(set(rows))
        extra = set(rows) - acknowledged - unresolved
        print(
            f"server-{number}: {len(rows)} rows, {len(lost)} acknowledged "
            f"rows lost, {doubled_count} duplicates, {len(extra)} unexpected"
        )
        is_passed &= not lost and not doubled_count and not extra
    return is_passed


def print_replica_share(fleet):
    """Print the share of reads that replicas served."""
    spans = [
        line
        for path in fleet.folder.glob("traces-proxy-*.jsonl")
        for line in path.read_text(encoding="utf-8").splitlines()
        if '"access": "read"' in line
    ]
    replica_count = sum('"served_by": "replica"' in span for span in spans)
    if spans:
        share = 100 * replica_count / len(spans)
        print(f"reads served by replicas: {share:.1f}% of {len(spans)}")


def run_demo(folder):
    """Run the demo in ``folder`` and return its exit code."""
    with running_fleet(folder) as fleet:
        create_pool(fleet)
        proxies = tuple(
            Address("127.0.0.1", port) for port in fleet.ports.caller_ports
        )
        wait_for("a writable group", lambda: try_create_tables(proxies))
        print(fleet.run_operator("status").stdout)
        settings = LoadSettings(
            proxies=proxies,
            pool=PoolName(POOL),
            rank_callers=(
                (Rank("urgent"), 4),
                (Rank("middle"), 3),
                (Rank("low"), 3),
            ),
            statements_count=STATEMENTS_COUNT,
        )
        records = asyncio.run(run_with_failover(fleet, settings))
        time.sleep(1.0)
        print(_load_report.format_report(records))
        gap_ms = _load_report.write_gap_ms(records)
        print(f"longest time without an acknowledged write: {gap_ms:.0f} ms")
        print_replica_share(fleet)
        is_passed = check_stored_rows(fleet, records)
        stale_count = sum(
            record.outcome is _load.Outcome.STALE_READ for record in records
        )
        print(f"stale reads: {stale_count}")
        print(fleet.run_operator("status").stdout)
        is_passed &= stale_count == 0 and len(records) == STATEMENTS_COUNT
        return 0 if is_passed else 1


def main():
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="waxwinglift-") as name:
        code = run_demo(pathlib.Path(name))
    print("demo: passed" if code == 0 else "demo: FAILED")
    return code


if __name__ == "__main__":
    sys.exit(main())
