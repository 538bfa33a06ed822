"""Positions that reads of typed statements must state."""

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

# Longest time for asking the primary for its position.
_ASK_TIMEOUT_MS = 400.0
# The primary is asked anew after this part of an accepted age: the least
# position that counts is then nearly as old as it may be.
_REFRESH_FRACTION = 0.2
# Part of an accepted age that is left for the way of the answer.
_MARGIN_MS = 50.0

_LEADER_QUESTION = (Command(CommandKind.BEGIN), Command(CommandKind.ROLLBACK))


class PrimaryPositions:
    """Position of a primary, as a server says that surely leads.

    A server accepts a plain transaction only while it leads.  What it
    reports then covers every commit acknowledged before the question.

    Parameters
    ----------
    borrow : callable
        Returns an async context manager with a TrackedConnection or None.
    on_demotion : callable
        Called when the endpoint says that it does not lead.
    """

    def __init__(self, borrow, on_demotion: Callable[[], None]):
        self._borrow = borrow
        self._on_demotion = on_demotion
        self._asking: asyncio.Task | None = None
        self._next: asyncio.Task | None = None

    async def ask(self) -> Result[Position, Failure]:
        """Return a position that the primary reports after this call.

        Questions that arrive while one is on its way share the next one.
        """
        if self._asking is None or self._asking.done():
            self._asking = asyncio.ensure_future(self._ask())
            return await asyncio.shield(self._asking)
        if self._next is None or self._next.done():
            self._next = asyncio.ensure_future(self._ask_after(self._asking))
        return await asyncio.shield(self._next)

    async def _ask_after(self, earlier):
        await asyncio.wait({earlier})
        self._asking = asyncio.current_task()
        return await self._ask()

    async def _ask(self):
        async with self._borrow(_ASK_TIMEOUT_MS) as link:
            if link is None:
                return _unavailable("no connection to the primary")
            try:
                async with asyncio.timeout(_ASK_TIMEOUT_MS / 1000):
                    begun, _ = await link.run(_LEADER_QUESTION)
            except (TimeoutError, EndpointConnectionLost) as error:
                link.close()
                return _unavailable(f"the primary does not answer: {error}")
        if begun.answer.error is not None or begun.position is None:
            self._on_demotion()
            return _unavailable("the endpoint does not lead")
        return Ok(begun.position)


class GroupFloors:
    """Positions of a group that cover all commits up to a known time.

    Parameters
    ----------
    group : GroupName
    view : FleetView
    find_executor : callable
        Returns the executor of a daemon or None.
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
        self._asking: asyncio.Task | None = None

    async def find(self, max_age_ms: float) -> Result[Position, Failure]:
        """Return a position asked for at most ``max_age_ms`` ago."""
        limit_ms = max(0.0, max_age_ms - _MARGIN_MS)
        if limit_ms <= 0:
            return await self._ask()
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
        """Forget the positions of a primary that another one has replaced.

        Until then they count: replicas go on serving reads of their age.
        """
        group = self._view.group(self._group)
        if group is None or group.phase is not GroupPhase.ACTIVE:
            return
        if group.term != self._term:
            self._term = group.term
            self._history.clear()

    def _refresh(self):
        if self._asking is None or self._asking.done():
            self._asking = asyncio.ensure_future(self._ask())
        return self._asking

    async def _ask(self):
        asked_ms = self._now_ms()
        term = self._term
        outcome = await self._ask_owner()
        if isinstance(outcome, Ok) and term == self._term:
            self._history.record(asked_ms, outcome.ok_value)
        return outcome

    async def _ask_owner(self):
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

    # A server that acknowledges by itself is never stalled by replicas.
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

        A server that is chosen but not promoted yet does not lead.
        """
        record = self._view.endpoint(self._endpoint)
        group = None if record is None else self._view.group(record.group)
        if group is None or group.phase is not GroupPhase.ACTIVE:
            return False
        return group.primary == self._endpoint

    def start(self):
        """Do nothing: positions are asked for when they are needed."""

    def stop(self):
        """Do nothing."""

    def tick(self):
        """Do nothing."""

    def on_fleet_change(self):
        """Do nothing: the state is read at each question."""

    async def group_position(self, term: Term) -> Result[Position, Failure]:
        """Return a position that holds every acknowledged commit."""
        if not self.is_primary:
            return _unavailable("the endpoint is not the primary")
        return await self._primary.ask()


def _unavailable(message):
    return Err(not_run(FailureCode.UNAVAILABLE, message))
