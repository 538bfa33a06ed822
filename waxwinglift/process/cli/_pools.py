"""The pool commands, which show and change pool tables."""

import pathlib
import uuid

import click

from waxwinglift.process.cli import _client
from waxwinglift.process.cli import _table_format
from waxwinglift.process.rpc._convert import decode_answer
from waxwinglift.version import EditId
from waxwinglift.version import GroupName
from waxwinglift.version import PoolName
from waxwinglift.version import TableVersion
from waxwinglift.version._entries import PoolEdited
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_entry


@click.group()
def pool():
    """Show and edit pool tables."""


def _find_pool(fleet, name):
    found = fleet.pools.get(PoolName(name))
    if found is None:
        raise click.ClickException(f"no pool {name}")
    return found


def _fetch_pool(addresses, name):
    fleet = decode_fleet(_client.fetch_status(addresses).fleet)
    found = _find_pool(fleet, name)
    if found.table is None:
        raise click.ClickException(f"pool {name} is deleted")
    return found


def _submit(addresses, edit_id, name, expected_version, table):
    edit_id = edit_id or uuid.uuid4().hex
    entry = PoolEdited(
        edit_id=EditId(edit_id),
        pool=PoolName(name),
        expected_version=TableVersion(expected_version),
        table=table,
    )
    click.echo(f"edit id {edit_id}", err=True)
    reply = _client.propose(addresses, encode_entry(entry))
    answer = decode_answer(reply.answer)
    if not answer.is_applied:
        raise click.ClickException(
            f"conflict: pool {name} is at version {answer.version}, "
            f"not {expected_version}; show it and edit again"
        )
    click.echo(f"pool {name}: version {answer.version}")


_edit_id_option = click.option(
    "--edit-id",
    help="Id of an earlier edit whose answer was lost: the repeated edit gets "
    "the first answer and is not applied twice.",
)


@pool.command("list")
@click.pass_obj
def list_pools(addresses):
    """List the pools with their groups and versions."""
    fleet = decode_fleet(_client.fetch_status(addresses).fleet)
    for name, entry in sorted(fleet.pools.items()):
        if entry.table is not None:
            click.echo(f"{name}\t{entry.table.group}\tversion {entry.version}")


@pool.command("show")
@click.argument("name")
@click.pass_obj
def show_pool(addresses, name):
    """Print a pool's table as CSV, and its version to standard error."""
    found = _fetch_pool(addresses, name)
    click.echo(f"version {found.version}", err=True)
    click.echo(_table_format.format_table(found.table), nl=False)


@pool.command("edit")
@click.argument("name")
@click.option(
    "--group", required=True, help="Group of servers that serves the pool."
)
@click.option(
    "--file",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="CSV file with the complete table.",
)
@click.option(
    "--expect",
    "expected_version",
    type=click.IntRange(min=0),
    required=True,
    help="Version that the edit starts from; 0 for a new pool.",
)
@_edit_id_option
@click.pass_obj
def edit_pool(addresses, name, group, path, expected_version, edit_id):
    """Replace a pool's table, or create the pool with --expect 0.

    \b
    Example:
      waxwinglift -c 127.0.0.1:7001 pool edit payouts --group ledger \\
        --file payouts.csv --expect 0
    """
    text = path.read_text(encoding="utf-8")
    parsed = _table_format.parse_table(PoolName(name), GroupName(group), text)
    if parsed.is_err():
        raise click.ClickException(f"{path}: {parsed.err_value}")
    _submit(addresses, edit_id, name, expected_version, parsed.ok_value)


@pool.command("set")
@click.argument("name")
@click.argument("assignments", nargs=-1, required=True)
@click.option("--expect", "expected_version", type=click.IntRange(min=1))
@_edit_id_option
@click.pass_obj
def set_cells(addresses, name, assignments, expected_version, edit_id):
    """Change cells of a table, written RANK.COLUMN=NUMBER.

    Without --expect the edit starts from the version just read, so that a
    concurrent edit is reported as a conflict and not overwritten.

    \b
    Example:
      waxwinglift -c 127.0.0.1:7001 pool set payouts urgent.weight=5
    """
    found = _fetch_pool(addresses, name)
    table = found.table
    for assignment in assignments:
        changed = _table_format.set_cell(table, assignment)
        if changed.is_err():
            raise click.ClickException(changed.err_value)
        table = changed.ok_value
    _submit(addresses, edit_id, name, expected_version or found.version, table)


@pool.command("history")
@click.argument("name")
@click.pass_obj
def show_history(addresses, name):
    """Print the most recently replaced tables of a pool, oldest first."""
    fleet = decode_fleet(_client.fetch_status(addresses).fleet)
    for past in _find_pool(fleet, name).history:
        click.echo(f"version {past.version}")
        click.echo(_table_format.format_table(past.table), nl=False)


@pool.command("rollback")
@click.argument("name")
@click.option(
    "--to",
    "past_version",
    type=click.IntRange(min=1),
    required=True,
    help="Version whose table is restored.",
)
@_edit_id_option
@click.pass_obj
def rollback_pool(addresses, name, past_version, edit_id):
    """Restore an earlier table under a new version.

    \b
    Example:
      waxwinglift -c 127.0.0.1:7001 pool rollback payouts --to 3
    """
    fleet = decode_fleet(_client.fetch_status(addresses).fleet)
    found = _find_pool(fleet, name)
    tables = {past.version: past.table for past in found.history}
    if past_version not in tables:
        kept = ", ".join(str(version) for version in tables) or "none"
        raise click.ClickException(
            f"pool {name}: version {past_version} is not kept; kept: {kept}"
        )
    _submit(addresses, edit_id, name, found.version, tables[past_version])


@pool.command("delete")
@click.argument("name")
@click.option(
    "--expect",
    "expected_version",
    type=click.IntRange(min=1),
    required=True,
    help="Version that the deletion starts from.",
)
@_edit_id_option
@click.pass_obj
def delete_pool(addresses, name, expected_version, edit_id):
    """Delete a pool; its callers are refused with 3D000."""
    _submit(addresses, edit_id, name, expected_version, None)
