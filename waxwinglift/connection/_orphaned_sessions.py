"""Sessions at an endpoint that a proxy has lost: orphans and silent ones.

The proxies' account at an endpoint is theirs alone.  A session of this
account that the owner has not opened itself is an orphan of a former owner,
whatever ``application_name`` a caller has set on it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set
import dataclasses

from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.version import Epoch

MONITOR_NAME = "waxwinglift monitor"
CONTROL_NAME = "waxwinglift control"
_RESERVED_NAMES = frozenset({MONITOR_NAME, CONTROL_NAME})
# Walsenders and parallel workers have other types.
SESSIONS_SQL = (
    "SELECT pid, application_name, state, backend_start "
    "FROM pg_stat_activity WHERE usename = current_user "
    "AND datname = current_database() AND backend_type = 'client backend'"
)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSession:
    """A row of ``pg_stat_activity``, as texts."""

    process_id: str
    name: str | None
    state: str | None
    started: str

    @property
    def is_in_block(self) -> bool:
        """Whether an open transaction block waits for its next statement."""
        return (self.state or "").startswith("idle in transaction")


def serving_name(epoch: Epoch) -> str:
    """Return the application name of an owner's serving connections."""
    return f"waxwinglift owner {epoch}"


def find_orphans(
    sessions: Iterable[EndpointSession],
    process_ids: Set[int],
    names: Set[str],
) -> list[EndpointSession]:
    """Return the sessions that a former owner has left.

    Parameters
    ----------
    sessions : iterable of EndpointSession
        Those of the proxies' account.
    process_ids : set of int
        Sessions of the owner, read after ``sessions``.
    names : set of str
        Names under which the owner opens connections.  Until it knows a new
        one's process id, no caller has set another name on it.
    """
    trusted = _RESERVED_NAMES | names
    return [
        session
        for session in sessions
        if int(session.process_id) not in process_ids
        # A caller may have set a trusted name, but what these names stand
        # for never has an open block.
        and (session.name not in trusted or session.is_in_block)
    ]


def end_sessions_sql(sessions: Iterable[EndpointSession]) -> str:
    """Return the statement that ends sessions.

    The start of a session tells it from a later one with its process id.
    """
    conditions = " OR ".join(
        f"(pid = {one.process_id} AND backend_start = '{one.started}')"
        for one in sessions
    )
    return (
        "SELECT pg_terminate_backend(pid) FROM pg_stat_activity "
        f"WHERE {conditions}"
    )


def session_state_sql(process_id):
    """Return the query for the state of a session at the endpoint."""
    return f"SELECT state FROM pg_stat_activity WHERE pid = {process_id}"


def is_idle(step):
    """Return whether the answer says that the session runs nothing."""
    if step.error is not None:
        return False
    if not step.rows:
        return True
    state = step.rows[0][0]
    return state is not None and state.startswith("idle")


class OrphanTerminator:
    """Ends the connections of a former owner whose lease has run out.

    A proxy that froze in the middle of a transaction keeps its locks for as
    long as its connections stay open.

    Parameters
    ----------
    monitor : EndpointMonitor
        Its connection carries the statements.
    process_ids : callable
        Returns the process ids of the owner's serving connections.
    """

    def __init__(self, monitor, process_ids: Callable[[], Set[int]]):
        self._monitor = monitor
        self._process_ids = process_ids
        self._names: set[str] = set()
        self._done_epoch = None
        self._task = None

    def application_name_for(self, epoch: Epoch) -> str:
        """Return the name of a serving connection that is opened now."""
        name = serving_name(epoch)
        self._names.add(name)
        return name

    def terminate_if_due(self, assignment):
        """Look for orphans once for each epoch without a live former owner.

        Parameters
        ----------
        assignment : OwnerAssignment
            Names this proxy as the owner.
        """
        is_done = self._done_epoch == assignment.epoch
        if is_done or assignment.previous is not None:
            return
        self._done_epoch = assignment.epoch
        self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        try:
            await self._end_orphans()
        except EndpointConnectionLost:
            # Due again at the next tick of the owner.
            self._done_epoch = None

    async def _end_orphans(self):
        (step,) = await self._monitor.query(SESSIONS_SQL)
        sessions = [EndpointSession(*row) for row in step.rows]
        orphans = find_orphans(sessions, self._process_ids(), self._names)
        if orphans:
            await self._monitor.query(end_sessions_sql(orphans))
