"""Guards the choice of an endpoint by role, floor, lag and failures."""

import collections
import dataclasses
import random

import pytest

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift.request import Access
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import Verdict
from waxwinglift.request._routing import build_group_view
from waxwinglift.request._routing import choose_route
from waxwinglift.request._routing import EndpointStats
from waxwinglift.request._routing import RouteRequest
from waxwinglift.version import EndpointRole
from waxwinglift.version import EndpointState
from waxwinglift.version import FleetState
from waxwinglift.version import GroupPhase
from waxwinglift.version import OwnerAssignment
from waxwinglift.version import Position
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group

SETTINGS = RoutingSettings()
HERE = Location("d1", "r1")
READ = RouteRequest(Access.READ, None, None, 10000.0)


def make_fleet(phase=GroupPhase.ACTIVE, primary="a", term=1, ends=None):
    fleet = FleetState()
    for name, data_centre in (("a", "d1"), ("b", "d1"), ("c", "d2")):
        role = EndpointRole.PRIMARY if name == "a" else EndpointRole.REPLICA
        fleet.set_endpoint(
            Endpoint(
                name,
                "g",
                Address("127.0.0.1", 1),
                Location(data_centre, "r1"),
                role,
                term,
                3,
                25,
                EndpointState.JOINED,
            )
        )
        fleet.owners[name] = OwnerAssignment(name, f"p{name}", None, 4)
    fleet.groups["g"] = Group(
        "g", phase, 3, term, primary, 0, ends or {}, {term: term}
    )
    return fleet


def make_endpoint_stats():
    """Return statistics: b lags 10 ms, c 250 ms; the log grows 1 byte/ms."""
    endpoint_stats = EndpointStats(SETTINGS)
    for now_ms in range(0, 1001, 10):
        for name, lag_ms in (("a", 0), ("b", 10), ("c", 250)):
            position = Position(1, max(0, now_ms - lag_ms))
            endpoint_stats.observe_answer(name, position, 5.0, 0.0, now_ms)
    return endpoint_stats


def route(request, fleet=None, endpoint_stats=None, now_ms=1000.0, rng=None):
    view = build_group_view(fleet or make_fleet(), "g", HERE)
    return choose_route(
        request,
        view,
        endpoint_stats or make_endpoint_stats(),
        SETTINGS,
        now_ms,
        rng or random.Random(1),
    )


def choices(request, count=400, **arguments):
    rng = random.Random(1)
    routes = [route(request, rng=rng, **arguments) for _ in range(count)]
    return collections.Counter(r.unwrap().endpoint for r in routes)


@pytest.mark.parametrize(
    ("access", "floor", "max_age_ms", "excluded", "allowed"),
    [
        (Access.WRITE, None, None, (), "a"),
        (Access.AUTO, None, None, (), "a"),
        (Access.READ, (1, 800), None, (), "bc"),
        # c reaches the position of a write made now in 250 ms, which exceeds
        # the wait limit of 150 ms.
        (Access.READ, (1, 1000), None, (), "b"),
        (Access.READ, (1, 1000), None, ("b",), "a"),
        # c is within the maximum age of 300 ms, but not of 50 ms.
        (Access.READ, (1, 1000), 300.0, ("b",), "c"),
        (Access.READ, (1, 1000), 50.0, ("b",), "a"),
    ],
)
def test_route_meets_the_requirements_of_the_request(
    access, floor, max_age_ms, excluded, allowed
):
    """A wrong endpoint refuses a write or delays a read."""
    floor = Position(*floor) if floor else None
    request = RouteRequest(
        access, floor, max_age_ms, 10000.0, frozenset(excluded)
    )
    assert set(choices(request)) <= set(allowed)


@pytest.mark.parametrize(
    ("request_", "fleet", "code"),
    [
        (
            dataclasses.replace(READ, access=Access.WRITE),
            make_fleet(GroupPhase.PROMOTING),
            FailureCode.UNAVAILABLE,
        ),
        (
            dataclasses.replace(READ, floor=Position(1, 900)),
            make_fleet(term=2, ends={1: 800}),
            FailureCode.FLOOR_LOST,
        ),
        (
            dataclasses.replace(READ, excluded=frozenset("abc")),
            make_fleet(),
            FailureCode.UNAVAILABLE,
        ),
    ],
)
def test_request_without_a_route_is_reported_as_not_run(request_, fleet, code):
    """The failure must show that a retry is safe."""
    failure = route(request_, fleet).unwrap_err()
    assert (failure.verdict, failure.code) == (Verdict.NOT_RUN, code)


@pytest.mark.parametrize(
    ("fleet", "usable"),
    [
        # A replaced primary may contain discarded writes.
        (make_fleet(primary="b", term=2, ends={1: 9000}), "c"),
        (make_fleet(GroupPhase.FENCING), "bc"),
    ],
)
def test_replaced_primary_serves_no_reads(fleet, usable):
    """A read must not return writes that a failover has discarded."""
    assert set(choices(READ, fleet=fleet)) <= set(usable)


def test_read_waits_for_a_replica_without_primary():
    """A change of primary must delay reads rather than fail them."""
    fleet = make_fleet(GroupPhase.PROMOTING)
    request = dataclasses.replace(
        READ, floor=Position(1, 1000), excluded=frozenset("b")
    )
    chosen = route(request, fleet).unwrap()
    assert chosen.endpoint == "c"
    assert chosen.catch_up_ms > SETTINGS.replica_wait_ms


def test_slow_replica_gets_few_reads_and_recovers():
    """A slow replica must not delay reads, nor be avoided for ever."""
    endpoint_stats = make_endpoint_stats()
    for _ in range(30):
        endpoint_stats.observe_answer("b", None, 80.0, 40.0, 1000.0)
    slow = choices(READ, endpoint_stats=endpoint_stats)
    assert slow["b"] < 0.2 * slow["c"]
    # Without new answers it must be tried again eventually.
    later = choices(READ, endpoint_stats=endpoint_stats, now_ms=8000.0)
    assert later["b"] > 0


def test_recovered_replica_gets_reads_gradually():
    """The full load at once could make a recovering server fail again."""
    endpoint_stats = make_endpoint_stats()
    failure = not_run(FailureCode.UNAVAILABLE, "refused")
    for _ in range(3):
        endpoint_stats.observe_failure("b", failure, 1000.0)
    endpoint_stats.observe_failure("c", None, 1000.0, Position(1, 900))
    counts = [
        choices(READ, endpoint_stats=endpoint_stats, now_ms=now_ms)["b"]
        for now_ms in (1700.0, 1850.0, 3000.0, 9000.0)
    ]
    assert counts[0] == 0
    assert counts[0] < counts[1] < counts[2] <= counts[3]
    assert counts[1] < 100


def test_lag_is_estimated_from_answers():
    """With a wrong lag, reads would wait at a replica that is behind."""
    endpoint_stats = make_endpoint_stats()
    assert endpoint_stats.lag_ms("c") == pytest.approx(250, abs=20)
    wait_ms = endpoint_stats.catch_up_ms("c", Position(1, 950), 1000.0)
    assert wait_ms == pytest.approx(200, abs=20)


@pytest.mark.parametrize(
    ("is_urgent", "least", "most"),
    # Each read earns 0.09 tokens; urgent reads have 15 tokens initially.
    [(True, 0.10, 0.13), (False, 0.05, 0.09)],
)
def test_few_reads_go_to_the_primary_to_save_a_wait(is_urgent, least, most):
    """Without a limit the primary gets every read that follows a write."""
    request = dataclasses.replace(
        READ, floor=Position(1, 880), excluded=frozenset(), is_urgent=is_urgent
    )
    fleet = make_fleet()
    fleet.remove_endpoint("b")
    endpoint_stats = make_endpoint_stats()
    counts = choices(
        request, fleet=fleet, endpoint_stats=endpoint_stats, now_ms=1010.0
    )
    assert least <= counts["a"] / 400 <= most


@pytest.mark.parametrize(
    ("is_urgent", "least_ms", "most_ms"),
    [(True, 5.0, 60.0), (False, 145.0, 155.0)],
)
def test_wait_at_the_replica_is_limited(is_urgent, least_ms, most_ms):
    """A wrong estimate must not cost much time, least of all urgent reads."""
    request = dataclasses.replace(
        READ, floor=Position(1, 700), is_urgent=is_urgent
    )
    chosen = route(request).unwrap()
    assert least_ms <= chosen.wait_limit_ms <= most_ms


@pytest.mark.parametrize(
    ("is_urgent", "was_rejected", "code"),
    [
        (False, True, FailureCode.REJECTED),
        (False, False, None),
        (True, True, None),
    ],
)
def test_flood_does_not_spill_to_the_primary(is_urgent, was_rejected, code):
    """Rejected reads of a flood would occupy slots that writes need."""
    request = dataclasses.replace(
        READ,
        excluded=frozenset("bc"),
        is_urgent=is_urgent,
        was_rejected=was_rejected,
    )
    result = route(request)
    assert (result.unwrap_err().code if result.is_err() else None) is code
