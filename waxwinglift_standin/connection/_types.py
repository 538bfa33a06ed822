"""Types of a connection: session state, statement results and errors."""

import dataclasses
import enum
import time
from typing import Any

from waxwinglift.connection import SessionId
from waxwinglift.connection import TransactionStatus


class PgType(enum.Enum):
    """Types of parameters and result columns; the value is the oid."""

    BOOL = 16
    BYTEA = 17
    INT8 = 20
    INT2 = 21
    INT4 = 23
    TEXT = 25
    JSON = 114
    FLOAT4 = 700
    FLOAT8 = 701
    UNKNOWN = 705
    BPCHAR = 1042
    VARCHAR = 1043
    TIMESTAMP = 1114
    TIMESTAMPTZ = 1184
    NUMERIC = 1700
    VOID = 2278
    UUID = 2950
    PG_LSN = 3220
    JSONB = 3802


TYPE_SIZES_BYTES = {
    PgType.BOOL: 1,
    PgType.INT8: 8,
    PgType.INT2: 2,
    PgType.INT4: 4,
    PgType.FLOAT4: 4,
    PgType.FLOAT8: 8,
    PgType.TIMESTAMP: 8,
    PgType.TIMESTAMPTZ: 8,
    PgType.UUID: 16,
    PgType.PG_LSN: 8,
}


class SqlState(enum.Enum):
    """Error codes that the server reports."""

    NOT_SUPPORTED = "0A000"
    PROTOCOL_VIOLATION = "08P01"
    INVALID_VALUE = "22023"
    INVALID_TEXT = "22P02"
    NOT_NULL = "23502"
    FOREIGN_KEY = "23503"
    UNIQUE = "23505"
    CHECK = "23514"
    ACTIVE_TRANSACTION = "25001"
    READ_ONLY = "25006"
    FAILED_TRANSACTION = "25P02"
    UNKNOWN_STATEMENT = "26000"
    UNKNOWN_PORTAL = "34000"
    UNKNOWN_SAVEPOINT = "3B001"
    SYNTAX = "42601"
    UNKNOWN_COLUMN = "42703"
    UNKNOWN_PARAMETER = "42704"
    UNKNOWN_FUNCTION = "42883"
    UNKNOWN_TABLE = "42P01"
    DUPLICATE_STATEMENT = "42P05"
    DUPLICATE_TABLE = "42P07"
    TOO_MANY_CONNECTIONS = "53300"
    WRONG_STATE = "55000"
    CANCELLED = "57014"
    SHUTTING_DOWN = "57P01"
    INTERNAL = "XX000"


class SqlError(Exception):
    """Error that is reported to the caller.

    Parameters
    ----------
    state : SqlState
        SQLSTATE of the error.
    message : str
        Message for the caller.
    """

    def __init__(self, state, message):
        super().__init__(message)
        self.state = state
        self.message = message


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """Name and type of a result column."""

    name: str
    type: PgType


@dataclasses.dataclass(frozen=True, slots=True)
class StatementResult:
    """Result of one statement; `columns` is None if it returns no rows."""

    tag: str
    columns: tuple[Column, ...] | None = None
    rows: list[tuple] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """Parameter types and result columns of a statement."""

    parameters: tuple[PgType, ...]
    columns: tuple[Column, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedStatement:
    """Prepared statement; `statement` is None for an empty query."""

    statement: Any
    description: Description


@dataclasses.dataclass(slots=True)
class Portal:
    """Bound statement and its result; `sent_count` rows have been sent."""

    prepared: PreparedStatement
    parameters: list
    result_formats: list[int]
    result: StatementResult | None = None
    sent_count: int = 0


@dataclasses.dataclass(slots=True)
class Transaction:
    """Open transaction of a session.

    `statements` lists the writes to log at commit; `savepoints` lists pairs
    of a name and the number of writes before it; `values_before_set_local`
    and `values_before_set` contain the earlier values of changed parameters.
    """

    started_us: int
    is_explicit: bool
    is_read_only: bool = False
    has_write_lock: bool = False
    statements: list = dataclasses.field(default_factory=list)
    savepoints: list = dataclasses.field(default_factory=list)
    values_before_set_local: dict = dataclasses.field(default_factory=dict)
    values_before_set: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class SessionData:
    """State of a caller's session that statements read and change."""

    id: SessionId
    parameters: dict[str, str]
    start_parameters: dict[str, str]
    transaction: Transaction | None = None
    has_failed: bool = False
    prepared: dict[str, PreparedStatement] = dataclasses.field(
        default_factory=dict
    )
    portals: dict[str, Portal] = dataclasses.field(default_factory=dict)
    changed_parameters: list[str] = dataclasses.field(default_factory=list)
    after_response: list = dataclasses.field(default_factory=list)
    started_us: int = dataclasses.field(
        default_factory=lambda: time.time_ns() // 1000
    )

    @property
    def user(self):
        """User name from the start-up message."""
        return self.start_parameters.get("user", "")

    @property
    def status(self):
        """Transaction status as ReadyForQuery reports it."""
        if self.transaction is None or not self.transaction.is_explicit:
            return TransactionStatus.IDLE
        if self.has_failed:
            return TransactionStatus.FAILED
        return TransactionStatus.IN_TRANSACTION
