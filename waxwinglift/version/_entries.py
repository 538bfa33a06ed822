"""Entries of the control log.

The same entries are stored on disk, sent to control followers and streamed to
the daemons, which apply them with the same code.
"""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import Location
from waxwinglift.version._document_delta import LineEdit
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._types import Consistency
from waxwinglift.version._types import DesiredVersion
from waxwinglift.version._types import EditId
from waxwinglift.version._types import EndpointId
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import Epoch
from waxwinglift.version._types import GroupName
from waxwinglift.version._types import Lsn
from waxwinglift.version._types import PoolName
from waxwinglift.version._types import Rank
from waxwinglift.version._types import ServerPosition
from waxwinglift.version._types import TableVersion
from waxwinglift.version._types import WorkspaceName
from waxwinglift.version._types import Term
from waxwinglift.version._types import Timeline
from waxwinglift.version._workspaces import WorkspaceSettings


@dataclasses.dataclass(frozen=True, slots=True)
class RankRow:
    """One row of a pool's table.

    Parameters
    ----------
    rank : Rank
        Name that callers specify.
    weight : int
        Share of slots relative to other ranks if no rank is below its floor.
        A slot is one statement or transaction that an endpoint runs at once.
    floor_percent : int
        Minimum share of slots, 0 to 100, while requests of more urgent ranks
        exceed the capacity.
    limit_count : int
        Maximum number of slots of one endpoint at once; 0 for no limit.
    queue_limit_count : int
        Maximum number of requests waiting at one endpoint.
    deadline_ms : int
        Default time limit from arrival to the start of the statement.
    """

    rank: Rank
    weight: int
    floor_percent: int
    limit_count: int
    queue_limit_count: int
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPolicy:
    """How the requests of a pool with a single rank are served.

    Parameters
    ----------
    consistency : Consistency
    urgency_index : int
        0 for the most urgent pools of a group.
    statement_timeout_ms : int
        Maximum duration of one statement.
    target_latency_ms : int
        Time within which callers expect a whole transaction to end.
    max_staleness_ms : int
        Maximum age of commits that a read may miss; 0 if not specified.
    attempt_limit_count : int
        Maximum number of attempts of one request, including the first.
    is_public : bool
        Whether callers need no key of a workspace.
    """

    consistency: Consistency
    urgency_index: int
    statement_timeout_ms: int
    target_latency_ms: int
    max_staleness_ms: int = 0
    attempt_limit_count: int = 1
    is_public: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTable:
    """Table of a pool: its group and its ranks, most urgent first.

    ``policy`` is only set for pools of a desired state.
    """

    pool: PoolName
    group: GroupName
    rows: tuple[RankRow, ...]
    policy: PoolPolicy | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSettings:
    """Settings of a group as specified by the operator.

    Parameters
    ----------
    group : GroupName
    connection_limit_count : int
        Connections that each endpoint accepts from all clients together.
    sync_replicas_count : int
        Number of replicas that must receive a commit before the primary
        acknowledges it.
    """

    group: GroupName
    connection_limit_count: int
    sync_replicas_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServingLimits:
    """Limits of a desired state that apply to every caller.

    Parameters
    ----------
    idle_block_ms : int
        Time after which an idle transaction may be ended; 0 for no limit.
    """

    idle_block_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NoOperation:
    """First entry of a leader's term; commits the entries before it."""

    kind: EntryKind = EntryKind.NO_OPERATION


@dataclasses.dataclass(frozen=True, slots=True)
class PoolEdited:
    """Replaces a pool's table if the expected version matches.

    A ``table`` of None deletes the pool; ``expected_version`` 0 creates it.
    """

    edit_id: EditId
    pool: PoolName
    expected_version: TableVersion
    table: PoolTable | None
    kind: EntryKind = EntryKind.POOL_EDITED


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredStateReplaced:
    """Replaces the desired state that has ``base_version`` by a new one.

    The entry contains only the changes, because most versions of a large
    state differ in a few pools.

    Parameters
    ----------
    version : DesiredVersion
        Higher than ``base_version``.
    base_version : DesiredVersion
        Version that the changes are based on; 0 for none.
    edits : tuple of LineEdit
        Changes to the operator's document, which is returned unmodified.
    pools : tuple of PoolTable
        New and changed pools.
    removed_pools : tuple of PoolName
    groups : tuple of GroupSettings
        All groups.
    limits : ServingLimits
    workspaces : tuple of WorkspaceSettings
        New and changed workspaces.
    removed_workspaces : tuple of WorkspaceName
    """

    version: DesiredVersion
    base_version: DesiredVersion
    edits: tuple[LineEdit, ...]
    pools: tuple[PoolTable, ...]
    removed_pools: tuple[PoolName, ...]
    groups: tuple[GroupSettings, ...]
    limits: ServingLimits
    workspaces: tuple[WorkspaceSettings, ...] = ()
    removed_workspaces: tuple[WorkspaceName, ...] = ()
    kind: EntryKind = EntryKind.DESIRED_STATE_REPLACED


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointJoined:
    """Registers or updates an endpoint that announced itself.

    ``term`` is the server's PostgreSQL timeline and ``started_ms`` the
    wall-clock time of its start.  Each of these, and ``group_size_count``, is
    0 if not announced.
    """

    endpoint: EndpointId
    group: GroupName
    address: Address
    location: Location
    role: EndpointRole
    term: Term
    slots_count: int
    connection_limit_count: int
    group_size_count: int
    started_ms: int = 0
    kind: EntryKind = EntryKind.ENDPOINT_JOINED


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """The endpoint is leaving; ``_fleet.accepts_requests`` limits its use."""

    endpoint: EndpointId
    kind: EntryKind = EntryKind.ENDPOINT_LEAVING


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLost:
    """The endpoint's announcements expired."""

    endpoint: EndpointId
    kind: EntryKind = EntryKind.ENDPOINT_LOST


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """The endpoint has left permanently and is removed.

    ``ended_start_ms`` is the start that the endpoint itself has ended; 0 if
    another endpoint has taken its place.
    """

    endpoint: EndpointId
    ended_start_ms: int = 0
    kind: EntryKind = EntryKind.ENDPOINT_REMOVED


@dataclasses.dataclass(frozen=True, slots=True)
class GroupFormed:
    """Sets a group's first primary once all its servers are announced.

    In a server-fenced group, only the primary must be announced.
    """

    group: GroupName
    term: Term
    primary: EndpointId
    kind: EntryKind = EntryKind.GROUP_FORMED


@dataclasses.dataclass(frozen=True, slots=True)
class TermRaised:
    """Starts a change of primary; the old primary must no longer be used."""

    group: GroupName
    term: Term
    kind: EntryKind = EntryKind.TERM_RAISED


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryChosen:
    """Chooses the new primary.

    ``old_term`` is the group's term of the new primary's last write, or its
    timeline in a server-fenced group; it ends at ``old_term_end_lsn``.
    """

    group: GroupName
    term: Term
    primary: EndpointId
    old_term: Term
    old_term_end_lsn: Lsn
    kind: EntryKind = EntryKind.PRIMARY_CHOSEN


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryActive:
    """The new primary has been promoted; writes resume.

    ``timeline`` is the server's own number for this term.  In a
    server-fenced group, ``last_write`` is the position of the last write in
    the new primary's log; it is on an earlier timeline, unless the chosen
    server was the primary already.
    """

    group: GroupName
    term: Term
    timeline: Timeline
    last_write: ServerPosition | None = None
    kind: EntryKind = EntryKind.PRIMARY_ACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonJoined:
    """A proxy joins the fleet, or is active again after draining."""

    daemon: DaemonId
    address: Address
    location: Location
    kind: EntryKind = EntryKind.DAEMON_JOINED


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonDraining:
    """A proxy is shutting down and gets no more endpoints."""

    daemon: DaemonId
    kind: EntryKind = EntryKind.DAEMON_DRAINING


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonLeft:
    """A proxy's lease expired, or the proxy stopped."""

    daemon: DaemonId
    kind: EntryKind = EntryKind.DAEMON_LEFT


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerAssignment:
    """Owner and standby owner of one endpoint; either may be None.

    ``previous`` is a live former owner that may still hold connections to
    the endpoint.  While named here, it reports ``released`` once it holds
    none.  The standby owner opens its connection only if ``previous`` is None.
    """

    endpoint: EndpointId
    owner: DaemonId | None
    standby: DaemonId | None
    epoch: Epoch
    previous: DaemonId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersAssigned:
    """Assigns endpoints to proxies."""

    assignments: tuple[OwnerAssignment, ...]
    kind: EntryKind = EntryKind.OWNERS_ASSIGNED


@dataclasses.dataclass(frozen=True, slots=True)
class MemberAdded:
    """A control daemon joins as a learner, without a vote."""

    member: DaemonId
    address: Address
    # None in the logs of older builds and where nobody stated it.
    location: Location | None = None
    kind: EntryKind = EntryKind.MEMBER_ADDED


@dataclasses.dataclass(frozen=True, slots=True)
class MemberPromoted:
    """A learner that has caught up becomes a voter."""

    member: DaemonId
    kind: EntryKind = EntryKind.MEMBER_PROMOTED


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRemoved:
    """A control daemon is no longer a member of the control group."""

    member: DaemonId
    kind: EntryKind = EntryKind.MEMBER_REMOVED


Entry = (
    NoOperation
    | PoolEdited
    | DesiredStateReplaced
    | EndpointJoined
    | EndpointLeaving
    | EndpointLost
    | EndpointRemoved
    | GroupFormed
    | TermRaised
    | PrimaryChosen
    | PrimaryActive
    | DaemonJoined
    | DaemonDraining
    | DaemonLeft
    | OwnersAssigned
    | MemberAdded
    | MemberPromoted
    | MemberRemoved
)
