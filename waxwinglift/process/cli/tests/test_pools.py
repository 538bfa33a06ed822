"""Tests the pool commands with a real control daemon."""

import asyncio

from click.testing import CliRunner

from waxwinglift.process import cli
from waxwinglift.process.tests.test_control import running_group

HEADER = (
    "rank,weight,floor_percent,limit_count,queue_limit_count,deadline_ms\n"
)
FIRST = f"{HEADER}urgent,6,0,0,100,500\nlow,1,10,2,100,5000\n"

# Arguments, exit code and text in the output of each step, in order.
STEPS = [
    (["list"], 0, ""),
    (["show", "payouts"], 1, "no pool payouts"),
    (["edit", "payouts", "--expect", "0"], 0, "version 1"),
    # A second operator also creates the pool.
    (["edit", "payouts", "--expect", "0"], 1, "conflict"),
    (["set", "payouts", "low.weight=5"], 0, "version 2"),
    (["set", "payouts", "low.weight=0"], 1, "weight"),
    (["set", "payouts", "low.weight=7", "--expect", "1"], 1, "conflict"),
    (["show", "payouts"], 0, "low,5,10,2,100,5000"),
    (["history", "payouts"], 0, "low,1,10,2,100,5000"),
    (["rollback", "payouts", "--to", "9"], 1, "kept: 1"),
    (["rollback", "payouts", "--to", "1"], 0, "version 3"),
    (["show", "payouts"], 0, "low,1,10,2,100,5000"),
    (["delete", "payouts", "--expect", "3"], 0, "version 4"),
    (["show", "payouts"], 1, "pool payouts is deleted"),
    (["rollback", "payouts", "--to", "3"], 0, "version 5"),
    (["list"], 0, "payouts\tledger\tversion 5"),
]


def run_step(address, table, arguments):
    if arguments[0] == "edit":
        arguments = [*arguments, "--group", "ledger", "--file", table]
    command = ["-c", str(address), "pool", *arguments]
    return CliRunner().invoke(cli.operator, command)


def test_pool_edits_are_versioned(tmp_path):
    # Each step depends on the previous one.  With a lost or repeated version,
    # one operator could overwrite the edit of another.
    table = tmp_path / "table.csv"
    table.write_text(FIRST, encoding="utf-8")

    async def work():
        async with running_group(tmp_path, count=1) as members:
            address = members[0].settings.listen
            for arguments, exit_code, text in STEPS:
                result = await asyncio.to_thread(
                    run_step, address, str(table), arguments
                )
                assert result.exit_code == exit_code, result.output
                assert text in result.output, arguments

    asyncio.run(work())
