"""Proxies and a stand-in group in one process, for the data path's tests."""

import contextlib
import dataclasses
import socket

from waxwinglift.connection import HealthState
from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._entry_server import EntryServer
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._owner_set import OwnerSet
from waxwinglift.process._peer_client import PeerClients
from waxwinglift.process._peer_service import PeerServer
from waxwinglift.process._peer_service import PeerService
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
from waxwinglift.version import Rank
from waxwinglift.version import RankRow
from waxwinglift.version import TableVersion
from waxwinglift.version import Term
from waxwinglift.version import Timeline
from waxwinglift.version._fleet import Daemon
from waxwinglift.version._fleet import Endpoint
from waxwinglift.version._fleet import Group
from waxwinglift.version._fleet import Pool
from waxwinglift.version._types import DaemonState
from waxwinglift_standin.process import running_group

GROUP = GroupName("group")
POOL = PoolName("ledger")
LOCATION = Location(DataCentre("dc-1"), Region("region-1"))
SECRET = "fleet secret"
_TABLE = PoolTable(
    POOL,
    GROUP,
    (
        RankRow(Rank("urgent"), 8, 0, 0, 100, 3000),
        RankRow(Rank("low"), 1, 10, 0, 100, 3000),
    ),
)


class CountingMetrics:
    """Counts metrics in memory."""

    def __init__(self):
        self.counts = {}

    def incr(self, name, count=1):
        self.counts[name] = self.counts.get(name, 0) + count

    def timing(self, name, value_ms):
        self.counts.setdefault(name, 0)


@dataclasses.dataclass
class Proxy:
    """One proxy of the test fleet."""

    view: FleetView
    owners: OwnerSet
    entry: EntryServer
    peers: PeerClients
    metrics: CountingMetrics
    lease: dict
    peer_server: PeerServer

    @property
    def conninfo(self):
        """Connection string for psycopg."""
        address = self.entry.address
        return (
            f"host={address.host} port={address.port} user=test "
            f"dbname={POOL} sslmode=disable gssencmode=disable"
        )


def fleet_state(servers, owners):
    """Return the state of a fleet with one group.

    Parameters
    ----------
    servers : list of StandinServer
        Servers of the group; the first one is the primary.
    owners : list of DaemonId
        Owner of each server.
    """
    ids = [EndpointId(server.settings.id) for server in servers]
    term = Term(servers[0].state.log.term)
    state = FleetState(index=LogIndex(1))
    state.set_pool(POOL, Pool(_TABLE, TableVersion(1)))
    state.groups[GROUP] = Group(
        GROUP,
        GroupPhase.ACTIVE,
        len(ids),
        term,
        ids[0],
        LogIndex(0),
        {},
        {Timeline(term): term},
    )
    for server, endpoint, owner in zip(servers, ids, owners, strict=True):
        is_primary = endpoint == ids[0]
        state.set_endpoint(
            Endpoint(
                endpoint,
                GROUP,
                server.address,
                LOCATION,
                EndpointRole.PRIMARY if is_primary else EndpointRole.REPLICA,
                term,
                server.settings.slots_count,
                server.settings.connection_limit_count,
                EndpointState.JOINED,
            )
        )
        assignment = OwnerAssignment(endpoint, owner, None, Epoch(1))
        state.owners[endpoint] = assignment
    return state


@contextlib.asynccontextmanager
async def running_proxy(daemon, state, **options):
    """Yield a running proxy; all proxies of a fleet share ``state``.

    ``options`` may have ``owner`` and ``entry``, which are fields of
    OwnerSettings and EntrySettings, and ``tracer``.
    """
    lease = {"is_live": True}
    metrics = CountingMetrics()
    view = FleetView(daemon, LOCATION, lambda: lease["is_live"], state)
    owner_settings = OwnerSettings(**options.get("owner", {}))
    shared = {"metrics": metrics, "tracer": options.get("tracer")}
    settings = EntrySettings(token_secret=SECRET, **options.get("entry", {}))
    shares_load = settings.routing.server_policy == "load"
    owners = OwnerSet(owner_settings, view, shares_load=shares_load, **shared)
    book = owners.loads.book if shares_load else None
    peers = PeerClients(view, owners)
    owners.find_executor = peers.executor_for
    entry = EntryServer(settings, view, peers, loads=book, **shared)
    service = PeerService(owners, entry.find_statement, owners.loads)
    server = PeerServer([service])
    # asyncio sets TCP_NODELAY only on sockets with an explicit protocol.
    with socket.socket(proto=socket.IPPROTO_TCP) as listener:
        listener.bind(("127.0.0.1", 0))
        address = Address(*listener.getsockname())
        await server.start(sock=listener.dup())
    state.daemons[daemon] = Daemon(
        daemon, address, LOCATION, DaemonState.ACTIVE
    )
    owners.start()
    await entry.start()
    try:
        yield Proxy(view, owners, entry, peers, metrics, lease, server)
    finally:
        await entry.stop()
        await owners.stop()
        peers.close()
        server.close()


@contextlib.asynccontextmanager
async def running_fleet(proxy_count=1, size=3, group=None, **options):
    """Yield (servers, proxies); the last proxy owns every endpoint.

    With two proxies, requests at the first one are therefore forwarded to the
    second one.  ``group`` has the options of ``running_group``, ``options``
    those of `running_proxy`.
    """
    async with contextlib.AsyncExitStack() as stack:
        servers = await stack.enter_async_context(
            running_group(size, **(group or {}))
        )
        names = [DaemonId(f"proxy-{n}") for n in range(1, proxy_count + 1)]
        state = fleet_state(servers, [names[-1]] * size)
        proxies = [
            await stack.enter_async_context(
                running_proxy(name, state, **options)
            )
            for name in names
        ]
        yield servers, proxies


def is_up(proxy):
    """Return whether every endpoint of a proxy answers."""
    states = proxy.owners.health().values()
    return all(state is HealthState.UP for state in states)
