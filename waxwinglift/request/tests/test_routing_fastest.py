"""Guards the routing of reads in groups whose servers fence themselves."""

import collections
import random

import pytest

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift.request import Access
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
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
from waxwinglift.version._types import Fencing

SETTINGS = RoutingSettings()
EXECUTION_MS = 15.0
NOW_MS = 1000.0


def make_fleet(phase=GroupPhase.ACTIVE):
    """Return a group: primary a, replicas b and c, each in its own region."""
    fleet = FleetState()
    for name in "abc":
        role = EndpointRole.PRIMARY if name == "a" else EndpointRole.REPLICA
        location = Location(f"dc-{name}", f"region-{name}")
        fleet.set_endpoint(
            Endpoint(
                name,
                "g",
                Address("127.0.0.1", 1),
                location,
                role,
                1,
                2,
                25,
                EndpointState.JOINED,
            )
        )
        fleet.owners[name] = OwnerAssignment(name, f"p{name}", None, 4)
    fleet.groups["g"] = Group(
        "g", phase, 3, 1, "a", 0, {}, {1: 1}, Fencing.SERVER
    )
    return fleet


def make_endpoint_stats(home, waits_ms=(), lags_ms=()):
    """Return statistics with the given distances, queue waits and lags."""
    waits_ms, lags_ms = dict(waits_ms), dict(lags_ms)
    endpoint_stats = EndpointStats(SETTINGS)
    for now_ms in range(0, int(NOW_MS) + 1, 10):
        for name in "abc":
            wait_ms = waits_ms.get(name, 0.0)
            round_trip_ms = SETTINGS.distance_ms[0 if name == home else 2]
            position = Position(1, max(0, now_ms - lags_ms.get(name, 0)))
            endpoint_stats.observe_start(name, now_ms)
            endpoint_stats.observe_answer(
                name,
                position,
                round_trip_ms + EXECUTION_MS + wait_ms,
                wait_ms,
                now_ms,
            )
    return endpoint_stats


def shares(home, endpoint_stats, fleet=None, **fields):
    """Return each endpoint's share of a data centre's reads."""
    location = Location(f"dc-{home}", f"region-{home}")
    view = build_group_view(fleet or make_fleet(), "g", location)
    request = RouteRequest(
        **{
            "access": Access.READ,
            "floor": None,
            "max_age_ms": None,
            "deadline_ms": 10_000.0,
            **fields,
        }
    )
    rng = random.Random(1)
    chosen = collections.Counter()
    for _ in range(200):
        routed = choose_route(
            request, view, endpoint_stats, SETTINGS, NOW_MS, rng
        )
        chosen[routed.unwrap().endpoint] += 1
    return {name: count / 200 for name, count in chosen.items()}


@pytest.mark.parametrize(
    "home, waits_ms, fields, expected",
    [
        # Without load each data centre reads from its own server.
        ("a", {}, {}, "a"),
        ("b", {}, {}, "b"),
        ("c", {}, {}, "c"),
        # If a flood fills the replicas' queues, the primary serves reads.
        ("b", {"b": 200, "c": 200}, {}, "a"),
        # With a queue at the primary, the replicas serve reads.
        ("a", {"a": 200}, {}, "bc"),
        # Endpoints that refused the request are not chosen again.
        ("b", {}, {"excluded": frozenset("b")}, "ac"),
        ("b", {}, {"excluded": frozenset("bc")}, "a"),
    ],
)
def test_read_goes_to_the_endpoint_with_the_lowest_latency(
    home, waits_ms, fields, expected
):
    """Reads must use all slots in a flood, and the nearest ones otherwise."""
    chosen = shares(home, make_endpoint_stats(home, waits_ms), **fields)
    assert set(chosen) <= set(expected)


def test_replicas_beyond_the_age_limit_are_excluded():
    """A replica with older data would only refuse the read."""
    endpoint_stats = make_endpoint_stats("b", lags_ms={"b": 900, "c": 50})
    assert "b" in shares("b", endpoint_stats, age_limit_ms=1500.0)
    assert "b" not in shares("b", endpoint_stats, age_limit_ms=400.0)


def test_replicas_serve_reads_without_a_primary():
    """A change of primary must not interrupt reads."""
    fleet = make_fleet(GroupPhase.PROMOTING)
    assert set(shares("a", make_endpoint_stats("a"), fleet=fleet)) <= set("bc")


def test_backoff_does_not_overflow_after_many_failures():
    """A long outage of one endpoint must not make sessions fail."""
    endpoint_stats = make_endpoint_stats("b")
    failure = not_run(FailureCode.UNAVAILABLE, "down")
    for number in range(5000):
        endpoint_stats.observe_failure("b", failure, NOW_MS + number)
    assert endpoint_stats.traffic_share("b", NOW_MS + 5000) == 0.0


def test_read_without_an_endpoint_is_refused():
    """The failure must show that the read did not run."""
    fleet = make_fleet(GroupPhase.PROMOTING)
    view = build_group_view(fleet, "g", Location("dc-a", "region-a"))
    request = RouteRequest(Access.READ, None, None, 10_000.0, frozenset("bc"))
    routed = choose_route(
        request,
        view,
        make_endpoint_stats("a"),
        SETTINGS,
        NOW_MS,
        random.Random(1),
    )
    assert routed.err_value.code is FailureCode.UNAVAILABLE


@pytest.mark.parametrize(
    "lag_ms, primary_wait_ms, expected",
    [
        # The replica has already reached the floor.
        (50, 0, "b"),
        # It reaches the floor in 200 ms; the primary answers in 39 ms.
        (300, 0, "a"),
        # With a flood at the primary, the wait at the replica is shorter.
        (300, 600, "b"),
        # The wait would exceed half of the remaining time.
        (900, 600, "a"),
    ],
)
def test_read_after_a_write_may_wait_for_a_replica(
    lag_ms, primary_wait_ms, expected
):
    """Lagging replicas must not move all reads of writers to the primary."""
    endpoint_stats = make_endpoint_stats(
        "b", {"a": primary_wait_ms}, {"b": lag_ms, "c": 5000}
    )
    floor = Position(1, int(NOW_MS) - 100)
    chosen = shares("b", endpoint_stats, floor=floor, deadline_ms=NOW_MS + 800)
    assert set(chosen) == set(expected)


@pytest.mark.parametrize(
    ("floor", "is_lost"),
    [((5, 101), True), ((5, 100), False), ((6, 500), False)],
)
def test_discarded_floor_is_reported_whatever_the_groups_term(floor, is_lost):
    """The group counts its terms independently of the servers' timelines.

    If its term were a bound, reads with a discarded floor would be refused
    as too early until the session writes again.
    """
    fleet = make_fleet()
    fleet.groups["g"].term_ends = {5: 100}
    view = build_group_view(fleet, "g", Location("dc-a", "region-a"))
    request = RouteRequest(Access.READ, Position(*floor), None, 10_000.0)
    routed = choose_route(
        request,
        view,
        make_endpoint_stats("a"),
        SETTINGS,
        NOW_MS,
        random.Random(1),
    )
    codes = [routed.err_value.code] if routed.is_err() else []
    assert codes == ([FailureCode.FLOOR_LOST] if is_lost else [])
