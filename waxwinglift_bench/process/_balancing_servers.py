"""Servers of a simulated fleet whose load is balanced."""

import collections

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.request._endpoint_load import EndpointLoad
from waxwinglift.request._endpoint_load import LoadBook
from waxwinglift.request._endpoint_load import LoadReports
from waxwinglift.request._primary_progress import PrimaryProgress
from waxwinglift.version import EndpointRole
from waxwinglift.version import EndpointState
from waxwinglift.version import FleetState
from waxwinglift.version import GroupPhase
from waxwinglift.version import OwnerAssignment
from waxwinglift.version import Position
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group
from waxwinglift.version._types import Fencing

SLOTS_COUNT = 6
REGIONS = "abc"
# Mean time of a read at a server of speed 1.
WORK_MS = 35.0
# Speeds of the primary and of the replicas of each group.
_SPEEDS = (1.0, 0.6, 1.5)


class Server:
    """One server with its owner; reads wait in order of arrival."""

    def __init__(self, name, speed):
        self.name = name
        self.speed = speed
        self.waiting = collections.deque()
        self.running_count = 0
        self.book = LoadBook()
        self.progress = PrimaryProgress()
        self.reports = collections.defaultdict(LoadReports)
        self.applied_ms = 0.0
        self.work_ms = WORK_MS / speed

    def find_load(self, now_ms, is_primary):
        wait_ms = 0.0
        if self.running_count >= SLOTS_COUNT:
            wait_ms = (len(self.waiting) + 1) * self.work_ms / SLOTS_COUNT
        position = Position(1, int(now_ms if is_primary else self.applied_ms))
        lag_ms = 0.0 if is_primary else self.progress.age_ms(position, now_ms)
        return EndpointLoad(
            self.name,
            now_ms,
            SLOTS_COUNT,
            self.running_count,
            wait_ms,
            position,
            lag_ms,
        )


def make_fleet(groups_count: int) -> FleetState:
    """Return a fleet of groups with a server in each region."""
    fleet = FleetState()
    for number in range(groups_count):
        group = f"g{number}"
        names = [f"{group}{REGIONS[(number + n) % 3]}" for n in range(3)]
        for name in names:
            is_primary = name == names[0]
            role = EndpointRole.PRIMARY if is_primary else EndpointRole.REPLICA
            region = name[-1]
            fleet.set_endpoint(
                Endpoint(
                    name,
                    group,
                    Address("127.0.0.1", 1),
                    Location(region, region),
                    role,
                    1,
                    SLOTS_COUNT,
                    78,
                    EndpointState.JOINED,
                )
            )
            fleet.owners[name] = OwnerAssignment(name, name, None, 1)
        fleet.groups[group] = Group(
            group,
            GroupPhase.ACTIVE,
            3,
            1,
            names[0],
            0,
            {},
            {1: 1},
            Fencing.SERVER,
        )
    return fleet


def make_servers(fleet: FleetState) -> dict[str, Server]:
    """Return the servers of a fleet by name."""
    servers = {}
    for group in fleet.groups:
        records = fleet.endpoints_of(group)
        for record, speed in zip(records, _SPEEDS, strict=True):
            servers[record.endpoint] = Server(record.endpoint, speed)
    return servers
