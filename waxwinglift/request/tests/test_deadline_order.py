"""Guards the order "deadline" of an admission queue under overload.

The load is that of a primary of Admisiones that serves its group alone: 6
slots, 106 entry proxies, callers that repeat a refused request twice, bursts
of 10 s in which the offered work is up to 4 times what the slots can do.
"""

import random
import statistics

import pytest

from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Refuse
from waxwinglift.request._admission import Start
from waxwinglift.request._admission import Ticket
from waxwinglift.request.tests import overload_world as world
from waxwinglift.version import PoolTable

BURST_MS = (2_000, 12_000)
USUAL_RATIO = 0.7
END_MS = 22_000


def count(times_ms, begin_ms, end_ms):
    return sum(begin_ms <= time_ms < end_ms for time_ms in times_ms)


def run_burst(ratio, seed=1, **arguments):
    """Run a burst between two usual loads."""
    settings = world.deadline_settings()
    run = world.World(settings, True, seed=seed, **arguments)
    run.run([(USUAL_RATIO, BURST_MS[0]), (ratio, BURST_MS[1]), (0.7, END_MS)])
    return run


def served_share(run, name, begin_ms, end_ms):
    """Return which share of the requests that arrived then was served."""
    offered_count = count(run.offered[name], begin_ms, end_ms)
    return count(run.served[name], begin_ms, end_ms) / offered_count


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("ratio", "least_use", "refusals_limit", "least_share"),
    [(0.8, 0.75, 0.02, 0.98), (1.3, 0.88, 0.4, 0.6), (2.0, 0.85, 0.4, 0.35)]
    + [(4.0, 0.8, 0.5, 0.12)],
)
def test_overload_leaves_the_throughput(
    ratio, least_use, refusals_limit, least_share, seed
):
    """Refusals must not take the processor time that answers need.

    With the order "turns" the owner of the model, like that of a measured
    day, refuses 540 to 760 requests per second and uses 0 to 20% of the
    slots.  No kind of work of a rank may be shut out, and the urgent ranks
    must not be affected.
    """
    run = run_burst(ratio, seed)
    begin_ms, end_ms = BURST_MS[0] + 1000, BURST_MS[1]
    used_ms = sum(
        used_ms
        for number, used_ms in run.used_ms.items()
        if begin_ms <= 500 * number < end_ms
    )
    assert used_ms >= least_use * world.SLOTS_COUNT * (end_ms - begin_ms)
    served_count = sum(
        count(times_ms, begin_ms, end_ms) for times_ms in run.served.values()
    )
    refused_count = count(run.refusals, begin_ms, end_ms)
    assert refused_count <= refusals_limit * served_count
    shares = {
        name: served_share(run, name, begin_ms, end_ms) for name in run.kinds
    }
    assert min(shares.values()) >= least_share
    assert min(shares["check"], shares["solicitud"]) >= 0.95
    assert statistics.quantiles(run.latencies["check"], n=20)[-1] < 100
    # Full service is back soon after the burst.
    for name in run.kinds:
        late_ms = BURST_MS[1] + 3_000
        assert served_share(run, name, late_ms, END_MS) >= 0.97, name


def test_kinds_with_short_and_long_targets_keep_a_share():
    """A kind with much time must not keep the queue too long for another."""
    kinds = {
        "check": world.KINDS["check"],
        "short": world.Kind("low", 60, 20, 300, 3000),
        "long": world.Kind("low", 60, 20, 3000, 3000),
    }
    run = run_burst(2.0, kinds=kinds)
    shares = [served_share(run, name, *BURST_MS) for name in ("short", "long")]
    assert min(shares) >= 0.75 * max(shares)


def test_large_workspace_gives_way_to_the_others():
    """A workspace that sends as much as 80 others is refused more often."""
    kinds = {
        "check": world.KINDS["check"],
        "others": world.Kind("low", 64, 18, 1500, 2000, callers_count=80),
        "large": world.Kind("low", 64, 18, 1500, 2000),
    }
    run = run_burst(2.0, kinds=kinds)
    others, large = (
        served_share(run, name, *BURST_MS) for name in ("others", "large")
    )
    assert others >= 1.2 * large > 0


def make_queue(work_ms=100.0, slots_count=1):
    """Return a queue with one running ticket, and its settings."""
    settings = world.deadline_settings(initial_service_ms=work_ms)
    queue = AdmissionQueue(slots_count, settings, random.Random(1))
    queue.set_tables([PoolTable("", "g", world.ROWS)])
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
