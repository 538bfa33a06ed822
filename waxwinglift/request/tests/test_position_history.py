"""Guards the positions that reads of a stated age must see."""

import pytest

from waxwinglift.request._position_history import PositionHistory
from waxwinglift.version import Position


def make_history(*samples):
    """Return a history of (time in ms, log offset) pairs."""
    history = PositionHistory()
    for asked_ms, lsn in samples:
        history.record(asked_ms, Position(1, lsn))
    return history


@pytest.mark.parametrize(
    ("now_ms", "max_age_ms", "lsn"),
    [
        # The oldest one that is recent enough, so that slow replicas serve.
        (1000, 1000, 10),
        (1000, 999, 20),
        (1300, 1000, 20),
        (1600, 1000, 30),
        (1600, 900, None),
        (5000, 1000, None),
    ],
)
def test_least_position_of_an_age(now_ms, max_age_ms, lsn):
    """A read must see all commits older than its age, and no more."""
    history = make_history((0, 10), (300, 20), (600, 30))
    position = history.find(now_ms, max_age_ms)
    assert position == (None if lsn is None else Position(1, lsn))


def test_late_answers_are_left_out():
    """An answer that was overtaken must not hide the newer one."""
    history = make_history((600, 30), (300, 20))
    assert history.find(700, 1000) == Position(1, 30)
    assert history.last_requested_ms == 600


def test_memory_is_bounded():
    """Days of questions must not fill the memory."""
    history = make_history(*((n * 100, n) for n in range(10_000)))
    assert len(history._samples) <= 64


def test_change_of_primary_forgets():
    """Positions of a replaced primary may not be in the new log."""
    history = make_history((0, 10))
    history.clear()
    assert history.find(0, 1000) is None
    assert history.last_requested_ms == float("-inf")
