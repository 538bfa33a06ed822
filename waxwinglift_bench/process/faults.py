"""Command `faults`: runs the fault tables in virtual time."""

import sys

import click

from waxwinglift_bench.process._commands import bench_command
from waxwinglift_bench.version._fault_table import format_failure
from waxwinglift_bench.version._fault_table import format_row
from waxwinglift_bench.version._fault_table import HEADER
from waxwinglift_bench.version._fault_table import build_cases
from waxwinglift_bench.version._fault_table import run_case
from waxwinglift_bench.version._fault_table import Timing
from waxwinglift_bench.version._faults import FAULTS

NO_SECOND_FAULT = "none"


@bench_command
@click.command()
@click.option(
    "--first",
    "first_faults",
    multiple=True,
    type=click.Choice(list(FAULTS)),
    help="Faults to inject; all by default.",
)
@click.option(
    "--second",
    "second_faults",
    multiple=True,
    type=click.Choice([NO_SECOND_FAULT, *FAULTS]),
    help="Faults that follow the first one; none and each by default.",
)
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    type=int,
    default=(1,),
    show_default=True,
    help="Random seeds; each case is run with each seed.",
)
@click.option(
    "--probe-interval-ms",
    default=150.0,
    show_default=True,
    help="Interval of the health probes.",
)
@click.option(
    "--down-after-ms",
    default=600.0,
    show_default=True,
    help="Time without an answer after which an endpoint is down.",
)
@click.option(
    "--gap-bound-ms",
    default=3000.0,
    show_default=True,
    help="Longest permitted write gap; use 10000 at the target size.",
)
def faults(first_faults, second_faults, seeds, **intervals):
    """Run each fault alone, and followed by each fault, including itself.

    Exits with 1 if a write is lost, executed twice, executed although it was
    reported as not run, or acknowledged by a replaced primary, if a read is
    below its floor, or if writes stop for longer than the bound although
    servers and control still have a quorum.
    """
    timing = Timing(**intervals)
    following_faults = [
        None if s == NO_SECOND_FAULT else s
        for s in second_faults or [NO_SECOND_FAULT, *FAULTS]
    ]
    failed_count = 0
    cases_count = 0
    click.echo(HEADER)
    for first in first_faults or FAULTS:
        results = [
            run_case(c)
            for c in build_cases([first], following_faults, seeds, timing)
        ]
        click.echo(format_row(first, results, seeds))
        for result in results:
            if not result.is_passed:
                click.echo(format_failure(result))
                failed_count += 1
        cases_count += len(results)
    click.echo(f"{cases_count} cases, {failed_count} broken")
    sys.exit(1 if failed_count else 0)
