"""Events and actions of the control core."""

import dataclasses

from waxwinglift.process import DaemonId
from waxwinglift.version._announcements import Announcement
from waxwinglift.version._entries import Entry
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._renewals import Renewal
from waxwinglift.version._types import LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class BecameLeader:
    """This member won an election of the control log."""


@dataclasses.dataclass(frozen=True, slots=True)
class SteppedDown:
    """This member no longer leads the control log."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCommitted:
    """The next entry of the control log was committed; for followers too."""

    index: LogIndex
    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class StateInstalled:
    """The fleet state was replaced by a snapshot."""

    fleet: FleetState


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalReceived:
    """A renewal was received.

    ``has_quorum`` is ``ConsensusNode.is_leader_with_quorum`` at that time.
    """

    renewal: Renewal
    has_quorum: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """An endpoint announced itself."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ControlTick:
    """Timer event, every ``tick_interval_ms``."""

    has_quorum: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUpLeadership:
    """Give up leadership so that a member that reaches the servers leads."""


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLease:
    """Answer to a renewal that grants a lease."""

    daemon: DaemonId
    sequence: int
    lease_ms: int
    commit_index: LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseLease:
    """Answer to a renewal that refuses a lease.

    An earlier lease stays in force until it expires.
    """

    daemon: DaemonId
    sequence: int
    reason: str
    commit_index: LogIndex
