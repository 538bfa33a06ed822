"""Guards the problems that a check of a desired state reports."""

import dataclasses

import pytest

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.version import _entries as entries
from waxwinglift.version import FleetState
from waxwinglift.version._desired_checks import ChangeKind
from waxwinglift.version._desired_checks import find_changes
from waxwinglift.version._desired_checks import find_problems
from waxwinglift.version._desired_checks import ProblemKind
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._types import Consistency
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._workspaces import WorkspaceSettings
from waxwinglift.version.tests.test_desired import plan_and_apply
from waxwinglift.version.tests.test_desired import pool
from waxwinglift.version.tests.test_desired import request
from waxwinglift.version.tests.test_desired import workspace


def pool_with(name="a", **changes):
    """Return a pool's table with changes to its policy."""
    table = pool(name)
    policy = dataclasses.replace(table.policy, **changes)
    return dataclasses.replace(table, policy=policy)


def request_with(connections_count=23, replicas_count=0):
    """Return a request with other settings of its group."""
    settings = entries.GroupSettings("g", connections_count, replicas_count)
    return dataclasses.replace(request(1, pool("a")), groups=(settings,))


def fleet_with(servers_count, version=0, slots_count=6):
    """Return a fleet with one group and, if stated, a desired state."""
    fleet = FleetState()
    if version:
        plan_and_apply(fleet, request(version, pool("a"), pool("b")))
    for number in range(servers_count):
        name = f"i-{number}"
        fleet.endpoints[name] = Endpoint(
            endpoint=name,
            group="g",
            address=Address("10.0.0.1", 1),
            location=Location("dc-1", "region-1"),
            role=EndpointRole.REPLICA,
            term=1,
            slots_count=slots_count,
            connection_limit_count=0,
            state=EndpointState.JOINED,
        )
    return fleet


PRIVATE = pool_with(is_public=False)
BAD_ROW = dataclasses.replace(
    pool("a"), rows=(dataclasses.replace(pool("a").rows[0], weight=-1),)
)
UNMATCHED = ProblemKind.UNMATCHED
CONTRADICTION = ProblemKind.CONTRADICTION
CASES = {
    "pool twice": (
        request(1, pool("a"), pool("a", 900)),
        None,
        [(UNMATCHED, "pool a")],
    ),
    "group twice": (
        request(1, pool("a"), groups=("g", "g")),
        None,
        [(UNMATCHED, "group g")],
    ),
    "bad row": (request(1, BAD_ROW), None, [(ProblemKind.INVALID, "pool a")]),
    "unknown group": (
        request(1, pool("a", group="h"), pool("b")),
        None,
        [(ProblemKind.INVALID, "pool a")],
    ),
    "unused group": (
        request(1, pool("a"), groups=("g", "h")),
        None,
        [(UNMATCHED, "group h")],
    ),
    "no key": (
        request(1, PRIVATE, workspaces=(workspace("w"), workspace("v", "k"))),
        None,
        [(UNMATCHED, "workspace w")],
    ),
    "shared key": (
        request(
            1,
            PRIVATE,
            workspaces=(workspace("w", "k"), workspace("v", "k")),
        ),
        None,
        [(ProblemKind.INVALID, "workspace v")],
    ),
    "nobody has a key": (request(1, PRIVATE), None, [(UNMATCHED, "pool a")]),
    "nobody needs a key": (
        request(1, pool("a"), workspaces=(workspace("w", "k"),)),
        None,
        [(UNMATCHED, "workspaces")],
    ),
    "age at the primary": (
        request(1, pool_with(max_staleness_ms=10)),
        None,
        [(CONTRADICTION, "pool a")],
    ),
    "no age": (
        request(1, pool_with(consistency=Consistency.BOUNDED_STALENESS)),
        None,
        [(CONTRADICTION, "pool a")],
    ),
    "burst without a rate": (
        request(
            1, PRIVATE, workspaces=(workspace("w", "k", rate_per_s=None),)
        ),
        None,
        [(CONTRADICTION, "workspace w")],
    ),
    "rate of 0": (
        request(1, PRIVATE, workspaces=(workspace("w", "k", rate_per_s=0.0),)),
        None,
        [(CONTRADICTION, "workspace w")],
    ),
    "few connections": (request_with(2), None, [(CONTRADICTION, "group g")]),
    "fewer connections than slots": (
        request_with(5),
        fleet_with(1),
        [(CONTRADICTION, "group g")],
    ),
    "too few replicas": (
        request_with(replicas_count=3),
        fleet_with(3),
        [(CONTRADICTION, "group g")],
    ),
    "enough replicas": (request_with(replicas_count=2), fleet_with(3), []),
    "group without servers yet": (
        request_with(replicas_count=2),
        fleet_with(0),
        [],
    ),
    "old version": (
        request(7, pool("c")),
        fleet_with(0, 7),
        [(ProblemKind.OUTDATED, "version")],
    ),
    "version in force": (
        request(7, pool("a"), pool("b")),
        fleet_with(0, 7),
        [],
    ),
    "next version": (request(8, pool("c")), fleet_with(0, 7), []),
    "all in order": (
        request(
            1,
            PRIVATE,
            pool_with(
                "b",
                consistency=Consistency.BOUNDED_STALENESS,
                max_staleness_ms=1500,
            ),
            workspaces=(WorkspaceSettings("w", ("digest",)),),
        ),
        None,
        [],
    ),
}


@pytest.mark.parametrize(
    ("wanted", "fleet", "expected"), CASES.values(), ids=CASES
)
def test_problems(wanted, fleet, expected):
    """An accepted state that nobody meant is found by its callers only."""
    found = find_problems(wanted, fleet)
    assert [(one.kind, one.entry) for one in found] == expected
    assert all(one.text for one in found)


def test_changes():
    """An operator must see what a version changes before it is in force."""
    fleet = FleetState()
    old = request(1, pool("a"), pool("b"), workspaces=(workspace("w", "k"),))
    plan_and_apply(fleet, old)
    new = request(
        1,
        pool("b", 900),
        pool("c"),
        groups=("g", "h"),
        workspaces=(workspace("v", "k"),),
    )
    new = dataclasses.replace(new, limits=entries.ServingLimits(1))
    changes = {one.entry: one.kind for one in find_changes(new, fleet)}
    assert changes == {
        "pool a": ChangeKind.REMOVED,
        "pool b": ChangeKind.CHANGED,
        "pool c": ChangeKind.ADDED,
        "group h": ChangeKind.ADDED,
        "workspace v": ChangeKind.ADDED,
        "workspace w": ChangeKind.REMOVED,
        "limits": ChangeKind.CHANGED,
    }
    assert find_changes(old, fleet) == ()
    assert fleet.desired.version == 1
