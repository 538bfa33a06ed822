"""Tests the CSV format of a table, which operators edit by hand."""

import pytest

from waxwinglift.process.cli import _table_format
from waxwinglift.version import GroupName
from waxwinglift.version import PoolName

HEADER = ",".join(_table_format.COLUMNS)
GOOD = f"{HEADER}\nurgent,6,0,0,100,500\nlow,1,10,2,100,5000\n"


def parse(text):
    return _table_format.parse_table(PoolName("p"), GroupName("g"), text)


def test_table_survives_format_and_parse():
    table = parse(GOOD).unwrap()
    assert _table_format.format_table(table) == GOOD


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "line 1: columns"),
        ("rank,weight\nurgent,1\n", "line 1: columns"),
        (f"{HEADER}\nurgent,6,0,0,100\n", "line 2: must have"),
        (f"{HEADER}\nurgent,6,0,0,100,5,5\n", "line 2: must have"),
        (f"{HEADER}\nurgent,x,0,0,100,5\n", "line 2: weight: 'x'"),
        (f"{HEADER}\nurgent,-1,0,0,100,5\n", "line 2: weight: '-1'"),
    ],
)
def test_bad_table_names_line_and_column(text, expected):
    assert expected in parse(text).unwrap_err()


@pytest.mark.parametrize(
    ("assignment", "expected"),
    [
        ("urgent.weight", "RANK.COLUMN=NUMBER"),
        ("urgent=5", "RANK.COLUMN=NUMBER"),
        ("urgent.weight=x", "RANK.COLUMN=NUMBER"),
        ("urgent.rank=5", "must be one of"),
        ("absent.weight=5", "no such rank"),
    ],
)
def test_bad_cell_assignment_is_refused(assignment, expected):
    table = parse(GOOD).unwrap()
    assert expected in _table_format.set_cell(table, assignment).unwrap_err()


def test_cell_assignment_changes_only_that_cell():
    table = parse(GOOD).unwrap()
    changed = _table_format.set_cell(table, "low.weight=7").unwrap()
    assert changed.rows[1].weight == 7
    assert changed.rows[0] == table.rows[0]
