"""Statements of the load generator and records of their outcomes."""

import dataclasses
import enum

from waxwinglift.version import Rank


class StatementKind(enum.Enum):
    """Whether a statement inserts a payment or reads one."""

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
    """Outcome and timing of one statement at its caller."""

    statement: Statement
    outcome: Outcome
    started_ms: float
    latency_ms: float
    attempts_count: int
