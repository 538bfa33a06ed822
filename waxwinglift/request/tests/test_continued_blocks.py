"""Guards open transactions in a burst.

Pattern: a burst of one rank fills the queue of an endpoint while callers
are in the middle of transactions; a statement that waits too long ends its
transaction, and all of its earlier work was for nothing.
"""

import pytest

from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Refuse
from waxwinglift.request._admission import Start
from waxwinglift.request._admission import Ticket
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow

SLOTS_COUNT = 2
WORK_MS = 14.0
TIMEOUT_MS = 800.0


def make_queue():
    queue = AdmissionQueue(SLOTS_COUNT)
    rows = (
        RankRow("urgent", 64, 0, 0, 256, 800),
        RankRow("low", 16, 10, 0, 256, 800),
    )
    queue.set_tables([PoolTable("p", "g", rows)])
    return queue


def make_ticket(number, rank="low", caller=None, **fields):
    caller = caller or f"c{number}"
    return Ticket(number, "p", rank, caller, 0.0, TIMEOUT_MS, **fields)


def fill(queue, count, rank="low"):
    """Fill the slots and let ``count`` tickets wait."""
    actions = []
    for number in range(SLOTS_COUNT + count):
        actions += queue.offer(make_ticket(number, rank), 0.0)
    return [a.ticket for a in actions if isinstance(a, Start)]


def test_continued_block_goes_before_its_rank():
    """The work of an open transaction must not be lost in a queue."""
    queue = make_queue()
    running = fill(queue, 20)
    block = make_ticket(100, is_continued=True)
    assert queue.offer(block, 1.0) == []
    assert queue.finish(running[0], WORK_MS, WORK_MS) == [Start(block)]


def test_urgent_work_goes_before_a_continued_block_of_another_rank():
    """A transaction of a lower rank must not delay urgent work."""
    queue = make_queue()
    running = fill(queue, 4)
    queue.offer(make_ticket(100, is_continued=True), 1.0)
    urgent = make_ticket(101, "urgent")
    queue.offer(urgent, 2.0)
    assert queue.finish(running[0], WORK_MS, WORK_MS) == [Start(urgent)]


@pytest.mark.parametrize("is_removed_by", ["cancel", "expire", "refuse_all"])
def test_continued_block_can_leave(is_removed_by):
    """A caller that leaves, or a lost endpoint, must free the place."""
    queue = make_queue()
    fill(queue, 0)
    block = make_ticket(100, is_continued=True)
    queue.offer(block, 1.0)
    if is_removed_by == "cancel":
        queue.cancel(block)
    elif is_removed_by == "expire":
        (refusal,) = queue.expire(TIMEOUT_MS)
        assert isinstance(refusal, Refuse)
    else:
        (refusal,) = queue.refuse_all("lost")
        assert refusal.ticket == block
    assert queue.waiting_count == 0


@pytest.mark.parametrize("waiting_count", [10, 60])
def test_expected_wait_of_a_continued_block(waiting_count):
    """It must not be refused for the length of a queue that it passes."""
    queue = make_queue()
    fill(queue, waiting_count)
    block = make_ticket(100, is_continued=True)
    assert queue.expected_wait_ms(block) <= WORK_MS
    assert queue.expected_wait_ms(make_ticket(101)) > WORK_MS
