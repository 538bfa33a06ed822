"""Guards the positions that reads with a maximum age must include."""

import pytest

from waxwinglift.request._position_history import PositionHistory
from waxwinglift.version import Position


def make_history(*samples):
    """Return a history of (time in ms, log offset) pairs."""
    history = PositionHistory()
    for requested_ms, lsn in samples:
        history.record(requested_ms, Position(1, lsn))
    return history


@pytest.mark.parametrize(
    ("now_ms", "max_age_ms", "lsn"),
    [
        # The oldest position that is recent enough excludes fewest replicas.
        (1000, 1000, 10),
        (1000, 999, 20),
        (1300, 1000, 20),
        (1600, 1000, 30),
        (1600, 900, None),
        (5000, 1000, None),
    ],
)
def test_find_returns_lowest_position_for_an_age(now_ms, max_age_ms, lsn):
    """A read must include all commits older than its maximum age.

    A higher position would exclude replicas without need.
    """
    history = make_history((0, 10), (300, 20), (600, 30))
    position = history.find(now_ms, max_age_ms)
    assert position == (None if lsn is None else Position(1, lsn))


def test_late_answers_are_ignored():
    """An answer that arrives late must not replace a newer one."""
    history = make_history((600, 30), (300, 20))
    assert history.find(700, 1000) == Position(1, 30)
    assert history.last_requested_ms == 600


def test_memory_is_bounded():
    """Memory use must not grow with the number of requests."""
    history = make_history(*((n * 100, n) for n in range(10_000)))
    assert len(history._samples) <= 64


def test_clear_removes_all_positions():
    """Positions of a replaced primary may be missing in the new log."""
    history = make_history((0, 10))
    history.clear()
    assert history.find(0, 1000) is None
    assert history.last_requested_ms == float("-inf")
