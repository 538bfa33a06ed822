"""Proxies and stand-in servers of the platform in one process, for tests."""

import contextlib

from waxwinglift.platform import _protocols
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process.tests.data_path_fleet import LOCATION
from waxwinglift.process.tests.data_path_fleet import running_proxy
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
from waxwinglift.version import TableVersion
from waxwinglift.version import Term
from waxwinglift.version import Timeline
from waxwinglift.version._entries import GroupSettings
from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._entries import ServingLimits
from waxwinglift.version._fleet import DesiredState
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group
from waxwinglift.version._fleet import Pool
from waxwinglift.version._rank_rows import rank_row
from waxwinglift.version._types import Consistency
from waxwinglift.version._types import DesiredVersion
from waxwinglift.version._types import Fencing
from waxwinglift_standin.platform import Caller
from waxwinglift_standin.platform import ServerGroup

GROUP = GroupName("ledger")
# One pool per consistency level, the most urgent first.
POOLS = {
    "pay": PoolPolicy(Consistency.PRIMARY, 0, 800, 400, 0, 2),
    "look": PoolPolicy(Consistency.BOUNDED_STALENESS, 1, 800, 600, 1500, 2),
    "refill": PoolPolicy(Consistency.SESSION, 2, 800, 1500, 2500, 2),
}
_PLATFORM = {"protocol": _protocols.PROTOCOL}


def set_primary(state, name, term):
    """Record in the fleet's state that a server is primary from ``term``."""
    group = state.groups[GROUP]
    group.primary = EndpointId(name)
    group.term = Term(term)
    group.phase = GroupPhase.ACTIVE


def fleet_state(group, owner, idle_block_ms=3000):
    """Return the state of a fleet with one group of stand-in servers.

    Parameters
    ----------
    group : ServerGroup
    owner : DaemonId
        Owner of each server.
    idle_block_ms : int
        Limit for an idle transaction.
    """
    state = FleetState(index=LogIndex(1))
    for name, policy in POOLS.items():
        table = PoolTable(PoolName(name), GROUP, (rank_row(policy),), policy)
        state.set_pool(PoolName(name), Pool(table, TableVersion(1)))
    state.groups[GROUP] = Group(
        GROUP,
        GroupPhase.ACTIVE,
        len(group.servers),
        Term(1),
        EndpointId(group.primary),
        LogIndex(0),
        {},
        {Timeline(1): Term(1)},
        Fencing.SERVER,
        GroupSettings(GROUP, 23),
    )
    for name, server in group.servers.items():
        is_primary = name == group.primary
        state.set_endpoint(
            Endpoint(
                EndpointId(name),
                GROUP,
                server.address,
                Location(
                    DataCentre(server.data_centre), Region(server.data_centre)
                ),
                EndpointRole.PRIMARY if is_primary else EndpointRole.REPLICA,
                Term(1),
                server.settings.slots_count,
                23,
                EndpointState.JOINED,
            )
        )
        assignment = OwnerAssignment(EndpointId(name), owner, None, Epoch(1))
        state.owners[EndpointId(name)] = assignment
    state.desired = DesiredState(
        DesiredVersion(1),
        (),
        frozenset(PoolName(name) for name in POOLS),
        ServingLimits(idle_block_ms),
    )
    return state


class StatementFleet:
    """A group of servers and the proxies in front of it."""

    def __init__(self, group, proxies, state):
        self.group = group
        self.proxies = proxies
        self.state = state

    @property
    def entry(self):
        """Address of the first proxy, where callers connect."""
        return self.proxies[0].entry.address

    def server(self, name):
        """Return a stand-in server."""
        return self.group.servers[name]

    def connected(self, pool, name="tester"):
        """Return a context manager that yields a started session."""
        return Caller.connected(self.entry, pool, name)

    def promote(self, name):
        """Promote a server and notify the proxies."""
        self.group.primary = name
        self.group.term += 1
        set_primary(self.state, name, self.group.term)
        for proxy in self.proxies:
            proxy.view.notify()


@contextlib.asynccontextmanager
async def running_statement_fleet(
    proxy_count=1, times=None, settings=None, idle_block_ms=3000, entry=None
):
    """Yield a StatementFleet; the last proxy owns every server.

    ``entry`` has further fields of EntrySettings.
    """
    async with contextlib.AsyncExitStack() as stack:
        group = ServerGroup(GROUP, times)
        stack.callback(group.stop)
        for name in ("s1", "s2", "s3"):
            await group.add(name, LOCATION.data_centre, settings)
        names = [DaemonId(f"proxy-{n}") for n in range(1, proxy_count + 1)]
        state = fleet_state(group, names[-1], idle_block_ms)
        proxies = [
            await stack.enter_async_context(
                running_proxy(
                    name,
                    state,
                    entry={**_PLATFORM, **(entry or {})},
                    owner=_PLATFORM,
                )
            )
            for name in names
        ]
        yield StatementFleet(group, proxies, state)
