"""Pool tables as CSV text, for editing in a spreadsheet."""

import csv
import dataclasses
import io

from result import Err
from result import Ok

from waxwinglift.version import PoolTable
from waxwinglift.version import Rank
from waxwinglift.version import RankRow

COLUMNS = tuple(field.name for field in dataclasses.fields(RankRow))
NUMBER_COLUMNS = COLUMNS[1:]


def format_table(table):
    """Return the CSV text of a table, most urgent rank first."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in table.rows:
        writer.writerow(dataclasses.astuple(row))
    return output.getvalue()


def parse_table(pool, group, text):
    """Read the CSV text of a table.

    Returns
    -------
    Result[PoolTable, str]
        The table, or the first problem with its line and column.
    """
    reader = csv.DictReader(io.StringIO(text))
    if tuple(reader.fieldnames or ()) != COLUMNS:
        return Err(f"line 1: columns must be {','.join(COLUMNS)}")
    rows = []
    for number, values in enumerate(reader, start=2):
        parsed = _parse_row(number, values)
        if parsed.is_err():
            return parsed
        rows.append(parsed.ok_value)
    return Ok(PoolTable(pool, group, tuple(rows)))


def _parse_row(number, values):
    if None in values or None in values.values():
        return Err(f"line {number}: must have {len(COLUMNS)} cells")
    cells = {"rank": Rank(values["rank"].strip())}
    for column in NUMBER_COLUMNS:
        text = values[column].strip()
        if not text.isdigit():
            return Err(f"line {number}: {column}: {text!r} is not a number")
        cells[column] = int(text)
    return Ok(RankRow(**cells))


def set_cell(table, assignment):
    """Return the table with one cell changed.

    Parameters
    ----------
    table : PoolTable
        Table to change.
    assignment : str
        ``RANK.COLUMN=NUMBER``, for example ``urgent.weight=5``.

    Returns
    -------
    Result[PoolTable, str]
        The changed table, or what is wrong with the assignment.
    """
    target, separator, text = assignment.partition("=")
    rank, dot, column = target.rpartition(".")
    if not separator or not dot or not text.isdigit():
        return Err(f"{assignment}: must be RANK.COLUMN=NUMBER")
    if column not in NUMBER_COLUMNS:
        return Err(f"{column}: must be one of {', '.join(NUMBER_COLUMNS)}")
    if rank not in [row.rank for row in table.rows]:
        return Err(f"{rank}: no such rank in pool {table.pool}")
    rows = tuple(
        dataclasses.replace(row, **{column: int(text)})
        if row.rank == rank
        else row
        for row in table.rows
    )
    return Ok(dataclasses.replace(table, rows=rows))
