"""Guards the example files, which newcomers copy."""

import pathlib

import pytest

from waxwinglift.process import _settings
from waxwinglift.process.cli import _table_format
from waxwinglift.version import GroupName
from waxwinglift.version import PoolName
from waxwinglift.version._edits import find_table_error

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize(
    ("name", "model"),
    [
        ("proxy.toml", _settings.ProxySettings),
        ("control.toml", _settings.ControlSettings),
    ],
)
def test_example_settings_are_valid(name, model):
    loaded = _settings.load_settings(EXAMPLES / name, model)
    assert loaded.is_ok(), loaded.err_value


def test_example_table_is_valid():
    text = (EXAMPLES / "payouts.csv").read_text(encoding="utf-8")
    pool = PoolName("payouts")
    table = _table_format.parse_table(pool, GroupName("ledger"), text)
    assert find_table_error(pool, table.unwrap()) is None
