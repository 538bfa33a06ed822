"""Tests of the position order that failover and session floors rely on."""

import pytest

from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term


@pytest.mark.parametrize(
    ("lower", "higher"),
    [
        ((1, 5), (1, 6)),
        ((1, 900), (2, 1)),
        ((0, 0), (1, 0)),
    ],
)
def test_position_orders_by_term_before_lsn(lower, higher):
    # If offsets were compared before terms, failover would choose a replica
    # with a longer log of an old term and lose acknowledged writes.
    low = Position(Term(lower[0]), Lsn(lower[1]))
    high = Position(Term(higher[0]), Lsn(higher[1]))
    assert low < high
