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
        Time after a resignation during which the member uses a longer
        election timeout than the others, so that another one is elected.
        The timeout is still short enough that the proxies keep their leases.
    election_timeout_min_ms, election_timeout_max_ms : float
        Range of the random time without a leader before a pre-vote.
    heartbeat_ms : float
        Time between two rounds of appends.
    check_quorum_ms : float
        A leader steps down after this time without answers of a majority.
        It must be lower than the minimum election timeout, for which members
        that heard from the leader refuse their votes; the difference covers
        clock drift.
    batch_limit_bytes : int
        Maximum payload size of one append message.
    snapshot_resend_ms : float
        Time to wait for the answer to a snapshot before sending it again.
    retained_entries_count : int
        Entries before a snapshot that are kept in memory for members that
        lag slightly.
    """

    model_config = pydantic.ConfigDict(defer_build=True, frozen=True)

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
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProposalRefusal(enum.Enum):
    """Why a proposal was not appended and will never be committed."""

    NOT_LEADER = "not_leader"
    CHANGE_IN_PROGRESS = "change_in_progress"
    TERM_NOT_COMMITTED = "term_not_committed"
    NOT_CAUGHT_UP = "not_caught_up"
    INVALID_CHANGE = "invalid_change"


class ConsensusError(RuntimeError):
    """The log contradicts committed entries; the member must stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Current term, and the candidate this member voted for in it."""

    term: ControlTerm = ControlTerm(0)
    voted_for: DaemonId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StorageState:
    """Content of a member's data folder at startup."""

    vote: Vote = Vote()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Timer event, due at ``ConsensusNode.deadline_ms``."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another member has arrived."""

    sender: DaemonId
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Proposes an entry; the same step returns Accepted or Refused."""

    proposal: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeBatch:
    """Proposes several entries with one write and one round of appends."""

    proposals: tuple[Propose, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """All Persist actions up to ``sequence`` are durable."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot of the applied state at a committed ``index``.

    Entries up to that index can then be compacted.
    """

    index: LogIndex
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Asks a leader to step down in favour of another member."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmLeadership:
    """Asks a leader to confirm its leadership with a round of appends.

    It is confirmed once ``quorum_contact_ms`` reaches the time of the round.
    """


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
    """Send a message, which may be lost, duplicated or reordered."""

    recipient: DaemonId
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Write and sync the fields in their order, then report Persisted.

    Persist actions must be executed in the order of ``sequence``.
    ``truncate_after`` is the index of the last entry to keep.
    """

    sequence: int
    vote: Vote | None = None
    truncate_after: LogIndex | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Apply these entries.

    Indexes are consecutive and never repeated while the member runs; an
    InstallSnapshot skips the indexes that it covers.
    """

    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the applied state by that of the snapshot."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class BecomeLeader:
    """This member has become the leader of ``term``."""

    term: ControlTerm


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """This member no longer leads; open proposals have unknown outcomes."""

    term: ControlTerm


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The proposal was appended at ``index``.

    It is decided once that index is committed: if the committed entry is of
    another term, the proposal was discarded.
    """

    proposal: int
    index: LogIndex
    term: ControlTerm


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The proposal was not appended; ``leader`` is None if unknown."""

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
