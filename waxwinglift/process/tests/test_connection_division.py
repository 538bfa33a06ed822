"""Tests which connections the divisions give to each role."""

import pytest

from waxwinglift.process._connection_budget import ConnectionBudget
from waxwinglift.process._connection_budget import ConnectionRole
from waxwinglift.process._connection_budget import FormerOwner
from waxwinglift.process._connection_division import CONNECTION_DIVISIONS

_OWNER, _STANDBY = ConnectionRole.OWNER, ConnectionRole.STANDBY
_TEMPORARY, _NONE = ConnectionRole.TEMPORARY, ConnectionRole.NONE


@pytest.mark.parametrize(
    ("division", "role", "is_per_workspace", "limit_count"),
    [
        # With a share, an owner of 23 connections had 10, and 4 after a
        # change; a day with such changes served 4% fewer requests.
        ("fixed", _OWNER, False, 20),
        ("fixed", _OWNER, True, 14),
        ("fixed", _STANDBY, False, 6),
        ("fixed", _TEMPORARY, False, 3),
        ("fixed", _NONE, False, 6),
        ("shares", _OWNER, False, 10),
        ("shares", _OWNER, True, 10),
        ("shares", _STANDBY, False, 2),
        ("shares", _TEMPORARY, False, 1),
        ("shares", _NONE, False, 0),
    ],
)
def test_limit_of_each_role_at_a_server_with_23_connections(
    division, role, is_per_workspace, limit_count
):
    budget = ConnectionBudget()
    budget.update(role, 0.0, former_owner=FormerOwner.ABSENT)
    found = CONNECTION_DIVISIONS[division]().limit_count(
        budget, 23, is_per_workspace, 0.0
    )
    assert found == limit_count


@pytest.mark.parametrize(
    ("division", "limit_count"), [("fixed", 53), ("shares", 10)]
)
def test_only_shares_wait_for_a_lost_former_owner(division, limit_count):
    budget = ConnectionBudget()
    budget.update(_OWNER, 0.0, former_owner=FormerOwner.LOST)
    found = CONNECTION_DIVISIONS[division]().limit_count(
        budget, 56, False, 1000.0
    )
    assert found == limit_count
