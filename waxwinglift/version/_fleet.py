"""Fleet state: the result of applying the control log.

Control members and daemons each hold a copy.
"""

import collections
from collections.abc import Collection
import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import Location
from waxwinglift.version._entries import GroupSettings
from waxwinglift.version._entries import OwnerAssignment
from waxwinglift.version._entries import PoolTable
from waxwinglift.version._entries import ServingLimits
from waxwinglift.version._types import DaemonState
from waxwinglift.version._types import DesiredVersion
from waxwinglift.version._types import EditId
from waxwinglift.version._types import EndpointId
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import Fencing
from waxwinglift.version._types import GroupName
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import KeyDigest
from waxwinglift.version._types import LogIndex
from waxwinglift.version._types import Lsn
from waxwinglift.version._types import PoolName
from waxwinglift.version._types import TableVersion
from waxwinglift.version._types import WorkspaceName
from waxwinglift.version._types import Term
from waxwinglift.version._types import Timeline
from waxwinglift.version._workspaces import WorkspaceSettings


# Departures that are kept; a fleet of the target size has 2,610 endpoints, and
# a departure matters only for seconds.
_DEPARTED_LIMIT_COUNT = 512


@dataclasses.dataclass(frozen=True, slots=True)
class PastTable:
    """A table that has been replaced by a later edit."""

    version: TableVersion
    table: PoolTable


@dataclasses.dataclass(slots=True)
class Pool:
    """Current table of a pool; a deleted pool keeps its version.

    ``history`` contains the most recently replaced tables, oldest first.
    """

    table: PoolTable | None
    version: TableVersion
    history: tuple[PastTable, ...] = ()


@dataclasses.dataclass(slots=True)
class Endpoint:
    """A database server that has announced itself.

    ``term`` is the PostgreSQL timeline that the server announced, 0 if it
    announces none.
    """

    endpoint: EndpointId
    group: GroupName
    address: Address
    location: Location
    role: EndpointRole
    term: Term
    slots_count: int
    connection_limit_count: int
    state: EndpointState
    started_ms: int = 0


@dataclasses.dataclass(slots=True)
class Group:
    """A database, its current primary and the ends of its past terms.

    ``raised_index`` is the log index of the last TermRaised; every daemon
    with a lease must have applied it before a promotion.  ``timelines`` maps
    each timeline in the history of the current primary to its term.  If the
    group is server-fenced, positions contain timelines instead of terms, and
    timelines are the keys of ``term_ends``.  ``is_primary_abandoned`` is True
    while another server is chosen in place of one that was not promoted.
    ``has_primary_left`` is True if the primary has announced that it is gone
    for good; it is removed after its successor is active.
    ``was_primary_kept`` is True if the last change of primary ended with the
    old one, so that replicas may still be fenced.
    """

    group: GroupName
    phase: GroupPhase
    size_count: int
    term: Term
    primary: EndpointId | None
    raised_index: LogIndex
    term_ends: dict[Term, Lsn]
    timelines: dict[Timeline, Term]
    fencing: Fencing = Fencing.LEASE
    settings: GroupSettings | None = None
    is_primary_abandoned: bool = False
    has_primary_left: bool = False
    was_primary_kept: bool = False

    @property
    def is_server_fenced(self):
        """Whether a replaced primary refuses writes by itself."""
        return self.fencing is Fencing.SERVER


def find_term(group, timeline):
    """Return the group's term that corresponds to a server's timeline.

    The numbers may differ: a server counts only the promotions in its own
    history, while the group also counts terms that ended before a promotion.

    Returns
    -------
    Term or None
        0 for a timeline from before the group was formed; None for one that
        is not in the history of the group's current primary.
    """
    if group.is_server_fenced:
        return Term(timeline)
    if timeline in group.timelines:
        return group.timelines[timeline]
    is_earlier = timeline < min(group.timelines, default=0)
    return Term(0) if is_earlier else None


def accepts_requests(endpoint, group):
    """Return whether an endpoint of ``group`` may get new requests.

    A primary whose announcements have expired may only be disconnected from
    control; it stays in use until its owner reports it down.
    """
    if endpoint.state is EndpointState.LOST:
        return endpoint.endpoint == group.primary
    if endpoint.state is EndpointState.LEAVING and group.is_server_fenced:
        # A leaving primary serves requests while its successor is chosen.
        is_primary = endpoint.endpoint == group.primary
        return is_primary and group.phase is GroupPhase.ACTIVE
    return endpoint.state is EndpointState.JOINED


@dataclasses.dataclass(slots=True)
class Daemon:
    """A proxy that has joined the fleet and has not left it."""

    daemon: DaemonId
    address: Address
    location: Location
    state: DaemonState


@dataclasses.dataclass(slots=True)
class Member:
    """A control daemon."""

    member: DaemonId
    address: Address
    is_voter: bool
    # None if it is not known.
    location: Location | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EditAnswer:
    """Answer to an edit; repeated if the same edit id is sent again."""

    pool: PoolName
    is_applied: bool
    version: TableVersion


@dataclasses.dataclass(slots=True)
class DesiredState:
    """The operator's desired state, as accepted.

    ``document`` contains the lines that the operator sent.  ``pool_names``
    lists the pools of the fleet that belong to this state.
    """

    version: DesiredVersion
    document: tuple[str, ...]
    pool_names: frozenset[PoolName]
    limits: ServingLimits


@dataclasses.dataclass
class FleetState:
    """Everything that the control log describes.

    Set endpoints, pools and workspaces only through the methods, which
    maintain lookup tables: at each poll of a primary, its proxy looks up the
    endpoints and pools of the group, and a fleet has thousands of them.
    """

    index: LogIndex = LogIndex(0)
    pools: dict[PoolName, Pool] = dataclasses.field(default_factory=dict)
    endpoints: dict[EndpointId, Endpoint] = dataclasses.field(
        default_factory=dict
    )
    groups: dict[GroupName, Group] = dataclasses.field(default_factory=dict)
    daemons: dict[DaemonId, Daemon] = dataclasses.field(default_factory=dict)
    owners: dict[EndpointId, OwnerAssignment] = dataclasses.field(
        default_factory=dict
    )
    members: dict[DaemonId, Member] = dataclasses.field(default_factory=dict)
    edit_answers: dict[EditId, EditAnswer] = dataclasses.field(
        default_factory=dict
    )
    desired: DesiredState | None = None
    # Start times of endpoints that have left, the latest departure last.
    departed: dict[EndpointId, int] = dataclasses.field(default_factory=dict)
    workspaces: dict[WorkspaceName, WorkspaceSettings] = dataclasses.field(
        default_factory=dict
    )

    def __post_init__(self):
        # Not dataclass fields, so that snapshots and comparisons ignore these
        # lookup tables.
        self._group_endpoints = collections.defaultdict(dict)
        self._group_pools = collections.defaultdict(dict)
        self._key_workspaces = {}
        for endpoint in self.endpoints.values():
            self.set_endpoint(endpoint)
        for name, pool in self.pools.items():
            self.set_pool(name, pool)
        for settings in self.workspaces.values():
            self._index_keys(settings)

    def set_endpoint(self, endpoint: Endpoint):
        """Add or replace an endpoint; its group never changes."""
        self.endpoints[endpoint.endpoint] = endpoint
        members = self._group_endpoints[endpoint.group]
        members[endpoint.endpoint] = endpoint

    def remove_endpoint(self, endpoint: EndpointId):
        """Remove a known endpoint and its owners."""
        removed = self.endpoints.pop(endpoint)
        del self._group_endpoints[removed.group][endpoint]
        self.owners.pop(endpoint, None)

    def record_departure(self, endpoint: EndpointId, started_ms: int):
        """Record that an endpoint has ended its start at ``started_ms``."""
        self.departed.pop(endpoint, None)
        self.departed[endpoint] = started_ms
        if len(self.departed) > _DEPARTED_LIMIT_COUNT:
            del self.departed[next(iter(self.departed))]

    def set_pool(self, name: PoolName, pool: Pool):
        """Add or replace a pool; its new table may name another group."""
        known = self.pools.get(name)
        if known is not None and known.table is not None:
            self._group_pools[known.table.group].pop(name, None)
        self.pools[name] = pool
        if pool.table is not None:
            self._group_pools[pool.table.group][name] = pool

    def remove_pool(self, name: PoolName):
        """Remove a pool and its version."""
        self.set_pool(name, Pool(None, TableVersion(0)))
        del self.pools[name]

    def connection_limit_count(self, endpoint: Endpoint) -> int:
        """Return the connections that an endpoint accepts from all clients.

        A limit in the settings of the group overrides the announced one.
        """
        group = self.groups.get(endpoint.group)
        if group is not None and group.settings is not None:
            return group.settings.connection_limit_count
        return endpoint.connection_limit_count

    def endpoints_of(self, group: GroupName) -> Collection[Endpoint]:
        """Return the endpoints of a group, including lost ones."""
        return self._group_endpoints.get(group, {}).values()

    def pools_of(self, group: GroupName) -> Collection[Pool]:
        """Return the pools whose table names ``group``."""
        return self._group_pools.get(group, {}).values()

    def set_workspace(self, settings: WorkspaceSettings):
        """Add or replace a workspace and its keys."""
        self.remove_workspace(settings.workspace)
        self.workspaces[settings.workspace] = settings
        self._index_keys(settings)

    def remove_workspace(self, workspace: WorkspaceName):
        """Remove a workspace and its keys; ignored if it is unknown."""
        removed = self.workspaces.pop(workspace, None)
        for key in () if removed is None else removed.keys:
            # The key may belong to another workspace by now.
            if self._key_workspaces.get(key) == workspace:
                del self._key_workspaces[key]

    def workspace_of(self, key: KeyDigest) -> WorkspaceName | None:
        """Return the workspace that holds a key, None if no workspace does."""
        return self._key_workspaces.get(key)

    def _index_keys(self, settings):
        for key in settings.keys:
            self._key_workspaces[key] = settings.workspace
