"""Tests that open transactions make progress during a burst.

A burst of one rank can fill the queue of an endpoint while callers have open
transactions.  If a statement then waits too long, its transaction ends and
all of its earlier work is lost.
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
    """Fill the slots and add ``count`` waiting tickets.

    Returns the tickets that run.
    """
    actions = []
    for number in range(SLOTS_COUNT + count):
        actions += queue.offer(make_ticket(number, rank), 0.0)
    return [a.ticket for a in actions if isinstance(a, Start)]


def test_statement_of_an_open_block_starts_before_others_of_its_rank():
    """A full queue must not end transactions that have already done work."""
    queue = make_queue()
    running = fill(queue, 20)
    block = make_ticket(100, is_continued=True)
    assert queue.offer(block, 1.0) == []
    assert queue.finish(running[0], WORK_MS, WORK_MS) == [Start(block)]


def test_urgent_work_starts_before_an_open_block_of_a_lower_rank():
    """Open transactions of a lower rank must not delay urgent work."""
    queue = make_queue()
    running = fill(queue, 4)
    queue.offer(make_ticket(100, is_continued=True), 1.0)
    urgent = make_ticket(101, "urgent")
    queue.offer(urgent, 2.0)
    assert queue.finish(running[0], WORK_MS, WORK_MS) == [Start(urgent)]


@pytest.mark.parametrize("removal", ["cancel", "expire", "refuse_all"])
def test_statement_of_an_open_block_can_be_removed(removal):
    """A ticket that can no longer be served must not stay in the queue."""
    queue = make_queue()
    fill(queue, 0)
    block = make_ticket(100, is_continued=True)
    queue.offer(block, 1.0)
    if removal == "cancel":
        queue.cancel(block)
    elif removal == "expire":
        (refusal,) = queue.expire(TIMEOUT_MS)
        assert isinstance(refusal, Refuse)
    else:
        (refusal,) = queue.refuse_all("lost")
        assert refusal.ticket == block
    assert queue.waiting_count == 0


@pytest.mark.parametrize("waiting_count", [10, 60])
def test_expected_wait_of_an_open_block_ignores_its_queue(waiting_count):
    """A statement must not be refused because of tickets behind it."""
    queue = make_queue()
    fill(queue, waiting_count)
    block = make_ticket(100, is_continued=True)
    assert queue.expected_wait_ms(block) <= WORK_MS
    assert queue.expected_wait_ms(make_ticket(101)) > WORK_MS
