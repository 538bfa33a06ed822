"""Settings, events, actions and durable state of a consensus node."""

import dataclasses
import enum

import pydantic

from waxwinglift.process import DaemonId
from waxwinglift.version._consensus_messages import ControlTerm
from waxwinglift.version._consensus_messages import LogEntry
from waxwinglift.version._consensus_messages import Message
from waxwinglift.version._consensus_messages import Snapshot
from waxwinglift.version._types import LogIndex


class ConsensusSettings(pydantic.BaseModel):
    """Timing and batch limits of one member.

    Parameters
    ----------
    member : DaemonId
    resign_ms : float
        Time for which a member that has resigned stands after the others,
        but still before the leases of the proxies end.
    election_timeout_min_ms, election_timeout_max_ms : float
        Range of the random time without a leader before a pre-vote.
    heartbeat_ms : float
    check_quorum_ms : float
        A leader steps down after this time without a majority.  It must stay
        below the minimum election timeout, in which members that heard from
        the leader refuse their votes; the gap covers clock drift.
    batch_limit_bytes : int
        Payload bytes of one append message.
    snapshot_resend_ms : float
        Time to wait for the answer to a snapshot before it is sent again.
    retained_entries_count : int
        Entries kept in memory behind a snapshot, for members that lag a
        little.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    member: DaemonId
    election_timeout_min_ms: float = 300.0
    election_timeout_max_ms: float = 600.0
    resign_ms: float = 30_000.0
    heartbeat_ms: float = pydantic.Field(default=75.0, gt=0)
    check_quorum_ms: float = 250.0
    batch_limit_bytes: int = pydantic.Field(default=262_144, gt=0)
    snapshot_resend_ms: float = pydantic.Field(default=2_000.0, gt=0)
    retained_entries_count: int = pydantic.Field(default=200, ge=0)

    @pydantic.model_validator(mode="after")
    def _check_order(self):
        times = (
            self.heartbeat_ms,
            self.check_quorum_ms,
            self.election_timeout_min_ms,
            self.election_timeout_max_ms,
        )
        if any(a >= b for a, b in zip(times, times[1:])):
            raise ValueError(
                "heartbeat_ms < check_quorum_ms < election_timeout_min_ms"
                " < election_timeout_max_ms must hold"
            )
        return self


class NodeRole(enum.Enum):
    """Part that a member plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProposalRefusal(enum.Enum):
    """Why a proposal was not appended; it will never be committed."""

    NOT_LEADER = "not_leader"
    CHANGE_IN_PROGRESS = "change_in_progress"
    TERM_NOT_COMMITTED = "term_not_committed"
    NOT_CAUGHT_UP = "not_caught_up"
    INVALID_CHANGE = "invalid_change"


class ConsensusError(RuntimeError):
    """The log contradicts committed entries; the member must stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Current term and the candidate that got this member's vote in it."""

    term: ControlTerm = ControlTerm(0)
    voted_for: DaemonId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StorageState:
    """What a member finds in its data folder when it starts."""

    vote: Vote = Vote()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due at ``ConsensusNode.deadline_ms``."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of another member arrived."""

    sender: DaemonId
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Asks for an entry; answered by Accepted or Refused in the same step."""

    proposal: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeBatch:
    """Asks for several entries with one write and one round of appends."""

    proposals: tuple[Propose, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """All Persist actions up to ``sequence`` are on disk and synced."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The applied state at ``index``, a committed index, for compaction."""

    index: LogIndex
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Asks a leader to let another member lead."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmLeadership:
    """Sends a round now; ``quorum_contact_ms`` passes it when confirmed."""


Event = (
    Tick
    | MessageReceived
    | Propose
    | ProposeBatch
    | Persisted
    | SnapshotTaken
    | Resign
    | ConfirmLeadership
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Deliver a message; it may be lost, repeated or reordered."""

    recipient: DaemonId
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Write and sync in the order of the fields, then send Persisted.

    Persist actions must be executed in the order of ``sequence``.
    ``truncate_after`` is the last entry to keep.
    """

    sequence: int
    vote: Vote | None = None
    truncate_after: LogIndex | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Apply these entries; each index is committed exactly once."""

    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the applied state by the one of the snapshot."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class BecomeLeader:
    """This member leads ``term``."""

    term: ControlTerm


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """This member no longer leads; outcomes of open proposals are unknown."""

    term: ControlTerm


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The proposal is at ``index``; decided once that index is committed.

    An entry of another term committed at that index means that the proposal
    is lost.
    """

    proposal: int
    index: LogIndex
    term: ControlTerm


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The proposal was not appended; ``leader`` is a hint or None."""

    proposal: int
    reason: ProposalRefusal
    leader: DaemonId | None


Action = (
    Send
    | Persist
    | Commit
    | InstallSnapshot
    | BecomeLeader
    | StepDown
    | Accepted
    | Refused
)
