"""Events and actions of a change of primary."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.version._entries import Entry
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
    """Work on one server, abandoned after ``time_limit_ms``.

    Each is idempotent.  The executor must not start it after its time limit
    or after it has stepped down, and reports the outcome with ``term``.
    """

    group: GroupName
    term: Term
    endpoint: EndpointId
    address: Address
    time_limit_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FenceServer(ServerAction):
    """Stop the server's receiver.

    ``timeline`` is above every one that the group has used; servers that
    fence themselves ask for it.
    """

    timeline: Timeline = Timeline(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPosition(ServerAction):
    """Read the timeline and the last offset that the server received."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteServer(ServerAction):
    """Promote the server; wait until it is out of recovery."""


@dataclasses.dataclass(frozen=True, slots=True)
class RepointServer(ServerAction):
    """Let the server follow ``primary``."""

    primary: EndpointId
    primary_address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipStarted:
    """This daemon became the control leader: nothing is in progress yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesObserved:
    """Leases at the time of the event; drives retries and waits.

    ``min_applied_index`` is the lowest applied index among the live leases,
    None when there are none.
    """

    live_daemons: frozenset[DaemonId]
    min_applied_index: LogIndex | None


@dataclasses.dataclass(frozen=True, slots=True)
class EntryApplied:
    """The next entry was applied; ``group`` is the one that it changed."""

    index: LogIndex
    group: GroupName | None


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesPassed:
    """All leases have reached ``min_applied_index``; None when there are none.

    Other than LeasesObserved it goes on with waiting groups only.
    """

    min_applied_index: LogIndex | None


@dataclasses.dataclass(frozen=True, slots=True)
class DownEndpoint:
    """An endpoint that a proxy finds down.

    ``term`` is the group's term that the proxy had applied when it probed;
    a report from before the last change of primary does not count.
    ``is_reachable`` says that a primary answers probes while no quorum
    confirms its writes.
    """

    endpoint: EndpointId
    term: Term
    is_reachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReported:
    """All endpoints that a proxy owns or stands by for and finds down.

    Replaces the proxy's earlier report; an endpoint not listed is in use.
    """

    daemon: DaemonId
    down: tuple[DownEndpoint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFenced:
    """The server has confirmed that its receiver has stopped.

    ``position`` is what it has received, when the same answer says so.
    """

    group: GroupName
    term: Term
    endpoint: EndpointId
    position: ServerPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PositionRead:
    """Answer to ReadPosition; ``is_primary`` is the server's own word."""

    group: GroupName
    term: Term
    endpoint: EndpointId
    position: ServerPosition
    is_primary: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPromoted:
    """The server is out of recovery, on the new timeline."""

    group: GroupName
    term: Term
    endpoint: EndpointId
    timeline: Timeline


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRepointed:
    """The server follows the new primary."""

    group: GroupName
    term: Term
    endpoint: EndpointId


@dataclasses.dataclass(frozen=True, slots=True)
class ActionFailed:
    """The action failed or ran into its time limit.

    ``is_reached`` says that the server answered, ``is_gone`` that it does not
    run any more.
    """

    action: ServerAction
    message: str
    is_reached: bool = False
    is_gone: bool = False
