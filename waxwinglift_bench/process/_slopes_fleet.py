"""Synthetic fleets of a given size for measurements."""

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.version import _entries
from waxwinglift.version import EndpointId
from waxwinglift.version import EndpointRole
from waxwinglift.version import FleetState
from waxwinglift.version import GroupName
from waxwinglift.version import LogIndex
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version import Rank
from waxwinglift.version import RankRow
from waxwinglift.version import Term
from waxwinglift.version._announcements import Announcement
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._ownership import plan_owners

GROUP_SIZE_COUNT = 3
LOCATIONS = tuple(
    Location(DataCentre(f"dc-{number}"), Region(f"region-{number // 2}"))
    for number in range(4)
)
RANKS = ("urgent", "middle", "low")


def daemon_name(number):
    """Return the daemon id of proxy ``number``."""
    return DaemonId(f"proxy-{number:04}")


def address(number):
    """Return an address; 256 consecutive numbers share the same one."""
    return Address(f"10.{number >> 16 & 255}.{number >> 8 & 255}.1", 6432)


def location(number):
    """Return one of four data centres in two regions."""
    return LOCATIONS[number % len(LOCATIONS)]


def announcement(group_number, server_number):
    """Return the announcement of a server of a group."""
    return Announcement(
        endpoint=EndpointId(f"server-{group_number:04}-{server_number}"),
        group=GroupName(f"group-{group_number:04}"),
        address=address(group_number * GROUP_SIZE_COUNT + server_number),
        location=location(group_number + server_number),
        slots_count=3,
        connection_limit_count=25,
        group_size_count=GROUP_SIZE_COUNT,
        term=Term(1),
        in_recovery=server_number > 0,
    )


def pool_edit(group_number, version):
    """Return an edit of the group's pool, based on ``version``."""
    pool = PoolName(f"pool-{group_number:04}")
    rows = tuple(RankRow(Rank(r), 1, 10, 2, 1000, 5000) for r in RANKS)
    table = PoolTable(pool, GroupName(f"group-{group_number:04}"), rows)
    return _entries.PoolEdited(
        f"edit-{group_number}-{version}", pool, version, table
    )


def fleet_entries(daemons_count, groups_count):
    """Yield the log entries that create a fleet of the given size."""
    for number in range(daemons_count):
        yield _entries.DaemonJoined(
            daemon_name(number), address(number), location(number)
        )
    for number in range(groups_count):
        for server in range(GROUP_SIZE_COUNT):
            yield _endpoint_joined(announcement(number, server))
        primary = announcement(number, 0)
        yield _entries.GroupFormed(primary.group, Term(1), primary.endpoint)
        yield pool_edit(number, 0)


def _endpoint_joined(announced):
    role = EndpointRole.PRIMARY
    if announced.in_recovery:
        role = EndpointRole.REPLICA
    return _entries.EndpointJoined(
        endpoint=announced.endpoint,
        group=announced.group,
        address=announced.address,
        location=announced.location,
        role=role,
        term=announced.term,
        slots_count=announced.slots_count,
        connection_limit_count=announced.connection_limit_count,
        group_size_count=announced.group_size_count,
    )


def build_fleet(daemons_count, groups_count):
    """Return a fleet of the given size after one owner assignment."""
    fleet = FleetState()
    for entry in fleet_entries(daemons_count, groups_count):
        _apply(fleet, entry)
    live = frozenset(fleet.daemons)
    assigned = plan_owners(fleet, live)
    if assigned is not None:
        _apply(fleet, assigned)
    return fleet


def build_assigned_fleet(daemons_count, groups_count):
    """Return a fleet in which each endpoint has its preferred owner."""
    fleet = build_fleet(daemons_count, groups_count)
    live = frozenset(fleet.daemons)
    while (assigned := plan_owners(fleet, live)) is not None:
        _apply(fleet, assigned)
    return fleet


def _apply(fleet, entry):
    outcome = apply_entry(fleet, LogIndex(fleet.index + 1), entry)
    if outcome.is_err():
        raise ValueError(f"{entry} was rejected: {outcome.err_value.message}")
