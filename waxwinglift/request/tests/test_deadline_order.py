"""Guards order, estimates and late refusals of the order "deadline"."""

import random

import pytest

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Refuse
from waxwinglift.request._admission import Start
from waxwinglift.request._admission import Ticket
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow

ROWS = (
    RankRow("top", 64, 0, 0, 256, 1000),
    RankRow("low", 16, 10, 0, 256, 1000),
)


def make_queue(work_ms=100.0, slots_count=1):
    """Return a queue with one running ticket, and its settings."""
    settings = AdmissionSettings(
        order="deadline", wait_fraction=0.5, initial_service_ms=work_ms
    )
    queue = AdmissionQueue(slots_count, settings, random.Random(1))
    queue.set_tables([PoolTable("", "g", ROWS)])
    for number in range(slots_count):
        queue.offer(make_ticket(-number - 1, 10_000.0), 0.0)
    return queue


def make_ticket(number, target_ms, limit_ms=30_000.0, **fields):
    values = {"request": number, "pool": "", "rank": "low", "caller": ""}
    values |= {"arrival_ms": 0.0, "deadline_ms": limit_ms}
    return Ticket(**(values | {"target_ms": target_ms} | fields))


@pytest.mark.parametrize(
    ("tickets", "order"),
    [
        ([(1, 9000, {}), (2, 4000, {}), (3, 6000, {})], [2, 3, 1]),
        # Without a target the time limit of the statement counts.
        ([(1, 0, {}), (2, 9000, {})], [2, 1]),
        ([(1, 9000, {"limit_ms": 3000.0}), (2, 4000, {})], [1, 2]),
        # A refusal would discard the work of the open block.
        ([(1, 4000, {}), (2, 9000, {"is_continued": True})], [2, 1]),
        ([(1, 4000, {}), (2, 9000, {"rank": "top"})], [2, 1]),
    ],
)
def test_latest_start_goes_first(tickets, order):
    """Waiting tickets start in the order that meets most targets."""
    queue = make_queue()
    for number, target_ms, fields in tickets:
        assert not queue.offer(make_ticket(number, target_ms, **fields), 0.0)
    ended = make_ticket(-1, 10_000.0)
    started = []
    for _ in tickets:
        (start,) = queue.finish(ended, 100.0, 100.0, 100.0)
        ended = start.ticket
        started.append(ended.request)
    assert started == order


def test_ticket_that_others_have_overtaken_is_refused_at_once():
    """It must not wait until its latest start when it cannot be met."""
    queue = make_queue()
    late = make_ticket(1, 1000.0)
    assert not queue.offer(late, 0.0)
    for number in range(2, 12):
        block = make_ticket(number, 0.0, rank="top")
        assert not queue.offer(block, 0.0)
    (refusal,) = queue.expire(50.0)
    assert isinstance(refusal, Refuse) and refusal.ticket is late
    assert 0 < refusal.failure.retry_after_ms <= 1000


def test_ticket_waits_for_its_floor_share_behind_urgent_ones():
    """It gets a slot in time, however long the urgent queue is."""
    queue = make_queue()
    assert not queue.offer(make_ticket(1, 2000.0), 0.0)
    for number in range(2, 32):
        queue.offer(make_ticket(number, 0.0, rank="top"), 0.0)
    assert not queue.expire(50.0)


@pytest.mark.parametrize(
    ("work_ms", "least_ms", "most_ms"), [(300.0, 250, 310), (None, 99, 101)]
)
def test_refusals_of_the_endpoint_are_no_work(work_ms, least_ms, most_ms):
    """Quick refusals of a replica that is behind must not shorten waits."""
    queue = make_queue()
    ended = make_ticket(-1, 10_000.0)
    for _ in range(100):
        queue.finish(ended, 0.0, 2.0, work_ms)
        (start,) = queue.offer(ended, 0.0)
        assert isinstance(start, Start)
    assert least_ms <= queue.service_ms <= most_ms


@pytest.mark.parametrize(
    ("used_ms", "order"),
    [
        ({"a": 100.0, "b": 100.0, "c": 100.0}, ["a", "b"]),
        ({"a": 900.0, "b": 100.0, "c": 100.0}, ["b", "a"]),
    ],
)
def test_caller_that_exceeds_its_share_starts_after_the_others(used_ms, order):
    """A workspace must not keep the slots by sending the most requests."""
    queue = make_queue(work_ms=10.0)
    ended = make_ticket(-1, 10_000.0)
    for number, (caller, work_ms) in enumerate(used_ms.items(), 10):
        queue.finish(ended, 0.0, 0.0)
        ended = make_ticket(number, 10_000.0, caller=caller)
        queue.offer(ended, 0.0)
        queue.finish(ended, 0.0, work_ms, work_ms)
        # The slot stays in use, so that the next tickets wait.
        ended = make_ticket(-number, 10_000.0)
        queue.offer(ended, 0.0)
    for number, (caller, target_ms) in enumerate((("a", 5e3), ("b", 9e3))):
        ticket = make_ticket(number, target_ms, caller=caller)
        assert not queue.offer(ticket, 0.0)
    started = []
    for _ in order:
        (start,) = queue.finish(ended, 0.0, 1.0, 1.0)
        ended = start.ticket
        started.append(ended.caller)
    assert started == order
