"""Tests of the lookup tables of endpoints and pools by group.

A stale lookup table would hide endpoints or pools.
"""

import pytest

from waxwinglift import process
from waxwinglift.version import _entries as entries
from waxwinglift.version import _types as types
from waxwinglift.version import FleetState
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_fleet

ADDRESS = process.Address("127.0.0.1", 5432)
LOCATION = process.Location(process.DataCentre("dc1"), process.Region("r1"))
ROW = entries.RankRow("urgent", 1, 0, 0, 10, 100)


def join(endpoint, group):
    role = types.EndpointRole.REPLICA
    return entries.EndpointJoined(
        endpoint, group, ADDRESS, LOCATION, role, 1, 3, 25, 2
    )


def edit(pool, version, group):
    table = group and entries.PoolTable(pool, group, (ROW,))
    return entries.PoolEdited(f"{pool}-{version}", pool, version, table)


def apply_log(log):
    fleet = FleetState()
    for entry in log:
        apply_entry(fleet, fleet.index + 1, entry).unwrap()
    return fleet


def scan_endpoints(fleet, group):
    return [e for e in fleet.endpoints.values() if e.group == group]


def scan_pools(fleet, group):
    return [
        pool
        for pool in fleet.pools.values()
        if pool.table is not None and pool.table.group == group
    ]


@pytest.mark.parametrize("is_restored", [False, True])
@pytest.mark.parametrize(
    "log",
    [
        [],
        [join("a", "g"), join("b", "g"), join("c", "h")],
        [join("a", "g"), entries.EndpointLost("a"), join("a", "g")],
        [edit("p", 0, "g"), edit("q", 0, "g"), edit("r", 0, "h")],
        [edit("p", 0, "g"), edit("p", 1, "h")],
        [edit("p", 0, "g"), edit("p", 1, None), edit("p", 2, "g")],
    ],
    ids=["empty", "joins", "rejoin", "pools", "pool moves", "pool returns"],
)
def test_lookup_tables_agree_with_a_scan(log, is_restored):
    fleet = apply_log(log)
    if is_restored:
        fleet = decode_fleet(encode_fleet(fleet))
    for group in ("g", "h", "unknown"):
        endpoints = list(fleet.endpoints_of(group))
        assert endpoints == scan_endpoints(fleet, group)
        pools = sorted(fleet.pools_of(group), key=str)
        assert pools == sorted(scan_pools(fleet, group), key=str)


def test_removed_endpoint_has_no_owner():
    # Its last assignment would otherwise apply to a later endpoint of that
    # name.
    fleet = apply_log([join("a", "g"), join("b", "g")])
    fleet.owners["a"] = entries.OwnerAssignment("a", "p1", None, 1)
    fleet.remove_endpoint("a")
    assert [e.endpoint for e in fleet.endpoints_of("g")] == ["b"]
    assert fleet.owners == {}
