"""Tests of the replaced tables that are kept for a rollback."""

import pytest

from waxwinglift.version import EditId
from waxwinglift.version import FleetState
from waxwinglift.version import GroupName
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version import Rank
from waxwinglift.version import RankRow
from waxwinglift.version._edits import apply_edit
from waxwinglift.version._edits import PAST_TABLES_COUNT
from waxwinglift.version._entries import PoolEdited

POOL = PoolName("payouts")


def make_table(weight):
    row = RankRow(Rank("urgent"), weight, 0, 0, 10, 100)
    return PoolTable(POOL, GroupName("ledger"), (row,))


def edit(state, number, table):
    version = state.pools[POOL].version if POOL in state.pools else 0
    apply_edit(
        state, PoolEdited(EditId(f"edit-{number}"), POOL, version, table)
    )


@pytest.mark.parametrize(
    ("edits_count", "kept_versions"),
    [
        (1, []),
        (2, [1]),
        (4, [1, 2, 3]),
        (14, list(range(4, 14))),
    ],
)
def test_replaced_tables_are_kept_up_to_the_limit(edits_count, kept_versions):
    # Without a limit, snapshots would grow with every edit.
    state = FleetState()
    for number in range(edits_count):
        edit(state, number, make_table(number + 1))
    history = state.pools[POOL].history
    assert [past.version for past in history] == kept_versions
    assert len(history) <= PAST_TABLES_COUNT


def test_deleted_pool_can_be_rolled_back():
    # The table of a pool that was deleted by mistake must not be lost.
    state = FleetState()
    edit(state, 1, make_table(7))
    edit(state, 2, None)
    assert state.pools[POOL].table is None
    assert state.pools[POOL].history[-1].table == make_table(7)
