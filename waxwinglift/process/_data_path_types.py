"""Messages between the entry side and the owner side of the data path."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Protocol

from result import Result

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.connection._session_types import PreparedStatement
from waxwinglift.process._types import DaemonId
from waxwinglift.request import Failure
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.version import EndpointId
from waxwinglift.version import Epoch
from waxwinglift.version import GroupName
from waxwinglift.version import LogIndex
from waxwinglift.version import PoolName
from waxwinglift.version import Position
from waxwinglift.version import Rank
from waxwinglift.version import Term

Sink = Callable[[bytes], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class ExecuteHeader:
    """What the owner needs to know of a transaction.

    Parameters
    ----------
    endpoint, group, epoch, term
        Endpoint, and the assignment and term that the entry proxy knows.
    pool, rank, caller
        Place in the owner's queue.
    floor : Position or None
        Least position to read at.
    max_age_ms : int
        Accepted age of the data; 0 when none was stated.
    deadline_left_ms : int
        Time left until the transaction must have started.
    read_only : bool
        Whether the transaction was routed as a read.
    idempotency_key : str
        Empty when the caller set none.
    traceparent : str
        W3C trace context; empty without one.
    settings : mapping of str to str
        Settings to have in force, name to SQL literal.
    applied_index : LogIndex
        Control log index that the entry proxy has applied.
    floor_wait_limit_ms : int
        Longest wait of a read for its floor; another route is better then.
    in_block : bool
        Whether the statements belong to a transaction block; only where
        statements are typed.
    to_standby : bool
        Whether the standby owner is asked because the owner cannot be
        reached.
    statement_timeout_ms : int
        Longest time for each statement of a block after the first.
    """

    endpoint: EndpointId
    group: GroupName
    epoch: Epoch
    term: Term
    pool: PoolName
    rank: Rank
    caller: str
    floor: Position | None = None
    max_age_ms: int = 0
    deadline_left_ms: int = 0
    read_only: bool = False
    idempotency_key: str = ""
    traceparent: str = ""
    settings: Mapping[str, str] = dataclasses.field(default_factory=dict)
    applied_index: LogIndex = LogIndex(0)
    floor_wait_limit_ms: int = 0
    in_block: bool = False
    to_standby: bool = False
    statement_timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Messages of a caller up to and including Query or Sync.

    ``prepared`` holds the statements that the messages refer to without
    parsing them.  ``statement`` stands instead of messages where the
    protocol has typed statements, with the session's values where these
    have changed inside a block.
    """

    messages: bytes
    prepared: tuple[PreparedStatement, ...] = ()
    statement: Statement | None = None
    settings: Mapping[str, str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeEnd:
    """Outcome of one exchange.

    Parameters
    ----------
    status : TransactionStatus
        Status after the exchange; meaningless with a failure.
    position : Position or None
        Position that the exchange wrote or read at.
    failure : Failure or None
        Set when there is no complete answer.
    failed_position : Position or None
        Position of an endpoint that refused the exchange.
    is_stale_owner : bool
        The receiver is not the owner for the header's epoch or term.
    needs_primary : bool
        A replica refused the exchange as a write; nothing was passed on.
    has_error : bool
        The endpoint answered with an error, which was passed on.
    queue_wait_ms, replication_wait_ms : float
        Time that the transaction waited for a slot, and that it waited for
        its floor or its answer for a quorum.
    served_by_replica : bool
    answer : StatementAnswer or None
        Answer to a typed statement; others go to the sink.
    is_owner_unreachable : bool
        The owner could not be reached, which says nothing of the endpoint.
    """

    status: TransactionStatus = TransactionStatus.IDLE
    position: Position | None = None
    failure: Failure | None = None
    failed_position: Position | None = None
    is_stale_owner: bool = False
    needs_primary: bool = False
    has_error: bool = False
    queue_wait_ms: float = 0.0
    replication_wait_ms: float = 0.0
    served_by_replica: bool = False
    answer: StatementAnswer | None = None
    is_owner_unreachable: bool = False


class TransactionStream(Protocol):
    """One transaction at an owner."""

    async def run(self, exchange: Exchange, sink: Sink) -> ExchangeEnd:
        """Run an exchange, passing result bytes to ``sink``."""

    def cancel(self):
        """Give up the exchange that runs; ``run`` returns soon after."""

    async def close(self):
        """End the transaction; an open block is rolled back."""


class Executor(Protocol):
    """Owner of endpoints, in this process or behind a peer connection.

    ``is_unresponsive`` tells that the other process does not answer just now.
    """

    is_unresponsive: bool

    def open(self, header: ExecuteHeader) -> TransactionStream:
        """Return the stream of a new transaction."""

    async def group_position(
        self, group: GroupName, term: Term
    ) -> Result[Position, Failure]:
        """Return a position that holds every acknowledged write."""


class RunningStatement(Protocol):
    """One exchange of a session of this proxy, while it runs."""

    def cancel(self):
        """Give it up; nothing happens once it has ended."""


class Executors(Protocol):
    """Finds the executor of each proxy."""

    def executor_for(self, daemon: DaemonId) -> Executor | None:
        """Return the executor, None for an unknown proxy."""

    async def cancel(self, daemon: DaemonId, key: CancelKey):
        """Have another proxy cancel what a session of it runs."""


class Metrics(Protocol):
    """Counters and timings; a statsd client has this shape."""

    def incr(self, name: str, count: int = 1):
        """Add to a counter."""

    def timing(self, name: str, value_ms: float):
        """Record a duration."""


class NoMetrics:
    """Metrics that are dropped."""

    def incr(self, name, count=1):
        """Do nothing."""

    def timing(self, name, value_ms):
        """Do nothing."""
