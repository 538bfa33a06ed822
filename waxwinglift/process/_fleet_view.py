"""A proxy's view of the fleet, for its entry and owner sides."""

import asyncio
from collections.abc import Callable

from waxwinglift.process._types import DaemonId
from waxwinglift.process._types import Location
from waxwinglift.version import EndpointId
from waxwinglift.version import FleetState
from waxwinglift.version import GroupName
from waxwinglift.version import LogIndex
from waxwinglift.version import OwnerAssignment
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group


class FleetView:
    """Read access to the daemon's copy of the control log's state.

    Parameters
    ----------
    daemon : DaemonId
        This proxy.
    location : Location
        Data centre and region of this proxy.
    lease_is_live : callable
        Returns whether this proxy's lease is live now.
    fleet : FleetState
        Copy of the state that the watch stream keeps up to date.
    age_ms : callable
        Returns the age of the state, as in `ViewAge`.
    """

    def __init__(
        self,
        daemon: DaemonId,
        location: Location,
        lease_is_live: Callable[[], bool],
        fleet: FleetState | None = None,
        age_ms: Callable[[], float] = lambda: 0.0,
    ):
        self.daemon = daemon
        self.location = location
        self.lease_is_live = lease_is_live
        self.age_ms = age_ms
        self.fleet = FleetState() if fleet is None else fleet
        self._listeners = []
        self._changed = asyncio.Event()

    @property
    def applied_index(self) -> LogIndex:
        """Index of the last applied log entry."""
        return self.fleet.index

    def replace(self, fleet: FleetState):
        """Use the state of a snapshot and notify the listeners."""
        self.fleet = fleet
        self.notify()

    def notify(self):
        """Notify listeners and waiters of a change of the state or lease."""
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        for listener in list(self._listeners):
            listener()

    def add_listener(self, listener: Callable[[], None]):
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]):
        """Stop calling ``listener``; ignored if it is not registered."""
        if listener in self._listeners:
            self._listeners.remove(listener)

    async def wait_for_change(self, timeout_ms: float) -> bool:
        """Wait for a change; return False on timeout."""
        # asyncio.wait_for of Python 3.11 discards a cancellation that comes
        # together with the change.
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def table(self, pool: PoolName) -> PoolTable | None:
        """Return the table of a pool, None if there is no such pool."""
        found = self.fleet.pools.get(pool)
        return None if found is None else found.table

    def group(self, group: GroupName) -> Group | None:
        """Return a group, None if it is unknown."""
        return self.fleet.groups.get(group)

    def endpoint(self, endpoint: EndpointId) -> Endpoint | None:
        """Return an endpoint, None if it is unknown."""
        return self.fleet.endpoints.get(endpoint)

    def assignment(self, endpoint: EndpointId) -> OwnerAssignment | None:
        """Return an endpoint's owners, None if none were assigned yet."""
        return self.fleet.owners.get(endpoint)

    def owns(self, endpoint: EndpointId) -> bool:
        """Return whether this proxy is the endpoint's owner."""
        assignment = self.assignment(endpoint)
        return assignment is not None and assignment.owner == self.daemon
