"""The schema command."""

import click

from waxwinglift.request import _idempotency


@click.command()
def schema():
    """Print the SQL that a group's database needs for idempotency keys.

    \b
    Example:
      waxwinglift schema | psql -h 10.0.0.5 ledger
    """
    click.echo(_idempotency.CREATE_TABLE_SQL)
