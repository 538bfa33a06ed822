"""Guards read-your-writes across changes of primary."""

import pytest

from waxwinglift.request._floors import advance_floor
from waxwinglift.request._floors import check_floor
from waxwinglift.request._floors import FloorState
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
