"""Tests the choice of an endpoint by reported load and lag."""

import collections
import random

import pytest

from waxwinglift.process import Location
from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift.request import Access
from waxwinglift.request import FailureCode
from waxwinglift.request._endpoint_load import EndpointLoad
from waxwinglift.request._routing import build_group_view
from waxwinglift.request._routing import choose_route
from waxwinglift.request._routing import RouteRequest
from waxwinglift.request.tests.test_routing_fastest import make_endpoint_stats
from waxwinglift.request.tests.test_routing_fastest import make_fleet
from waxwinglift.request.tests.test_routing_fastest import NOW_MS
from waxwinglift.version import GroupPhase
from waxwinglift.version import Position

SETTINGS = RoutingSettings(server_policy="load")
# The replica has stopped applying; reads that accept data of 1.5 s fail.
STUCK = {"lag_ms": 4000}


def choose(home, loads, phase=GroupPhase.ACTIVE, lags_ms=(), **fields):
    """Return the outcomes of 300 reads at a data centre.

    ``loads`` has the fields of the records by endpoint; ``age_ms`` is their
    age.
    """
    stats = make_endpoint_stats(home, lags_ms=lags_ms)
    for name, load in loads.items():
        values = {"wait_ms": 0.0, "lag_ms": 0.0, "age_ms": 100.0, **load}
        record = EndpointLoad(
            name,
            NOW_MS - values["age_ms"],
            6,
            6 if values["wait_ms"] else 2,
            values["wait_ms"],
            position=values.get("position"),
            lag_ms=values["lag_ms"],
        )
        stats.loads.record([record])
    location = Location(f"dc-{home}", f"region-{home}")
    view = build_group_view(make_fleet(phase), "g", location)
    request = RouteRequest(
        **{
            "access": Access.READ,
            "floor": None,
            "max_age_ms": None,
            "deadline_ms": NOW_MS + 2000.0,
            "age_limit_ms": 1500.0,
            **fields,
        }
    )
    rng = random.Random(1)
    return [
        choose_route(request, view, stats, SETTINGS, NOW_MS, rng)
        for _ in range(300)
    ]


def shares(*args, **fields):
    """Return the share of the reads of each endpoint that is chosen."""
    routed = choose(*args, **fields)
    names = collections.Counter(route.unwrap().endpoint for route in routed)
    return {name: count / len(routed) for name, count in names.items()}


@pytest.mark.parametrize(
    "home, loads, expected",
    [
        # Without records, and with free slots, each reads nearby.
        ("b", {}, "b"),
        ("b", {name: {} for name in "abc"}, "b"),
        # A replica that is behind is not asked, however near it is.
        ("b", {"b": STUCK}, "ac"),
        ("b", {"b": STUCK, "c": STUCK}, "a"),
        # It is asked again as soon as its owner reports that it caught up.
        ("b", {"b": {"lag_ms": 100}}, "b"),
        # Nothing is known about a replica that was not reported for 5 s.
        ("b", {"b": {"lag_ms": 4000, "age_ms": 6000}}, "b"),
        # A queue nearby is avoided.
        ("b", {"b": {"wait_ms": 400}, "c": {}}, "ac"),
        # The primary's free slots are left to what needs them.
        ("a", {"a": {"wait_ms": 40}, "b": {}, "c": {}}, "bc"),
        ("b", {"a": {"wait_ms": 200}, "b": {"wait_ms": 300}, "c": STUCK}, "b"),
    ],
)
def test_reads_go_where_they_are_served_soonest(home, loads, expected):
    """Reads must use free slots and must not go to outdated replicas."""
    chosen = shares(home, loads)
    in_expected = sum(chosen.get(name, 0.0) for name in expected)
    assert in_expected > 0.95


@pytest.mark.parametrize("home", ["a", "b", "c"])
@pytest.mark.parametrize("loads", [{}, {name: {} for name in "abc"}])
def test_calm_proxies_read_in_their_region(home, loads):
    """Bytes between regions are charged."""
    assert set(shares(home, loads)) == {home}


@pytest.mark.parametrize("age_ms, least, most", [(20, 0, 0.05), (900, 0.1, 1)])
def test_old_records_spread_the_reads(age_ms, least, most):
    """Proxies with the same old record must not all choose one endpoint."""
    loads = {
        "b": {"wait_ms": 300, "age_ms": age_ms},
        "c": {"wait_ms": 150, "age_ms": age_ms},
    }
    share = shares("c", loads, excluded=frozenset("a")).get("b", 0.0)
    assert least <= share <= most


@pytest.mark.parametrize(
    "load, floor_lsn, is_asked",
    [
        ({"lag_ms": 100}, 900, True),
        # It reaches the floor long after half of the time limit.
        ({"lag_ms": 1400}, 1000, False),
        # It is behind, but has all that the session has seen.
        ({"lag_ms": 1400, "position": Position(1, 1000)}, 1000, True),
    ],
)
def test_replica_without_the_sessions_floor_is_not_asked(
    load, floor_lsn, is_asked
):
    """The replica would refuse the read, or keep it waiting."""
    floor = Position(1, floor_lsn)
    chosen = shares(
        "b",
        {"b": load},
        lags_ms={"b": 1400},
        floor=floor,
        deadline_ms=NOW_MS + 1000.0,
        age_limit_ms=2500.0,
    )
    assert (chosen.get("b", 0.0) > 0.5) is is_asked


def test_read_is_refused_while_no_data_is_recent_enough():
    """The log line must say which endpoints were passed over, and why."""
    loads = {"b": STUCK, "c": STUCK}
    (routed, *_) = choose("a", loads, phase=GroupPhase.PROMOTING)
    assert routed.err_value.code is FailureCode.UNAVAILABLE
    assert "b: behind, lag 4100 ms" in routed.err_value.message
