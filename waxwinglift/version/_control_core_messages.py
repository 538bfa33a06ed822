"""Events and actions of the control core."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import Location
from waxwinglift.version._announcements import Announcement
from waxwinglift.version._entries import Entry
from waxwinglift.version._failover_messages import DownEndpoint
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import EndpointId
from waxwinglift.version._types import Incarnation
from waxwinglift.version._types import LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A proxy's request for a lease.

    Parameters
    ----------
    applied_index : LogIndex
        Last log entry that the proxy has applied.
    sequence : int
        Echoed in the answer; the proxy keeps its send time by it.  It rises
        over restarts too, for instance from the wall clock at the start.
    is_draining, is_stopped : bool
        Shutting down, and about to exit with all connections closed.
    down : tuple of DownEndpoint
        All endpoints that the proxy owns or stands by for and finds down.
    incarnation : Incarnation
        Drawn at the start of the proxy's process.
    released : tuple of EndpointId
        Endpoints whose assignment names the proxy as ``previous`` and to
        which it has no connections left; repeated until it is not named.
    """

    daemon: DaemonId
    address: Address
    location: Location
    applied_index: LogIndex
    sequence: int
    is_draining: bool = False
    is_stopped: bool = False
    down: tuple[DownEndpoint, ...] = ()
    released: tuple[EndpointId, ...] = ()
    incarnation: Incarnation = Incarnation(0)


@dataclasses.dataclass(frozen=True, slots=True)
class BecameLeader:
    """This member won an election of the control log."""


@dataclasses.dataclass(frozen=True, slots=True)
class SteppedDown:
    """This member no longer leads the control log."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCommitted:
    """The next entry of the control log; also sent to followers."""

    index: LogIndex
    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class StateInstalled:
    """The fleet state was replaced by a snapshot."""

    fleet: FleetState


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalReceived:
    """A renewal, with ``ConsensusNode.is_leader_with_quorum`` at its time."""

    renewal: Renewal
    has_quorum: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """An endpoint announced itself."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ControlTick:
    """Regular step, every ``tick_interval_ms``."""

    has_quorum: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUpLeadership:
    """Let another member lead, which may reach the servers."""


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLease:
    """Answer a renewal with a lease."""

    daemon: DaemonId
    sequence: int
    lease_ms: int
    commit_index: LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseLease:
    """Answer a renewal without a lease; an earlier one stays in force."""

    daemon: DaemonId
    sequence: int
    reason: str
    commit_index: LogIndex
