"""Processor time and memory of admission, routing and commit wait."""

import random
import time
import tracemalloc

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.request import Access
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Ticket
from waxwinglift.request._commit_wait import CommitWait
from waxwinglift.request._routing import build_group_view
from waxwinglift.request._routing import choose_route
from waxwinglift.request._routing import EndpointStats
from waxwinglift.request._routing import EndpointView
from waxwinglift.request._routing import GroupView
from waxwinglift.request._routing import RouteRequest
from waxwinglift.version import EndpointRole
from waxwinglift.version import EndpointState
from waxwinglift.version import FleetState
from waxwinglift.version import GroupPhase
from waxwinglift.version import PoolTable
from waxwinglift.version import Position
from waxwinglift.version import RankRow
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group
from waxwinglift_bench.process._slopes import measurement

STEPS_COUNT = 1000
RANKS = ("urgent", "middle", "low")


def step_measurement(name, size_unit, *sizes):
    """Register ``prepare(size)``, which returns the step to be timed."""

    def register(prepare):
        @measurement(name, "us", size_unit, sizes)
        def time_prepared(size):
            return time_step(prepare(size), STEPS_COUNT)

        return prepare

    return register


def _table(pool):
    rows = tuple(RankRow(rank, 3, 10, 0, 10**6, 10**6) for rank in RANKS)
    return PoolTable(pool, "g", rows)


@step_measurement("admission", "ticket waiting", 10, 1000, 10000)
def prepare_admission_by_tickets(count):
    """Admit tickets of one pool while many tickets wait."""
    return _prepare_admission(count, 1)


@step_measurement("admission, by pools", "pool", 1, 10, 100)
def prepare_admission_by_pools(count):
    """Admit tickets of many pools while 100 tickets wait."""
    return _prepare_admission(100, count)


def _prepare_admission(waiting_count, pool_count):
    queue = AdmissionQueue(3)
    for number in range(pool_count):
        queue.set_table(_table(f"p{number}"))
    rng = random.Random(1)
    running = []

    def offer(number):
        pool = f"p{number % pool_count}"
        caller = f"c{rng.randrange(100)}"
        ticket = Ticket(number, pool, rng.choice(RANKS), caller, 0.0, 1e12)
        running.extend(a.ticket for a in queue.offer(ticket, number * 1.0))

    for number in range(waiting_count + 3):
        offer(number)

    def step(number):
        offer(waiting_count + 3 + number)
        now_ms = waiting_count + 3.0 + number
        actions = queue.finish(running.pop(0), now_ms, 4.0)
        running.extend(action.ticket for action in actions)

    return step


@step_measurement("routing", "replica", 2, 8, 32)
def prepare_routing(count):
    """Route a read with a session floor in a group of many replicas."""
    views = [
        EndpointView(f"e{i}", EndpointRole.REPLICA, i % 2, 3, "p", 1)
        for i in range(count)
    ]
    primary = EndpointView("w", EndpointRole.PRIMARY, 1, 3, "p", 1)
    view = GroupView("g", GroupPhase.ACTIVE, 1, primary, tuple(views), {})
    endpoint_stats = EndpointStats()
    rng = random.Random(1)

    def step(number):
        now_ms = number * 1.0
        position = Position(1, number * 100)
        endpoint_stats.observe_answer("w", position, 5.0, 0.0, now_ms)
        request = RouteRequest(Access.READ, position, None, now_ms + 500.0)
        route = choose_route(
            request, view, endpoint_stats, endpoint_stats.settings, now_ms, rng
        ).unwrap()
        endpoint_stats.observe_answer(
            route.endpoint, position, 5.0, 0.0, now_ms
        )

    return step


@step_measurement("routing: view", "endpoint", 9, 261, 2610)
def prepare_group_view(count):
    """Build the view of a group, as after each change of the fleet."""
    fleet = FleetState()
    here = Location("d", "r")
    for number in range(count):
        fleet.set_endpoint(
            Endpoint(
                endpoint=number,
                group=number // 3,
                address=Address("127.0.0.1", 1),
                location=here,
                role=EndpointRole.REPLICA,
                term=1,
                slots_count=3,
                connection_limit_count=25,
                state=EndpointState.JOINED,
            )
        )
    fleet.groups[0] = Group(0, GroupPhase.ACTIVE, 3, 1, 0, 0, {}, {})
    return lambda number: build_group_view(fleet, 0, here)


@step_measurement("commit wait", "held answer", 10, 1000, 10000)
def prepare_commit_wait(count):
    """Hold one answer and release one by a poll while many are held."""
    wait = CommitWait(2)
    wait.on_lease(True)
    wait.on_term(1)
    for number in range(count):
        wait.hold(number, Position(1, 100 + number), 0.0)

    def step(number):
        lsn = 100 + count + number
        wait.hold(count + number, Position(1, lsn), 0.0)
        wait.on_positions(1, lsn, {"a": 100 + number, "b": 0})

    return step


def time_step(step, repeat_count):
    """Return the mean processor time of a step in microseconds."""
    started_s = time.process_time()
    for number in range(repeat_count):
        step(number)
    return 1e6 * (time.process_time() - started_s) / repeat_count


@measurement("routing: knowledge", "bytes", "group", (10, 50))
def routing_stats_bytes(group_count):
    """Memory of an entry proxy's routing statistics of many groups."""
    tracemalloc.start()
    # Prevents the statistics from being freed before they are measured.
    steps = []
    for _ in range(group_count):
        step = prepare_routing(2)
        for number in range(300):
            step(10 * number)
        steps.append(step)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes
