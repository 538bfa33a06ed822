"""Finds and terminates orphaned sessions of the proxies at an endpoint.

It also provides the statement that reads the state of a single session.

Only proxies use the proxies' account at an endpoint.  A session of this
account that the owner did not open itself is an orphan of a former owner,
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
# Walsenders and parallel workers have other backend types.
SESSIONS_SQL = (
    "SELECT pid, application_name, state, backend_start "
    "FROM pg_stat_activity WHERE usename = current_user "
    "AND datname = current_database() AND backend_type = 'client backend'"
)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSession:
    """A row of ``pg_stat_activity``, with all columns as text."""

    process_id: str
    name: str | None
    state: str | None
    started: str

    @property
    def is_in_block(self) -> bool:
        """Whether the session is idle in an open transaction block."""
        return (self.state or "").startswith("idle in transaction")


def serving_application_name(epoch: Epoch) -> str:
    """Return the application name of an owner's serving connections."""
    return f"waxwinglift owner {epoch}"


def find_orphans(
    sessions: Iterable[EndpointSession],
    process_ids: Set[int],
    names: Set[str],
) -> list[EndpointSession]:
    """Return the sessions that a former owner has left behind.

    Parameters
    ----------
    sessions : iterable of EndpointSession
        Sessions of the proxies' account.
    process_ids : set of int
        Process ids of the owner's sessions, read after ``sessions``.
    names : set of str
        Application names with which the owner opens connections.  They
        identify a new connection until the owner knows its process id,
        because no caller can have set another name on it before that.
    """
    trusted = _RESERVED_NAMES | names
    return [
        session
        for session in sessions
        if int(session.process_id) not in process_ids
        # A caller may have set a trusted name itself, but the sessions that
        # these names are meant for never have an open block.
        and (session.name not in trusted or session.is_in_block)
    ]


def terminate_sessions_sql(sessions: Iterable[EndpointSession]) -> str:
    """Return the statement that terminates sessions.

    The start time distinguishes a session from a later one that has the same
    process id.
    """
    conditions = " OR ".join(
        f"(pid = {session.process_id} AND backend_start = '{session.started}')"
        for session in sessions
    )
    return (
        "SELECT pg_terminate_backend(pid) FROM pg_stat_activity "
        f"WHERE {conditions}"
    )


def session_state_sql(process_id):
    """Return the query that reads the state of a session."""
    return f"SELECT state FROM pg_stat_activity WHERE pid = {process_id}"


def is_idle(step):
    """Return whether the session's state shows that it runs no statement.

    ``step`` holds the answer to ``session_state_sql``.  A session that no
    longer exists is idle; after an error the state is unknown.
    """
    if step.error is not None:
        return False
    if not step.rows:
        return True
    state = step.rows[0][0]
    return state is not None and state.startswith("idle")


class OrphanTerminator:
    """Terminates the sessions of a former owner whose lease has expired.

    The sessions of a proxy that was suspended in the middle of a transaction
    hold their locks for as long as its connections stay open.

    Parameters
    ----------
    monitor : EndpointMonitor
        Runs the statements on its connection.
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
        """Return the application name for a new serving connection."""
        name = serving_application_name(epoch)
        self._names.add(name)
        return name

    def terminate_if_due(self, assignment):
        """Terminate orphans once for each epoch.

        This happens as soon as no former owner has a live lease, so that
        ``assignment.previous`` is None.

        Parameters
        ----------
        assignment : OwnerAssignment
            Current assignment of the endpoint, to this proxy.
        """
        is_done = self._done_epoch == assignment.epoch
        if is_done or assignment.previous is not None:
            return
        self._done_epoch = assignment.epoch
        self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        try:
            await self._terminate_orphans()
        except EndpointConnectionLost:
            # Retry at the next tick of the owner.
            self._done_epoch = None

    async def _terminate_orphans(self):
        (step,) = await self._monitor.query(SESSIONS_SQL)
        sessions = [EndpointSession(*row) for row in step.rows]
        orphans = find_orphans(sessions, self._process_ids(), self._names)
        if orphans:
            await self._monitor.query(terminate_sessions_sql(orphans))
