"""Guards reads of groups whose servers fence themselves."""

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
WORK_MS = 15.0
NOW_MS = 1000.0


def make_fleet(phase=GroupPhase.ACTIVE):
    """Return one group: primary a, replicas b and c, a region each."""
    fleet = FleetState()
    for name in "abc":
        role = EndpointRole.PRIMARY if name == "a" else EndpointRole.REPLICA
        place = Location(f"dc-{name}", f"region-{name}")
        fleet.set_endpoint(
            Endpoint(
                name,
                "g",
                Address("127.0.0.1", 1),
                place,
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


def make_knowledge(place, waits_ms=(), lags_ms=()):
    """Return what answers taught: distances, queues and lags."""
    waits_ms, lags_ms = dict(waits_ms), dict(lags_ms)
    endpoint_stats = EndpointStats(SETTINGS)
    for now_ms in range(0, int(NOW_MS) + 1, 10):
        for name in "abc":
            wait_ms = waits_ms.get(name, 0.0)
            way_ms = SETTINGS.distance_ms[0 if name == place else 2]
            position = Position(1, max(0, now_ms - lags_ms.get(name, 0)))
            endpoint_stats.observe_start(name, now_ms)
            endpoint_stats.observe_answer(
                name, position, way_ms + WORK_MS + wait_ms, wait_ms, now_ms
            )
    return endpoint_stats


def shares(place, endpoint_stats, fleet=None, **fields):
    """Return how often each endpoint is chosen for reads from a place."""
    location = Location(f"dc-{place}", f"region-{place}")
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
    "place, waits_ms, fields, expected",
    [
        # Without load each data centre reads from its own server.
        ("a", {}, {}, "a"),
        ("b", {}, {}, "b"),
        ("c", {}, {}, "c"),
        # A flood that fills the replicas' queues uses the primary's slots.
        ("b", {"b": 200, "c": 200}, {}, "a"),
        # The primary's own queue keeps reads away from it.
        ("a", {"a": 200}, {}, "bc"),
        # What refused the request before is not asked again.
        ("b", {}, {"excluded": frozenset("b")}, "ac"),
        ("b", {}, {"excluded": frozenset("bc")}, "a"),
    ],
)
def test_read_goes_where_the_answer_comes_first(
    place, waits_ms, fields, expected
):
    """Reads must use all slots, and the nearest ones without load."""
    chosen = shares(place, make_knowledge(place, waits_ms), **fields)
    assert set(chosen) <= set(expected)


def test_late_replicas_are_left_out():
    """A replica behind the accepted age would only refuse the read."""
    endpoint_stats = make_knowledge("b", lags_ms={"b": 900, "c": 50})
    assert "b" in shares("b", endpoint_stats, age_limit_ms=1500.0)
    assert "b" not in shares("b", endpoint_stats, age_limit_ms=400.0)


def test_reads_go_on_without_a_primary():
    """A change of primary must not stop reads that replicas can serve."""
    fleet = make_fleet(GroupPhase.PROMOTING)
    assert set(shares("a", make_knowledge("a"), fleet=fleet)) <= set("bc")


def test_failures_without_end():
    """An endpoint that is down for long must not break the sessions."""
    endpoint_stats = make_knowledge("b")
    failure = not_run(FailureCode.UNAVAILABLE, "down")
    for number in range(5000):
        endpoint_stats.observe_failure("b", failure, NOW_MS + number)
    assert endpoint_stats.return_share("b", NOW_MS + 5000) == 0.0


def test_nothing_to_read_from():
    """Without any endpoint the caller must be told that nothing ran."""
    fleet = make_fleet(GroupPhase.PROMOTING)
    view = build_group_view(fleet, "g", Location("dc-a", "region-a"))
    request = RouteRequest(Access.READ, None, None, 10_000.0, frozenset("bc"))
    routed = choose_route(
        request, view, make_knowledge("a"), SETTINGS, NOW_MS, random.Random(1)
    )
    assert routed.err_value.code is FailureCode.UNAVAILABLE


@pytest.mark.parametrize(
    "lag_ms, primary_wait_ms, expected",
    [
        # The replica has the floor at once.
        (50, 0, "b"),
        # It has it in 200 ms; the primary answers in 39 ms.
        (300, 0, "a"),
        # In a flood of the primary the wait for the replica is shorter.
        (300, 600, "b"),
        # It would take longer than half of the time that is left.
        (900, 600, "a"),
    ],
)
def test_own_writes_of_late_replicas(lag_ms, primary_wait_ms, expected):
    """Late replicas must not move all reads of writers to the primary."""
    endpoint_stats = make_knowledge(
        "b", {"a": primary_wait_ms}, {"b": lag_ms, "c": 5000}
    )
    floor = Position(1, int(NOW_MS) - 100)
    chosen = shares("b", endpoint_stats, floor=floor, deadline_ms=NOW_MS + 800)
    assert set(chosen) == set(expected)
