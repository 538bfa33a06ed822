"""One statement of the load tool and the record of its outcome."""

import dataclasses
import enum

from waxwinglift.version import Rank


class StatementKind(enum.Enum):
    """What a statement of the load does."""

    WRITE = "write"
    READ = "read"


class Outcome(enum.Enum):
    """Final outcome of a statement, after the caller's retries."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    STALE_READ = "stale_read"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """A payment to insert or to read back."""

    payment_id: int
    rank: Rank
    kind: StatementKind


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What one caller saw of one statement."""

    statement: Statement
    outcome: Outcome
    started_ms: float
    latency_ms: float
    attempts_count: int
