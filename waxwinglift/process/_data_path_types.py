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
from waxwinglift.request._endpoint_load import EndpointLoad
from waxwinglift.request._quota import QuotaAnswer
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
from waxwinglift.version._types import WorkspaceName

# Coroutine function that receives bytes of an answer.
Sink = Callable[[bytes], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class ExecuteHeader:
    """Properties of a transaction that its owner needs.

    Parameters
    ----------
    endpoint, group, epoch, term
        Endpoint, its group, and the assignment epoch and the term that the
        entry proxy knows.
    pool, rank, caller
        Determine the position in the owner's queue.
    floor : Position or None
        Lowest position at which the transaction may read.
    max_age_ms : int
        Largest accepted age of the data; 0 if the caller set none.
    deadline_left_ms : int
        Time left in which the transaction must start.
    read_only : bool
        Whether the transaction was routed as a read.
    idempotency_key : str
        Empty if the caller set none.
    traceparent : str
        W3C trace context; empty without one.
    settings : mapping of str to str
        Session settings to apply, as SQL literals by name.
    applied_index : LogIndex
        Last index of the control log that the entry proxy has applied.
    floor_wait_limit_ms : int
        Longest time that a read waits for its floor; after that, another
        endpoint is the better choice.
    in_block : bool
        Whether the statements belong to a transaction block; only set by
        protocols that send `Statement` objects.
    to_standby : bool
        Whether the request goes to the standby owner, or to a proxy without
        an assignment, because the owner cannot be reached.
    statement_timeout_ms : int
        Time limit for each statement of a block after the first.
    workspace : WorkspaceName or None
        Workspace for which the transaction runs; None for a public pool.
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
    workspace: WorkspaceName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Messages of a caller up to and including Query or Sync.

    ``prepared`` lists the prepared statements that the messages use without
    a Parse message.  Protocols that send `Statement` objects instead of
    PostgreSQL messages set ``statement``, and set ``settings`` if session
    settings have changed inside a block.
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
        Status after the exchange; undefined after a failure.
    position : Position or None
        Position at which the exchange wrote or read.
    failure : Failure or None
        Set if there is no complete answer.
    failed_position : Position or None
        Position of the endpoint, if it refused the exchange because it is
        behind the floor, or because a change of primary discarded writes up
        to the floor.
    is_stale_owner : bool
        The proxy that received the exchange cannot serve it as the owner;
        the fleet view of the entry proxy may be outdated.
    needs_primary : bool
        A replica refused the exchange because it writes; no part of the
        answer was sent to the caller.
    has_error : bool
        The endpoint answered with an error, which was sent to the caller.
    queue_wait_ms, replication_wait_ms : float
        Time that the transaction waited for a slot, and time that it waited
        for its floor or for a quorum to reach its position.
    served_by_replica : bool
    answer : StatementAnswer or None
        Answer to a `Statement`; answers to messages are written to the sink.
    is_owner_unreachable : bool
        The owner could not be reached; the endpoint itself may be healthy.
    loads : tuple of EndpointLoad
        Loads of the group's endpoints that the answer contains.
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
    loads: tuple[EndpointLoad, ...] = ()


class TransactionStream(Protocol):
    """One transaction at an owner."""

    async def run(self, exchange: Exchange, sink: Sink) -> ExchangeEnd:
        """Run an exchange and write the result bytes to ``sink``."""

    def cancel(self):
        """Cancel the running exchange; ``run`` returns soon afterwards."""

    async def close(self):
        """End the transaction; an open block is rolled back."""


class Executor(Protocol):
    """Runs transactions in this process or at another proxy.

    ``is_unresponsive`` is true while the other proxy does not answer.
    """

    is_unresponsive: bool

    def open(self, header: ExecuteHeader) -> TransactionStream:
        """Return the stream of a new transaction."""

    async def group_position(
        self, group: GroupName, term: Term
    ) -> Result[Position, Failure]:
        """Return a position that includes every acknowledged write."""

    async def take_quota(
        self, workspace: WorkspaceName
    ) -> Result[QuotaAnswer, Failure]:
        """Ask this proxy, as a workspace's home, to start one operation."""


class RunningStatement(Protocol):
    """Running exchange of a session of this proxy."""

    def cancel(self):
        """Cancel the exchange; has no effect once it has ended."""


class Executors(Protocol):
    """Finds the executor of each proxy."""

    def executor_for(self, daemon: DaemonId) -> Executor | None:
        """Return the executor of a proxy, or None if it is unknown."""

    def temporary_owners(self, endpoint: EndpointId) -> tuple[DaemonId, ...]:
        """Return the proxies that may serve without an assignment."""

    async def cancel(self, daemon: DaemonId, key: CancelKey):
        """Cancel the running statement of a session at another proxy."""


class Metrics(Protocol):
    """Counters and timings; a statsd client has these methods."""

    def incr(self, name: str, count: int = 1):
        """Add to a counter."""

    def timing(self, name: str, value_ms: float):
        """Record a duration."""


class NoMetrics:
    """Discards all metrics."""

    def incr(self, name, count=1):
        """Do nothing."""

    def timing(self, name, value_ms):
        """Do nothing."""
