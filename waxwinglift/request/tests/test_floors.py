"""Guards read-your-writes across changes of primary."""

import pytest

from waxwinglift.request._floors import advance_floor
from waxwinglift.request._floors import check_floor
from waxwinglift.request._floors import FloorState
from waxwinglift.request._floors import is_floor_lost
from waxwinglift.request._floors import surviving_floor
from waxwinglift.version import Position


@pytest.mark.parametrize(
    ("floor", "position", "term_ends", "state"),
    [
        (None, (1, 0), {}, FloorState.MET),
        ((1, 100), (1, 100), {}, FloorState.MET),
        ((1, 101), (1, 100), {}, FloorState.BEHIND),
        # A server of an older term may contain discarded writes.
        ((2, 50), (1, 900), {1: 40}, FloorState.BEHIND),
        ((1, 100), (2, 150), {1: 100}, FloorState.MET),
        ((1, 100), (2, 90), {1: 100}, FloorState.BEHIND),
        # The write at 101 was discarded, so no read can include it.
        ((1, 101), (2, 150), {1: 100}, FloorState.LOST),
        # The log of term 3 branched off before the end of term 1.
        ((1, 100), (3, 150), {1: 100, 2: 90}, FloorState.LOST),
        ((1, 90), (3, 150), {1: 100, 2: 120}, FloorState.MET),
        # The end of term 1 is not recorded yet: neither serve nor fail.
        ((1, 100), (2, 150), {}, FloorState.BEHIND),
    ],
)
def test_check_floor(floor, position, term_ends, state):
    """A read must include the session's writes, or fail if they are lost."""
    floor = Position(*floor) if floor else None
    assert check_floor(floor, Position(*position), term_ends) is state


@pytest.mark.parametrize(
    ("floor", "position", "expected"),
    [
        (None, (1, 5), (1, 5)),
        ((1, 5), None, (1, 5)),
        # A read at a replica that lags must not lower the floor.
        ((1, 9), (1, 5), (1, 9)),
        ((1, 9), (2, 3), (2, 3)),
    ],
)
def test_floor_only_advances(floor, position, expected):
    """A lower floor would let later reads miss the session's writes."""
    floor = Position(*floor) if floor else None
    position = Position(*position) if position else None
    assert advance_floor(floor, position) == Position(*expected)


@pytest.mark.parametrize(
    ("floor", "past_ends", "expected"),
    [
        ((1, 150), {1: 145}, (1, 145)),
        ((1, 150), {1: 145, 2: 160}, (1, 145)),
        ((2, 170), {1: 145, 2: 160}, (2, 160)),
        # Term 2 is not in the history, or has no write in it.
        ((2, 150), {1: 145, 2: 145}, (1, 145)),
        # A later promotion went back behind the end of term 1.
        ((2, 170), {1: 140, 2: 140}, (1, 140)),
        ((1, 5), {1: 0}, None),
    ],
)
def test_writes_that_were_not_discarded_keep_a_floor(
    floor, past_ends, expected
):
    """Without it, later reads of the session would miss these writes."""
    floor = Position(*floor)
    expected = Position(*expected) if expected else None
    assert is_floor_lost(floor, past_ends)
    assert surviving_floor(floor, past_ends) == expected
