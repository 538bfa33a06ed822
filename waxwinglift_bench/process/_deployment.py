"""The two deployments of section 2 of the design page."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.version import EndpointId
from waxwinglift.version import EndpointRole
from waxwinglift.version import EndpointState
from waxwinglift.version import Epoch
from waxwinglift.version import FleetState
from waxwinglift.version import GroupName
from waxwinglift.version import GroupPhase
from waxwinglift.version import LogIndex
from waxwinglift.version import OwnerAssignment
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow
from waxwinglift.version import Term
from waxwinglift.version import Timeline
from waxwinglift.version._fleet import Daemon
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group
from waxwinglift.version._types import DaemonState

REGION = Region("region")


@dataclasses.dataclass(frozen=True, slots=True)
class RankLoad:
    """Load of one rank.

    Parameters
    ----------
    row : RankRow
        Row of the table of every pool.
    request_fraction : float
        Part of all requests in normal load.
    write_fraction : float
        Part of the rank's requests that write.
    max_age_ms : float or None
        Stated age of the rank's reads.
    """

    row: RankRow
    request_fraction: float
    write_fraction: float
    max_age_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes, delays and load of one organisation."""

    name: str
    data_centres: tuple[str, ...]
    proxy_count: int
    slots_count: int
    connection_limit_count: int
    data_centre_delay_ms: float
    caller_delay_ms: float
    ranks: tuple[RankLoad, ...]
    local_delay_ms: float = 0.1
    connect_ms: float = 12.0
    # Median and spread of the log-normal statement time.
    service_ms: float = 4.0
    service_sigma: float = 0.5
    # Load of a replica in normal load; floods then exceed the capacity.
    replica_load: float = 0.4
    lag_limit_ms: float = 200.0

    @property
    def mean_service_ms(self):
        """Mean statement time."""
        return self.service_ms * 2.718281828 ** (self.service_sigma**2 / 2)

    @property
    def request_rate_per_ms(self):
        """Requests of one group per millisecond in normal load."""
        read_fraction = 1 - sum(
            r.request_fraction * r.write_fraction for r in self.ranks
        )
        capacity_per_ms = 2 * self.slots_count / self.mean_service_ms
        return self.replica_load * capacity_per_ms / read_fraction

    def delay_ms(self, first, second):
        """Return the one-way delay between two data centres."""
        return (
            self.local_delay_ms
            if first == second
            else self.data_centre_delay_ms
        )


FUND = Deployment(
    name="fund",
    data_centres=("ulaanbaatar", "darkhan", "erdenet"),
    proxy_count=6,
    slots_count=3,
    connection_limit_count=25,
    data_centre_delay_ms=1.0,
    caller_delay_ms=3.0,
    ranks=(
        RankLoad(RankRow("payouts", 10, 0, 0, 300, 500), 0.3, 0.5),
        RankLoad(RankRow("checks", 3, 20, 0, 300, 500), 0.35, 0.05),
        RankLoad(RankRow("recon", 1, 10, 2, 600, 2000), 0.35, 0.1),
    ),
)

PILABRIO = Deployment(
    name="pilabrio",
    data_centres=("palermo", "catania", "agrigento"),
    proxy_count=8,
    slots_count=2,
    connection_limit_count=30,
    data_centre_delay_ms=0.5,
    caller_delay_ms=3.0,
    ranks=(
        RankLoad(RankRow("sales", 10, 0, 0, 300, 500), 0.3, 0.5),
        RankLoad(RankRow("stock", 3, 20, 0, 300, 500), 0.35, 0.05, 100.0),
        RankLoad(RankRow("refill", 1, 10, 1, 600, 2000), 0.35, 0.1),
    ),
)

DEPLOYMENTS = {d.name: d for d in (FUND, PILABRIO)}


def build_fleet(deployment, group_count=3):
    """Return the state of a fleet whose groups are all active."""
    fleet = FleetState(index=LogIndex(1))
    for number in range(deployment.proxy_count):
        _add_proxy(fleet, deployment, number)
    for number in range(group_count):
        _add_group(fleet, deployment, number)
    return fleet


def _location(deployment, number):
    data_centre = deployment.data_centres[
        number % len(deployment.data_centres)
    ]
    return Location(DataCentre(data_centre), REGION)


def _add_proxy(fleet, deployment, number):
    daemon = DaemonId(f"p{number}")
    location = _location(deployment, number)
    address = Address("127.0.0.1", 1)
    fleet.daemons[daemon] = Daemon(
        daemon, address, location, DaemonState.ACTIVE
    )


def _add_group(fleet, deployment, number):
    group = GroupName(f"g{number}")
    names = [EndpointId(f"{group}s{i}") for i in range(3)]
    for index, name in enumerate(names):
        _add_endpoint(fleet, deployment, group, name, number + index)
    fleet.groups[group] = Group(
        group,
        GroupPhase.ACTIVE,
        size_count=3,
        term=Term(1),
        primary=names[0],
        raised_index=LogIndex(0),
        term_ends={},
        timelines={Timeline(1): Term(1)},
    )


def _add_endpoint(fleet, deployment, group, name, number):
    is_primary = name.endswith("s0")
    location = _location(deployment, number)
    fleet.set_endpoint(
        Endpoint(
            endpoint=name,
            group=group,
            address=Address("127.0.0.1", 1),
            location=location,
            role=EndpointRole.PRIMARY if is_primary else EndpointRole.REPLICA,
            term=Term(1),
            slots_count=deployment.slots_count,
            connection_limit_count=deployment.connection_limit_count,
            state=EndpointState.JOINED,
        )
    )
    local = [
        daemon.daemon
        for daemon in fleet.daemons.values()
        if daemon.location == location
    ]
    shift = int(group[1:])
    owner, standby = (local[(shift + i) % len(local)] for i in range(2))
    fleet.owners[name] = OwnerAssignment(name, owner, standby, Epoch(1))


def build_table(deployment, group):
    """Return the table of the one pool of ``group``."""
    rows = tuple(load.row for load in deployment.ranks)
    return PoolTable(PoolName(f"{group}pool"), group, rows)
