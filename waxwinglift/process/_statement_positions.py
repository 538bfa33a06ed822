"""Floors for reads of typed statements."""

import asyncio
from collections.abc import Callable

from result import Err
from result import Ok
from result import Result

from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._position_history import PositionHistory
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import CommandKind
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import GroupPhase
from waxwinglift.version import Position
from waxwinglift.version import Term

# Longest wait for a connection to the primary, and for its answer.
_QUERY_TIMEOUT_MS = 400.0
# Fraction of the accepted age after which the primary is queried again.  With
# regular reads, one known position is then always nearly as old as accepted;
# more replicas have reached it than a newer one.
_REFRESH_FRACTION = 0.2
# Part of an accepted age that is reserved for the transmission of the answer.
_MARGIN_MS = 50.0

# Only the leader accepts BEGIN; replicas accept BEGIN_READ.  A transaction
# without statements occupies no slot of the endpoint.
_LEADER_CHECK = (Command(CommandKind.BEGIN), Command(CommandKind.ROLLBACK))


class PrimaryPositions:
    """Position of a primary, reported while it is the leader.

    The leader is the server that accepts writes; the primary is the server
    that the fleet state names, and it may no longer be the leader.  A server
    accepts BEGIN only while it is the leader, so that the position in its
    answer covers every commit acknowledged before the query.

    Parameters
    ----------
    acquire_connection : callable
        Returns an async context manager that yields a TrackedConnection, or
        None on timeout.
    on_demotion : callable
        Called when the endpoint reports that it is not the leader.
    """

    def __init__(self, acquire_connection, on_demotion: Callable[[], None]):
        self._acquire_connection = acquire_connection
        self._on_demotion = on_demotion
        self._query_task: asyncio.Task | None = None
        self._next_query_task: asyncio.Task | None = None

    async def query(self) -> Result[Position, Failure]:
        """Return a position that the primary reports after this call.

        Calls made while a query is in flight share the next query.
        """
        if self._query_task is None or self._query_task.done():
            self._query_task = asyncio.ensure_future(self._query())
            return await asyncio.shield(self._query_task)
        if self._next_query_task is None or self._next_query_task.done():
            self._next_query_task = asyncio.ensure_future(
                self._query_after(self._query_task)
            )
        return await asyncio.shield(self._next_query_task)

    async def _query_after(self, earlier):
        await asyncio.wait({earlier})
        self._query_task = asyncio.current_task()
        return await self._query()

    async def _query(self):
        async with self._acquire_connection(_QUERY_TIMEOUT_MS) as connection:
            if connection is None:
                return _unavailable("no connection to the primary")
            try:
                async with asyncio.timeout(_QUERY_TIMEOUT_MS / 1000):
                    reply, _ = await connection.run(_LEADER_CHECK)
            except (TimeoutError, EndpointConnectionLost) as error:
                connection.close()
                return _unavailable(f"the primary did not answer: {error!r}")
        if reply.answer.error is not None or reply.position is None:
            self._on_demotion()
            return _unavailable("the endpoint is not the leader")
        return Ok(reply.position)


class GroupFloors:
    """Positions of a group that cover all commits up to a known time.

    Parameters
    ----------
    group : GroupName
    view : FleetView
    find_executor : callable
        Returns the executor of a daemon, or None.
    now_ms : callable
    """

    def __init__(
        self,
        group: GroupName,
        view: FleetView,
        find_executor,
        now_ms: Callable[[], float],
    ):
        self._group = group
        self._view = view
        self._find_executor = find_executor
        self._now_ms = now_ms
        self._history = PositionHistory()
        self._term: Term | None = None
        self._query_task: asyncio.Task | None = None

    @property
    def last_sample(self) -> tuple[float, Position] | None:
        """Last known position of the primary, after the time of its query."""
        return self._history.last

    async def find(self, max_age_ms: float) -> Result[Position, Failure]:
        """Return a position that was queried at most ``max_age_ms`` ago."""
        limit_ms = max(0.0, max_age_ms - _MARGIN_MS)
        if limit_ms <= 0:
            return await self._query()
        self._on_term_change()
        now_ms = self._now_ms()
        known = self._history.find(now_ms, limit_ms)
        if (
            now_ms - self._history.last_requested_ms
            > _REFRESH_FRACTION * limit_ms
        ):
            self._refresh()
        if known is not None:
            return Ok(known)
        return await asyncio.shield(self._refresh())

    def _on_term_change(self):
        """Discard the positions of a primary after its successor is active.

        Until then, replicas may still serve reads at these positions.
        """
        group = self._view.group(self._group)
        if group is None or group.phase is not GroupPhase.ACTIVE:
            return
        if group.term != self._term:
            self._term = group.term
            self._history.clear()

    def _refresh(self):
        if self._query_task is None or self._query_task.done():
            self._query_task = asyncio.ensure_future(self._query())
        return self._query_task

    async def _query(self):
        requested_ms = self._now_ms()
        term = self._term
        outcome = await self._query_owners()
        if isinstance(outcome, Ok) and term == self._term:
            self._history.record(requested_ms, outcome.ok_value)
        return outcome

    async def _query_owners(self):
        group = self._view.group(self._group)
        if group is None or group.primary is None:
            return _unavailable("the group has no primary")
        assignment = self._view.assignment(group.primary)
        if assignment is None:
            return _unavailable("the primary has no owner")
        outcome = _unavailable("the primary's owner is not known")
        for daemon in (assignment.owner, assignment.standby):
            executor = None if daemon is None else self._find_executor(daemon)
            if executor is None or executor.is_unresponsive:
                continue
            outcome = await executor.group_position(self._group, group.term)
            if isinstance(outcome, Ok):
                return outcome
        return outcome


class StatementPositions:
    """Positions of one endpoint, for its owner.

    Parameters
    ----------
    endpoint : EndpointId
    view : FleetView
    primary : PrimaryPositions
    floors : GroupFloors
    """

    # Time for which answers have waited for a quorum without progress.  It is
    # always 0, because these servers acknowledge commits themselves.
    stalled_ms = 0.0

    def __init__(
        self,
        endpoint: EndpointId,
        view: FleetView,
        primary: PrimaryPositions,
        floors: GroupFloors,
    ):
        self.floors = floors
        self._endpoint = endpoint
        self._view = view
        self._primary = primary

    @property
    def is_primary(self) -> bool:
        """Whether the endpoint is its group's active primary.

        A server that is chosen but not yet promoted is not the primary.
        """
        record = self._view.endpoint(self._endpoint)
        group = None if record is None else self._view.group(record.group)
        if group is None or group.phase is not GroupPhase.ACTIVE:
            return False
        return group.primary == self._endpoint

    def start(self):
        """Do nothing: positions are queried when they are needed."""

    def stop(self):
        """Do nothing."""

    def tick(self):
        """Do nothing."""

    def on_fleet_change(self):
        """Do nothing: the fleet state is read at each query."""

    async def group_position(self, term: Term) -> Result[Position, Failure]:
        """Return a position that includes every acknowledged write."""
        if not self.is_primary:
            return _unavailable("the endpoint is not the primary")
        return await self._primary.query()


def _unavailable(message):
    return Err(not_run(FailureCode.UNAVAILABLE, message))
