"""Guards against acknowledged writes that a failover discards."""

import pytest

from waxwinglift.request import Verdict
from waxwinglift.request._commit_wait import CommitWait
from waxwinglift.request._commit_wait import Fail
from waxwinglift.request._commit_wait import Release
from waxwinglift.version import Position


def make_wait(quorum_count=2, held=((1, 100),)):
    wait = CommitWait(quorum_count)
    wait.on_lease(True)
    wait.on_term(1)
    for number, position in enumerate(held):
        assert wait.hold(number, Position(*position), 0.0) == []
    return wait


@pytest.mark.parametrize(
    ("quorum_count", "polls", "released"),
    [
        (2, [(1, 100, {"b": 100})], 1),
        (2, [(1, 100, {"b": 99, "c": 99})], 0),
        (2, [(1, 100, {"b": 99}), (1, 100, {"c": 100})], 1),
        # The primary was polled before it had flushed the position.
        (2, [(1, 90, {"b": 100, "c": 100})], 0),
        (3, [(1, 200, {"b": 200, "c": 99, "d": 0, "e": 0})], 0),
        (3, [(1, 200, {"b": 200, "c": 100, "d": 0, "e": 0})], 1),
        # Late polls never lower an offset and never count in another term.
        (2, [(1, 150, {"b": 60}), (1, 80, {"b": 50}), (1, 0, {"b": 100})], 1),
        (2, [(2, 500, {"b": 500})], 0),
        (2, [(0, 500, {"b": 500, "c": 500})], 0),
        (1, [(1, 100, {})], 1),
    ],
)
def test_answer_is_released_on_quorum(quorum_count, polls, released):
    """An answer released earlier may acknowledge a write that is lost."""
    wait = make_wait(quorum_count)
    actions = [a for poll in polls for a in wait.on_positions(*poll)]
    assert actions == [Release(0)] * released
    assert wait.held_count == 1 - released


@pytest.mark.parametrize(
    "end",
    [
        lambda wait: wait.on_term(2),
        lambda wait: wait.on_lease(False),
        lambda wait: wait.expire(3000.0),
    ],
)
def test_unconfirmed_answers_fail_once(end):
    """A write without a quorum may be lost or preserved by a failover."""
    wait = make_wait()
    actions = end(wait)
    assert [a.failure.verdict for a in actions] == [Verdict.MAY_HAVE_RUN]
    assert isinstance(actions[0], Fail)
    assert wait.on_positions(1, 200, {"b": 200}) == []
    assert wait.expire(9999.0) == []


@pytest.mark.parametrize("change", ["term", "lease"])
def test_answers_after_a_change_of_term_or_lease_fail(change):
    """The new primary may lack a write that is answered after the change."""
    wait = make_wait(held=())
    if change == "term":
        wait.on_term(2)
    else:
        wait.on_lease(False)
    actions = wait.hold(7, Position(1, 50), 1.0)
    assert isinstance(actions[0], Fail)


def test_offsets_of_an_older_term_confirm_no_newer_position():
    """The same offsets occur in several terms.

    A quorum at offset 500 of term 1 confirms nothing in term 2.
    """
    wait = make_wait(held=())
    wait.on_positions(1, 500, {"b": 500})
    assert wait.hold(1, Position(1, 400), 0.0) == [Release(1)]
    wait.on_term(2)
    assert wait.hold(2, Position(2, 400), 0.0) == []
    assert wait.on_positions(2, 400, {"c": 400}) == [Release(2)]


def test_answers_are_released_in_order_and_cancelled_ones_dropped():
    """A cancelled answer must not be released or keep polling frequent."""
    wait = make_wait(held=((1, 300), (1, 100), (1, 200)))
    wait.cancel(2)
    assert wait.poll_interval_ms() == wait.settings.busy_poll_ms
    assert wait.on_positions(1, 300, {"b": 300}) == [Release(1), Release(0)]
    assert wait.poll_interval_ms() == wait.settings.idle_poll_ms
