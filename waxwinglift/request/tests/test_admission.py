"""Guards order, limits and refusals of an endpoint's admission queue."""

import collections

import pytest

from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import Verdict
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Refuse
from waxwinglift.request._admission import Start
from waxwinglift.request._admission import Ticket
from waxwinglift.request._rank_queue import RankQueue
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow

# rank, weight, floor percent, limit, queue limit, deadline
ROWS = (
    ("urgent", 10, 0, 0, 1000, 1000),
    ("middle", 3, 20, 0, 1000, 1000),
    ("low", 1, 10, 2, 1000, 1000),
)
SERVICE_MS = 4.0


def make_tables(pools, rows=ROWS):
    table = tuple(RankRow(*row) for row in rows)
    return [PoolTable(pool, "g", table) for pool in pools]


def make_queue(slots_count=1, rows=ROWS, pools=("main",)):
    queue = AdmissionQueue(slots_count)
    queue.set_tables(make_tables(pools, rows))
    return queue


class Driver:
    """Offers tickets to a queue and finishes started ones in order."""

    def __init__(self, queue):
        self.queue = queue
        self.now_ms = 0.0
        self.running = collections.deque()
        self.started = []
        self.refused = []
        self.count = 0

    def record(self, actions):
        for action in actions:
            if isinstance(action, Start):
                self.started.append(action.ticket)
                self.running.append(action.ticket)
            else:
                self.refused.append(action)

    def offer(self, rank, caller="c", pool="main", limit_ms=1000.0):
        self.count += 1
        deadline_ms = self.now_ms + limit_ms
        ticket = Ticket(
            self.count, pool, rank, caller, self.now_ms, deadline_ms
        )
        self.record(self.queue.offer(ticket, self.now_ms))
        return ticket

    def finish(self, service_ms=SERVICE_MS):
        self.now_ms += service_ms / self.queue.slots_count
        ticket = self.running.popleft()
        self.record(self.queue.finish(ticket, self.now_ms, service_ms))

    def shares(self, ranks, rounds, depth=20):
        """Return each rank's share of starts with `depth` tickets queued."""
        for _ in range(depth):
            for rank in ranks:
                self.offer(rank, limit_ms=1e9)
        counts = collections.Counter()
        for _ in range(rounds):
            started_count = len(self.started)
            self.finish()
            for ticket in self.started[started_count:]:
                counts[ticket.rank] += 1
                self.offer(ticket.rank, limit_ms=1e9)
        return {rank: counts[rank] / rounds for rank in ranks}


@pytest.mark.parametrize(
    ("offers", "order"),
    [
        # First come, first served would delay urgent work behind a flood.
        ([("low", "a")] * 3 + [("urgent", "b")], "low urgent low low"),
        # None: in order of urgency after the first.
        ([("middle", "a"), ("low", "a"), ("urgent", "a")], None),
    ],
)
def test_urgent_starts_before_waiting_lower_ranks(offers, order):
    driver = Driver(make_queue())
    for rank, caller in offers:
        driver.offer(rank, caller)
    while driver.running:
        driver.finish()
    expected = order or "middle urgent low"
    assert " ".join(t.rank for t in driver.started) == expected


@pytest.mark.parametrize(
    ("ranks", "rank", "least", "most"),
    [
        # Without floors, a flood of a higher rank starves the lower ranks.
        (("urgent", "middle", "low"), "middle", 0.19, 0.25),
        (("urgent", "middle", "low"), "low", 0.09, 0.15),
        (("urgent", "low"), "low", 0.09, 0.15),
        # Without urgent work the weights determine the shares.
        (("middle", "low"), "low", 0.20, 0.30),
        (("low",), "low", 1.0, 1.0),
    ],
)
@pytest.mark.parametrize("slots_count", [1, 2, 3])
def test_floors_and_weights_determine_shares_in_a_flood(
    ranks, rank, least, most, slots_count
):
    """No rank may starve in a flood of the others."""
    rows = tuple((*row[:3], 0, *row[4:]) for row in ROWS)
    driver = Driver(make_queue(slots_count, rows))
    assert least <= driver.shares(ranks, 3000)[rank] <= most


def test_floor_applies_after_use_of_idle_slots():
    """A rank that used idle slots must not starve in the next flood."""
    driver = Driver(make_queue())
    driver.shares(("low",), 2000, depth=60)
    started = len(driver.started)
    for _ in range(300):
        driver.offer("urgent", limit_ms=1e9)
    for _ in range(300):
        driver.finish()
    later = driver.started[started:]
    assert sum(t.rank == "low" for t in later) >= 0.07 * len(later)


def test_callers_of_a_rank_take_turns():
    """A caller with a long queue must not delay the others of its rank."""
    driver = Driver(make_queue())
    for _ in range(10):
        driver.offer("middle", "greedy")
    driver.offer("middle", "modest")
    for _ in range(3):
        driver.finish()
    assert "modest" in [t.caller for t in driver.started[:4]]


@pytest.mark.parametrize(
    ("greedy_count", "greedy_ms", "modest_ms", "first_index", "last_index"),
    [
        # In turn, the accepted ticket would expire before its start.
        (1, 40.0, 1000.0, 1, 1),
        # No deadline is near, so callers take turns.
        (1, 1000.0, 1000.0, 6, 6),
        # A caller whose tickets all have near deadlines gets at most four
        # turns in advance.
        (20, 90.0, 1000.0, 1, 1),
        # The ticket with the earliest deadline starts first.
        (1, 60.0, 40.0, 2, 2),
    ],
)
def test_ticket_that_would_expire_in_turn_starts_in_advance(
    greedy_count, greedy_ms, modest_ms, first_index, last_index
):
    """Accepted tickets must not expire while they wait for their turn.

    Their work would be lost, and the queue would run empty.
    """
    driver = Driver(make_queue())
    driver.offer("middle", "other")
    for caller in "abcd":
        driver.offer("middle", caller, limit_ms=1000.0)
    modest = driver.offer("middle", "modest", limit_ms=modest_ms)
    for _ in range(greedy_count):
        driver.offer("middle", "greedy", limit_ms=greedy_ms)
    while modest not in driver.started[1:]:
        driver.finish()
    started = [t.caller for t in driver.started[1:]]
    ahead = started[: started.index("modest")]
    assert ahead.count("greedy") <= 4
    while "greedy" not in [t.caller for t in driver.started]:
        driver.finish()
    callers = [t.caller for t in driver.started]
    assert first_index <= callers.index("greedy") <= last_index


def test_limit_reserves_a_slot_for_urgent_work():
    """The limit of 2 of the low rank must leave a slot for urgent work.

    With low work in every slot, an urgent ticket would wait until one ends.
    """
    driver = Driver(make_queue(slots_count=3))
    for _ in range(5):
        driver.offer("low")
    assert len(driver.started) == 2
    driver.offer("urgent")
    assert driver.started[-1].rank == "urgent"


@pytest.mark.parametrize(
    ("waiting", "rank", "limit_ms", "code"),
    [
        # The expected wait exceeds the deadline.
        (10, "middle", 20.0, FailureCode.REJECTED),
        (10, "middle", 100.0, None),
        (10, "urgent", 20.0, None),
        (0, "middle", 0.0, FailureCode.REJECTED),
        (1000, "middle", 1e9, FailureCode.REJECTED),
        (0, "other", 20.0, FailureCode.BAD_PARAMETER),
    ],
)
def test_ticket_that_cannot_be_served_is_refused_at_once(
    waiting, rank, limit_ms, code
):
    """A late refusal leaves the caller no time for an alternative."""
    driver = Driver(make_queue())
    for _ in range(waiting + 1 if waiting else 0):
        driver.offer("middle", limit_ms=1e9)
    ticket = driver.offer(rank, limit_ms=limit_ms)
    failures = [r.failure for r in driver.refused if r.ticket is ticket]
    assert [f.code for f in failures] == ([code] if code else [])
    assert all(f.verdict is Verdict.NOT_RUN for f in failures)


def test_expired_and_cancelled_tickets_never_start():
    """A request that was reported as not run must not run later."""
    driver = Driver(make_queue())
    driver.offer("middle")
    expired = driver.offer("middle", limit_ms=50.0)
    cancelled = driver.offer("middle")
    driver.queue.cancel(cancelled)
    assert driver.queue.next_expiry_ms() == 50.0
    refused = driver.queue.expire(50.0)
    assert [r.ticket for r in refused] == [expired]
    driver.finish()
    assert driver.started[1:] == []
    assert driver.queue.waiting_count == driver.queue.running_count == 0


def test_finish_frees_a_slot_once():
    """A repeated `finish` must not start more tickets than slots."""
    driver = Driver(make_queue())
    first = driver.offer("middle")
    for _ in range(3):
        driver.offer("middle")
    driver.finish()
    assert driver.queue.finish(first, 9.0, 4.0) == []
    assert driver.queue.running_count == 1


def test_refuse_all_empties_the_queue():
    """No waiting ticket may start after the lease is lost."""
    driver = Driver(make_queue())
    for _ in range(4):
        driver.offer("low")
    failure = not_run(FailureCode.UNAVAILABLE, "lease lost")
    actions = driver.queue.refuse_all(failure)
    assert actions == [Refuse(a.ticket, failure) for a in actions]
    assert len(actions) == 3
    driver.finish()
    assert len(driver.started) == 1


@pytest.mark.parametrize("pools", [("main", "other"), ("a", "b", "c")])
def test_pools_of_a_group_share_by_weight(pools):
    """Pools with equal tables must get equal shares of the slots.

    Floors of more than 100% in total must not block the urgent ranks.
    """
    rows = tuple((*row[:2], 40, *row[3:]) for row in ROWS)
    driver = Driver(make_queue(1, rows, pools))
    for _ in range(100):
        for pool in pools:
            for row in rows:
                driver.offer(row[0], pool=pool, limit_ms=1e9)
    for _ in range(120):
        driver.finish()
    counts = collections.Counter(t.pool for t in driver.started)
    assert max(counts.values()) - min(counts.values()) <= 6


def test_edited_table_keeps_waiting_tickets():
    """An edit must not drop requests; a removed rank accepts no new ones."""
    driver = Driver(make_queue())
    for _ in range(3):
        driver.offer("low")
    table = PoolTable("main", "g", (RankRow(*ROWS[0]),))
    driver.queue.set_table(table)
    driver.offer("low")
    assert [r.failure.code for r in driver.refused] == [
        FailureCode.BAD_PARAMETER
    ]
    while driver.running:
        driver.finish()
    assert len(driver.started) == 3


@pytest.mark.parametrize(
    ("urgent_count", "refused"),
    # 100 urgent tickets take 400 ms, but the floor of 20% serves the middle
    # rank after 20 ms.
    [(0, False), (100, False), (1000, False)],
)
def test_expected_wait_considers_the_floor(urgent_count, refused):
    """A ticket that its floor serves in time must not be refused."""
    driver = Driver(make_queue())
    for _ in range(urgent_count + 1):
        driver.offer("urgent", limit_ms=1e9)
    driver.offer("middle", limit_ms=100.0)
    assert bool(driver.refused) is refused


def test_idle_rank_earns_credit_in_a_flood():
    """A rank whose bursts average below its floor must not wait.

    Without credit earned while it is idle, each burst would wait as if the
    rank were above its floor.
    """
    driver = Driver(make_queue())
    for _ in range(400):
        driver.offer("urgent", limit_ms=1e9)
    for _ in range(50):
        driver.finish()
    for _ in range(4):
        driver.offer("middle", limit_ms=1e9)
    started_count = len(driver.started)
    for _ in range(5):
        driver.finish()
    ranks = [t.rank for t in driver.started[started_count:]]
    assert ranks.count("middle") == 4


@pytest.mark.parametrize(
    ("pools", "accepted"),
    [
        (("main", "other"), {"main", "other"}),
        (("main",), {"main"}),
        (("other", "third"), {"other", "third"}),
        ((), set()),
    ],
)
def test_queue_accepts_only_pools_of_its_group(pools, accepted):
    """A pool that moved to another group must no longer be served."""
    driver = Driver(make_queue(slots_count=3, pools=("main", "other")))
    driver.queue.set_tables(make_tables(pools))
    for pool in ("main", "other", "third"):
        driver.offer("urgent", pool=pool)
    served = {ticket.pool for ticket in driver.started}
    assert served == accepted


@pytest.mark.parametrize("advance_limit_count", [0, 4])
def test_removed_tickets_do_not_accumulate(advance_limit_count):
    """The heap of deadlines must not grow in a rank that is never empty.

    Without rebuilding, removed tickets would stay in it until they reach its
    top or, without turns in advance, for ever.
    """
    rank = RankQueue(RankRow(*ROWS[0]), 0)
    for number in range(2000):
        rank.push(Ticket(number, "main", "urgent", "c", 0.0, 1e9 + number))
        if len(rank) > 10:
            rank.pop(0.0, 1.0, advance_limit_count)
    assert len(rank) == 10
    assert len(rank._deadlines) <= 100


def test_floor_takes_effect_at_once_in_a_flood():
    """The first ticket of a rank must not wait until credit is earned.

    The credit of a whole statement of 4 ms would take 20 ms to earn.
    """
    driver = Driver(make_queue())
    for _ in range(50):
        driver.offer("urgent", limit_ms=1e9)
    driver.finish()
    driver.offer("middle", limit_ms=1e9)
    driver.finish()
    assert driver.started[-1].rank == "middle"


def test_deleted_pool_accepts_no_new_tickets():
    """Waiting tickets of a deleted pool are served, new ones refused."""
    driver = Driver(make_queue(pools=("main", "other")))
    for _ in range(2):
        driver.offer("low")
    driver.queue.remove_table("main")
    driver.offer("low")
    driver.offer("low", pool="other")
    assert len(driver.refused) == 1
    while driver.running:
        driver.finish()
    assert len(driver.started) == 3
