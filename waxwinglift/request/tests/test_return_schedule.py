"""Guards the times after which refused requests may return."""

import collections
import random

import pytest

from waxwinglift.request._return_schedule import ReturnSchedule

LIMIT_MS = 1000.0


def book(count, served_per_s=200.0, urgency=0.0, shortest_ms=0.0):
    """Return the return times of requests that are refused together."""
    schedule = ReturnSchedule(1 / 3, LIMIT_MS, random.Random(1))
    return [
        schedule.book_ms(5000.0, shortest_ms, served_per_s / 1000, urgency)
        for _ in range(count)
    ]


@pytest.mark.parametrize("count", [20, 106, 318])
@pytest.mark.parametrize("served_per_s", [0.0, 30.0, 200.0])
def test_requests_refused_together_do_not_return_together(count, served_per_s):
    """Entry proxies of one burst that all return at once are refused again."""
    times_ms = book(count, served_per_s)
    assert 0 < min(times_ms) and max(times_ms) <= LIMIT_MS
    steps = collections.Counter(time_ms // 100 for time_ms in times_ms)
    by_capacity = served_per_s / 3 / 10
    assert max(steps.values()) <= max(by_capacity, count / 10) + 3


def test_urgent_ranks_return_earlier():
    """The first free slots after a burst belong to the urgent work."""
    assert sum(book(30, urgency=1.0)) < 0.7 * sum(book(30, urgency=0.0))


def test_nothing_returns_while_the_queue_is_as_long():
    """A return before the queue is shorter would be refused again."""
    assert min(book(10, shortest_ms=400.0)) >= 400


def test_steps_that_have_passed_are_free_again():
    """A schedule that stayed full would keep callers away after a burst."""
    schedule = ReturnSchedule(1 / 3, LIMIT_MS, random.Random(1))
    for _ in range(300):
        schedule.book_ms(5000.0, 0.0, 0.2, 0.0)
    assert schedule.book_ms(6100.0, 0.0, 0.2, 0.0) <= 100
