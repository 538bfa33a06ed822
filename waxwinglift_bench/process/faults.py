"""Command `faults`: promise by fault tables in virtual time."""

import sys

import click

from waxwinglift_bench.process._commands import bench_command
from waxwinglift_bench.version._fault_table import format_failure
from waxwinglift_bench.version._fault_table import format_row
from waxwinglift_bench.version._fault_table import HEADER
from waxwinglift_bench.version._fault_table import plan_cases
from waxwinglift_bench.version._fault_table import run_case
from waxwinglift_bench.version._faults import FAULTS

SINGLE = "none"


@bench_command
@click.command()
@click.option(
    "--first",
    "firsts",
    multiple=True,
    type=click.Choice(list(FAULTS)),
    help="Faults to run; all when not given.",
)
@click.option(
    "--second",
    "seconds",
    multiple=True,
    type=click.Choice([SINGLE, *FAULTS]),
    help="Faults to add to each first one; none and all when not given.",
)
@click.option(
    "--seed", "seeds", multiple=True, type=int, default=(1,), show_default=True
)
def faults(firsts, seconds, seeds):
    """Run each fault alone, with each other one, and twice.

    Exits with 1 when a write is lost, doubled or confirmed by a replaced
    primary, a read is below its floor, or writes stop for 3 s although a
    quorum of servers and control is left.
    """
    added = [None if s == SINGLE else s for s in seconds or [SINGLE, *FAULTS]]
    broken_count = 0
    cases_count = 0
    click.echo(HEADER)
    for first in firsts or FAULTS:
        outcomes = [run_case(c) for c in plan_cases([first], added, seeds)]
        click.echo(format_row(first, outcomes, seeds))
        for outcome in outcomes:
            if not outcome.is_kept:
                click.echo(format_failure(outcome))
                broken_count += 1
        cases_count += len(outcomes)
    click.echo(f"{cases_count} cases, {broken_count} broken")
    sys.exit(1 if broken_count else 0)
