"""State that the control log describes, as held by control and daemons."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import Location
from waxwinglift.version._entries import OwnerAssignment
from waxwinglift.version._entries import PoolTable
from waxwinglift.version._types import DaemonState
from waxwinglift.version._types import EditId
from waxwinglift.version._types import EndpointId
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import GroupName
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import LogIndex
from waxwinglift.version._types import Lsn
from waxwinglift.version._types import PoolName
from waxwinglift.version._types import TableVersion
from waxwinglift.version._types import Term
from waxwinglift.version._types import Timeline


@dataclasses.dataclass(frozen=True, slots=True)
class PastTable:
    """A table that a later edit replaced."""

    version: TableVersion
    table: PoolTable


@dataclasses.dataclass(slots=True)
class Pool:
    """Current table of a pool; a deleted pool keeps its version.

    ``history`` holds the latest replaced tables, oldest first.
    """

    table: PoolTable | None
    version: TableVersion
    history: tuple[PastTable, ...] = ()


@dataclasses.dataclass(slots=True)
class Endpoint:
    """One announced database server; ``term`` is its own timeline."""

    endpoint: EndpointId
    group: GroupName
    address: Address
    location: Location
    role: EndpointRole
    term: Term
    slots_count: int
    connection_limit_count: int
    state: EndpointState


@dataclasses.dataclass(slots=True)
class Group:
    """A database, its current primary and the ends of its past terms.

    ``raised_index`` is the log index of the last TermRaised; every daemon
    with a lease must have applied it before a promotion.  ``timelines`` gives
    the term of each timeline in the history of the current primary.
    """

    group: GroupName
    phase: GroupPhase
    size_count: int
    term: Term
    primary: EndpointId | None
    raised_index: LogIndex
    term_ends: dict[Term, Lsn]
    timelines: dict[Timeline, Term]


def find_term(group, timeline):
    """Return the group's term of a server's timeline.

    Servers count only the promotions in their own history, the group also
    the terms that ended before their promotion.

    Returns
    -------
    Term or None
        0 for a timeline from before the group was formed, None for one that
        is not in the history of the group's current primary.
    """
    if timeline in group.timelines:
        return group.timelines[timeline]
    is_earlier = timeline < min(group.timelines, default=0)
    return Term(0) if is_earlier else None


def accepts_work(endpoint, group):
    """Return whether an endpoint of ``group`` may get new work.

    A primary whose announcements have expired may be cut off from control
    only: it goes on until its owner finds it down.
    """
    if endpoint.state is EndpointState.LOST:
        return endpoint.endpoint == group.primary
    return endpoint.state is EndpointState.JOINED


@dataclasses.dataclass(slots=True)
class Daemon:
    """A proxy that holds or held a lease."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class EditAnswer:
    """First answer to an edit; repeated for the same edit id."""

    pool: PoolName
    is_applied: bool
    version: TableVersion


@dataclasses.dataclass(slots=True)
class FleetState:
    """Everything that the control log describes."""

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
