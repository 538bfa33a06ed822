"""Division of a server's connections among the proxies that may use it."""

import dataclasses
import functools

from waxwinglift.process import DaemonId
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._ownership import sorted_by_preference
from waxwinglift.version._types import DaemonState

# Connections that no proxy uses: those of control, which changes the primary.
RESERVED_COUNT = 3
# Fractions of the others.  In the test of a burst with 83 workspaces, an owner
# with 30 connections serves 1% fewer statements than one with 38, and one with
# 16 serves up to 8% fewer.
_TRANSITION_FRACTION = 0.2
_STANDBY_FRACTION = 0.12
_TEMPORARY_FRACTION = 0.16
# A statement and a transaction block.
_TEMPORARY_COUNT = 2
# Two of them may be the owner and the standby owner that cannot be reached.
_TEMPORARY_OWNERS_MIN_COUNT = 3
# A proxy that cannot reach the owner tries them one after the other.
_TEMPORARY_OWNERS_MAX_COUNT = 6
# Connections of a standby owner that another one may not know of yet.
PROBE_COUNT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShares:
    """Numbers of connections that proxies may have to one server.

    Parameters
    ----------
    owner_count : int
    transition_count : int
        For an owner while an earlier one may have more than half of their
        common share, and for one that may have been replaced long ago.
    standby_count : int
    temporary_count : int
        For each temporary owner.
    temporary_owners_count : int
    """

    owner_count: int
    transition_count: int
    standby_count: int
    temporary_count: int
    temporary_owners_count: int

    @property
    def half_count(self) -> int:
        """Half of the common share of an owner and one in transition.

        For an owner that may have been replaced, and for its successor until
        that one has the transition share.
        """
        return (self.owner_count + self.transition_count) // 2


@functools.lru_cache(maxsize=64)
def divide_connections(limit_count: int) -> ConnectionShares:
    """Return the shares of a server that accepts ``limit_count`` connections.

    A limit below 8 is too low for the shares of all roles; each has one
    connection then.
    """
    usable_count = max(1, limit_count - RESERVED_COUNT)
    temporary_total = max(1, int(_TEMPORARY_FRACTION * usable_count))
    temporary_count = temporary_total // _TEMPORARY_OWNERS_MIN_COUNT
    temporary_count = max(1, min(_TEMPORARY_COUNT, temporary_count))
    temporary_owners_count = min(
        _TEMPORARY_OWNERS_MAX_COUNT, temporary_total // temporary_count
    )
    transition_count = max(1, int(_TRANSITION_FRACTION * usable_count))
    standby_count = max(1, int(_STANDBY_FRACTION * usable_count))
    others_count = (
        transition_count
        + standby_count
        + temporary_count * temporary_owners_count
        + PROBE_COUNT
    )
    return ConnectionShares(
        max(1, usable_count - others_count),
        transition_count,
        standby_count,
        temporary_count,
        temporary_owners_count,
    )


def find_temporary_owners(
    fleet: FleetState, endpoint: Endpoint
) -> tuple[DaemonId, ...]:
    """Return the proxies that may serve an endpoint without an assignment.

    They are few, so that their shares add up even if all proxies lose contact
    with the owner and the standby owner at the same time.  They don't depend
    on the assignment, which the proxies may know in different versions.  Half
    of them are in the endpoint's region, if there are any; the others may be
    anywhere, because a region may be partitioned.
    """
    shares = divide_connections(fleet.connection_limit_count(endpoint))
    count = shares.temporary_owners_count
    daemons = {
        name: daemon.location.region
        for name, daemon in fleet.daemons.items()
        if daemon.state is not DaemonState.DRAINING
    }
    region = endpoint.location.region
    near = [
        name for name, its_region in daemons.items() if its_region == region
    ]
    near = sorted_by_preference(endpoint.endpoint, near)[: (count + 1) // 2]
    others = sorted_by_preference(endpoint.endpoint, daemons.keys() - near)
    return (*near, *others[: count - len(near)])
