"""Events and actions of a failover."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.version._entries import Entry
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._types import EndpointId
from waxwinglift.version._types import GroupName
from waxwinglift.version._types import LogIndex
from waxwinglift.version._types import ServerPosition
from waxwinglift.version._types import Term
from waxwinglift.version._types import Timeline


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Append ``entry`` to the control log."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAction:
    """Operation on one server, abandoned after ``time_limit_ms``.

    Every action is idempotent.  The executor must not start one after its
    time limit has passed or the daemon has stepped down as leader.  It
    reports the outcome with ``term``.
    """

    group: GroupName
    term: Term
    endpoint: EndpointId
    address: Address
    time_limit_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FenceServer(ServerAction):
    """Stop the server's WAL receiver.

    ``timeline`` is above every timeline that the group has used; servers
    that fence themselves require it.
    """

    timeline: Timeline = Timeline(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPosition(ServerAction):
    """Read the server's timeline and the last WAL offset it received."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteServer(ServerAction):
    """Promote the server; wait until it is out of recovery."""


@dataclasses.dataclass(frozen=True, slots=True)
class RepointServer(ServerAction):
    """Make the server replicate from ``primary``."""

    primary: EndpointId
    primary_address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipStarted:
    """This daemon became the control leader; all progress is discarded."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesObserved:
    """Live leases at the time of the event; drives retries and timeouts.

    ``min_applied_index`` is the lowest log index that a holder of a live lease
    has applied, None when there is no live lease.
    """

    live_daemons: frozenset[DaemonId]
    min_applied_index: LogIndex | None


@dataclasses.dataclass(frozen=True, slots=True)
class EntryApplied:
    """The next log entry was applied; it changed ``group``, if any."""

    index: LogIndex
    group: GroupName | None


@dataclasses.dataclass(frozen=True, slots=True)
class MinAppliedIndexObserved:
    """The holders of all live leases have applied ``min_applied_index``.

    It is None when there is no live lease.  Unlike LeasesObserved, this event
    advances only the groups that wait for the lease holders.
    """

    min_applied_index: LogIndex | None


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReported:
    """All endpoints that a proxy reports down as owner or standby owner.

    Replaces the proxy's earlier report; an endpoint not listed is up.
    """

    daemon: DaemonId
    down: tuple[DownEndpoint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFenced:
    """The server confirmed that its WAL receiver has stopped.

    ``position`` is the position that it has received, if the same answer
    contains it.
    """

    group: GroupName
    term: Term
    endpoint: EndpointId
    position: ServerPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PositionRead:
    """Answer to ReadPosition.

    ``is_primary`` says that the server itself claims to be the primary.
    """

    group: GroupName
    term: Term
    endpoint: EndpointId
    position: ServerPosition
    is_primary: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPromoted:
    """The server has left recovery and is on the new timeline.

    ``last_write`` is the position of the last write in its log.  Only servers
    that fence themselves report it.
    """

    group: GroupName
    term: Term
    endpoint: EndpointId
    timeline: Timeline
    last_write: ServerPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRepointed:
    """The server replicates from the new primary."""

    group: GroupName
    term: Term
    endpoint: EndpointId


@dataclasses.dataclass(frozen=True, slots=True)
class ActionFailed:
    """The action failed or exceeded its time limit.

    ``is_reached`` says that the server answered, ``is_not_running`` that it
    no longer runs.
    """

    action: ServerAction
    message: str
    is_reached: bool = False
    is_not_running: bool = False
