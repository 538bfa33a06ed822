"""Fleet states for the tests of this folder."""

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.version import _entries as entries
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import EndpointRole

REGIONS = {
    "a": "north",
    "b": "north",
    "c": "south",
    "d": "south",
    "e": "south",
}


def location(data_centre):
    """Return the location of a data centre."""
    return Location(data_centre, REGIONS[data_centre])


def endpoint_joined(
    name, data_centre, role=EndpointRole.REPLICA, term=1, **fields
):
    """Return the join entry of a server; its group precedes the dash."""
    return entries.EndpointJoined(
        endpoint=name,
        group=name.split("-")[0],
        address=Address("127.0.0.1", 5432),
        location=location(data_centre),
        role=role,
        term=term,
        slots_count=3,
        connection_limit_count=25,
        group_size_count=fields.get("size", 3),
    )


def daemon_joined(name):
    """Return the join entry of a proxy.

    The name starts with the name of its data centre.
    """
    address = Address("127.0.0.1", 6000)
    return entries.DaemonJoined(name, address, location(name[0]))


def group_entries(group="g", data_centres="abc", term=1):
    """Return the entries that form a group; the primary comes first."""
    roles = [EndpointRole.PRIMARY] + [EndpointRole.REPLICA] * len(data_centres)
    size = len(data_centres)
    joined = [
        endpoint_joined(f"{group}-{data_centre}", data_centre, role, size=size)
        for data_centre, role in zip(data_centres, roles, strict=False)
    ]
    return [
        *joined,
        entries.GroupFormed(group, term, f"{group}-{data_centres[0]}"),
    ]


def make_fleet(*logged):
    """Return the state after applying the entries ``logged``."""
    fleet = FleetState()
    extend(fleet, *logged)
    return fleet


def extend(fleet, *logged):
    """Apply entries that must be accepted."""
    for entry in logged:
        apply_entry(fleet, fleet.index + 1, entry).unwrap()
