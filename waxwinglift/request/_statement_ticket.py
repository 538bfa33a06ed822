"""Tickets and samples of the slot time of statements at their owner."""

from collections.abc import Callable
from collections.abc import Sequence

from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.request._admission_types import Ticket
from waxwinglift.request._admission_types import WorkKind
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementVerb
from waxwinglift.request._types import RequestId
from waxwinglift.request._types import Verdict
from waxwinglift.version import PoolName

# Pool name shared by all pools of a group, so that their ranks are compared.
_GROUP_QUEUE_POOL = PoolName("")
_ENDING_VERBS = frozenset({StatementVerb.COMMIT, StatementVerb.ROLLBACK})


def work_kind(pool: PoolName, statement: Statement) -> WorkKind:
    """Return the kind of work of a statement: its pool and access."""
    if statement.verb in _ENDING_VERBS:
        return WorkKind(f"{pool} end")
    return WorkKind(f"{pool} write" if statement.is_write else f"{pool} read")


def make_ticket(
    header: ExecuteHeader, request: RequestId, now_ms: float, **fields
) -> Ticket:
    """Return the ticket of a statement or block of a transaction."""
    return Ticket(
        request=request,
        pool=_GROUP_QUEUE_POOL,
        rank=header.rank,
        caller=header.caller,
        arrival_ms=now_ms,
        **fields,
    )


class WorkSample:
    """Time that an endpoint takes for the work of one statement.

    Refusals of the endpoint are no work; a statement without an answer in
    time is.

    Parameters
    ----------
    awake_ms : callable
        Clock that stands still while the process is late, so that its own
        delays do not count.
    """

    def __init__(self, awake_ms: Callable[[], float]):
        self._awake_ms = awake_ms
        self._started_ms = 0.0
        self._has_worked = False

    def start(self):
        """Record that nothing but the endpoint is waited for from now on."""
        self._started_ms = self._awake_ms()
        self._has_worked = False

    def record_replies(self, replies: Sequence[Reply]):
        """Record the replies to a statement of the caller."""
        errors = [reply.answer.error for reply in replies]
        self._has_worked = all(
            error is None or error.verdict is not Verdict.NOT_RUN
            for error in errors
        )

    def record_timeout(self):
        """Record that a statement of the caller was not answered in time."""
        self._has_worked = True

    def elapsed_ms(self) -> float | None:
        """Return the time since `start`; None without work."""
        if not self._has_worked:
            return None
        return self._awake_ms() - self._started_ms
