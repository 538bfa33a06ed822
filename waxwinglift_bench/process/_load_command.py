"""The ``waxwinglift-load`` command."""

import asyncio

import click

from waxwinglift.process import _checks
from waxwinglift.version import PoolName
from waxwinglift.version import Rank
from waxwinglift_bench.process import _load
from waxwinglift_bench.process import _load_report
from waxwinglift_bench.process._load_settings import LoadSettings


def _parse_rank_callers(context, parameter, values):
    parsed = []
    for value in values:
        rank, separator, count = value.partition("=")
        if not separator or not count.isdigit():
            raise click.BadParameter(f"{value}: must be RANK=CALLERS")
        parsed.append((Rank(rank), int(count)))
    return tuple(parsed)


def _parse_proxies(context, parameter, values):
    try:
        return tuple(_checks.check_address(value) for value in values)
    except ValueError as error:
        raise click.BadParameter(str(error)) from error


@click.command()
@click.option(
    "--proxy",
    "proxies",
    multiple=True,
    required=True,
    callback=_parse_proxies,
    help="IP:PORT of a proxy; callers switch between proxies.",
)
@click.option("--pool", required=True, help="Pool to connect to.")
@click.option(
    "--rank",
    "rank_callers",
    multiple=True,
    required=True,
    callback=_parse_rank_callers,
    help="RANK=CALLERS, for example urgent=4.",
)
@click.option(
    "--statements",
    "statements_count",
    type=click.IntRange(1, 10_000_000),
    default=1000,
    show_default=True,
    help="Number of statements of all callers together.",
)
@click.option(
    "--write-percent",
    type=click.IntRange(0, 100),
    default=40,
    help="Percentage of writes; 40 by default.",
)
@click.option(
    "--time-limit-s",
    type=click.FloatRange(1, 3600),
    default=60,
    help="Time in seconds after which the run is stopped; 60 by default.",
)
@click.option(
    "--seed",
    type=int,
    default=1,
    help="Random seed of the statement mix; 1 by default.",
)
def load(proxies, pool, rank_callers, statements_count, **options):
    """Insert payments and read them back through changing proxies.

    The table ``payment`` and the idempotency table must exist.

    \b
    Example:
      waxwinglift-load --proxy 127.0.0.1:6432 --pool payouts \\
        --rank urgent=4 --rank low=2 --statements 1000
    """
    settings = LoadSettings(
        proxies=proxies,
        pool=PoolName(pool),
        rank_callers=rank_callers,
        statements_count=statements_count,
        **options,
    )
    records = asyncio.run(_load.run_load(settings))
    click.echo(_load_report.format_report(records))
    gap_ms = _load_report.write_gap_ms(records)
    click.echo(f"longest time without an acknowledged write: {gap_ms:.0f} ms")
