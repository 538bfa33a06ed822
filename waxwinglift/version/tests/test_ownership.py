"""Tests of the choice of owners and the limit on connection holders."""

import collections

import pytest

from waxwinglift.version import _entries as entries
from waxwinglift.version._ownership import plan_owners
from waxwinglift.version.tests.fleets import daemon_joined
from waxwinglift.version.tests.fleets import endpoint_joined
from waxwinglift.version.tests.fleets import extend
from waxwinglift.version.tests.fleets import make_fleet


def make_proxies(data_centres, count):
    return [
        f"{data_centre}{i}"
        for data_centre in data_centres
        for i in range(count)
    ]


def plan_and_apply(fleet, live, released=(), may_rebalance=True):
    plan = plan_owners(fleet, frozenset(live), released, may_rebalance)
    if plan is not None:
        extend(fleet, plan)
    return plan


def fleet_of(proxies, endpoints):
    joined = [endpoint_joined(name, name[-1], size=99) for name in endpoints]
    return make_fleet(*map(daemon_joined, proxies), *joined)


@pytest.mark.parametrize(
    ("proxies", "data_centre", "owner_data_centres", "standby_data_centres"),
    [
        (["a1", "b1", "c1"], "a", "a", "b"),
        (["a1", "a2", "c1"], "a", "a", "c"),
        (["b1", "c1", "d1"], "a", "b", "cd"),
        (["c1", "d1"], "a", "cd", "cd"),
        (["a1", "a2"], "a", "a", "a"),
    ],
)
def test_owner_is_near_and_standby_in_another_data_centre(
    proxies, data_centre, owner_data_centres, standby_data_centres
):
    # A standby owner in the owner's data centre would fail together with it.
    fleet = fleet_of(proxies, [f"g-{data_centre}"])
    plan_and_apply(fleet, proxies)
    assigned = fleet.owners[f"g-{data_centre}"]
    assert assigned.owner[0] in owner_data_centres
    assert assigned.standby[0] in standby_data_centres
    assert assigned.standby != assigned.owner
    assert plan_and_apply(fleet, proxies) is None


@pytest.mark.parametrize("count", [2, 3, 8])
def test_load_is_bounded_and_a_new_proxy_moves_few_endpoints(count):
    # With few proxies, plain rendezvous hashing can give one of them a
    # multiple of its share; a plain modulus would move nearly all endpoints.
    endpoints = [f"g{i}-a" for i in range(200)]
    proxies = make_proxies("a", count)
    fleet = fleet_of(proxies, endpoints)
    plan_and_apply(fleet, proxies)
    plan_and_apply(fleet, proxies)
    before = {e: a.owner for e, a in fleet.owners.items()}
    loads = collections.Counter(before.values())
    assert max(loads.values()) <= 200 / count * 1.25 + 1
    extend(fleet, daemon_joined("a9"))
    plan_and_apply(fleet, [*proxies, "a9"])
    moved = [e for e, a in fleet.owners.items() if a.owner != before[e]]
    assert 0 < len(moved) <= 200 / (count + 1) * 1.5
    assert all(fleet.owners[e].epoch > 1 for e in moved)


def test_standby_takes_over_at_once_and_the_endpoint_moves_back_later():
    # The standby owner already has an open connection to the endpoint and
    # probes its health.
    fleet = fleet_of(["a1", "a2", "b1"], ["g-a"])
    plan_and_apply(fleet, ["a1", "a2", "b1"])
    first = fleet.owners["g-a"]
    live = {"a1", "a2", "b1"} - {first.owner}
    plan_and_apply(fleet, live, may_rebalance=False)
    second = fleet.owners["g-a"]
    assert second.owner == first.standby
    assert (second.epoch, second.previous) == (first.epoch + 1, None)
    plan_and_apply(fleet, live)
    assert fleet.owners["g-a"].owner[0] == "a"
    assert fleet.owners["g-a"].previous == first.standby


@pytest.mark.parametrize(
    ("live", "released", "owner"),
    [
        # Two daemons already hold connections; a third would exceed the
        # connection limit.
        (("a1", "b1", "c1"), (), "b1"),
        (("a1", "b1", "c1"), ("g-d",), "c1"),
        (("b1", "c1"), (), "c1"),
        (("a1", "c1"), (), "c1"),
    ],
)
def test_third_owner_waits_for_release_or_lease(live, released, owner):
    fleet = fleet_of(["a1", "b1", "c1"], ["g-d"])
    assignment = entries.OwnerAssignment("g-d", "b1", "c1", 2, "a1")
    extend(fleet, entries.OwnersAssigned((assignment,)))
    extend(fleet, entries.DaemonDraining("b1"))
    extend(fleet, entries.DaemonDraining("a1"))
    plan_and_apply(fleet, live, released)
    assigned = fleet.owners["g-d"]
    assert assigned.owner == owner
    holders = {assigned.owner, assigned.previous} & set(live)
    assert len(holders) <= 2


def test_draining_owner_stays_while_there_is_no_other():
    # Without an owner, requests to the endpoint would be refused.
    fleet = fleet_of(["a1"], ["g-a"])
    plan_and_apply(fleet, ["a1"])
    extend(fleet, entries.DaemonDraining("a1"))
    assert plan_and_apply(fleet, ["a1"]) is None
    plan_and_apply(fleet, [])
    assert fleet.owners["g-a"].owner is None


def test_endpoint_that_its_owner_cannot_reach_moves_to_the_standby_owner():
    # Otherwise no request would reach a healthy endpoint.
    fleet = fleet_of(["a1", "b1"], ["g-a"])
    plan_and_apply(fleet, ["a1", "b1"])
    live = frozenset(["a1", "b1"])
    extend(fleet, plan_owners(fleet, live, (), False, {"g-a"}))
    assigned = fleet.owners["g-a"]
    assert (assigned.owner, assigned.previous) == ("b1", "a1")
