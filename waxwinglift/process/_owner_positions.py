"""Positions of one endpoint: polls, waits for floors, held answers."""

import asyncio
from collections.abc import Callable
import datetime

from result import Err
from result import Ok
from result import Result

from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._backend_packet import PRIMARY_POSITION_SQL
from waxwinglift.connection._backend_packet import REPLICA_POSITION_SQL
from waxwinglift.connection._owner_monitor import EndpointMonitor
from waxwinglift.connection._wire import parse_lsn
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import RequestId
from waxwinglift.request._commit_wait import CommitWait
from waxwinglift.request._commit_wait import Release
from waxwinglift.request._floors import check_floor
from waxwinglift.request._floors import FloorState
from waxwinglift.version import EndpointId
from waxwinglift.version import EndpointState
from waxwinglift.version import GroupPhase
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version._fleet import find_term

_REPLICAS_SQL = "SELECT application_name, flush_lsn FROM pg_stat_replication"
_AGE_SQL = "SELECT pg_last_xact_replay_timestamp(), now()"
_GROUP_POSITION_TIMEOUT_MS = 1000.0


class EndpointPositions:
    """Position of one endpoint and what waits for positions.

    Parameters
    ----------
    endpoint : EndpointId
    settings : OwnerSettings
    view : FleetView
    monitor : EndpointMonitor
    now_ms : callable
    """

    def __init__(
        self,
        endpoint: EndpointId,
        settings: OwnerSettings,
        view: FleetView,
        monitor: EndpointMonitor,
        now_ms: Callable[[], float],
    ):
        self.position: Position | None = None
        self.commit_wait = CommitWait(1, settings.commit_wait)
        self._endpoint = endpoint
        self._settings = settings
        self._view = view
        self._monitor = monitor
        self._now_ms = now_ms
        self._age_ms = float("inf")
        self._age_at_ms = 0.0
        self._used_ms = float("-inf")
        self._changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._waiting_count = 0
        self._started_polls_count = 0
        self._finished_poll = 0
        self._held: dict[RequestId, asyncio.Future] = {}
        self._next_request = 0
        self._confirmed = None
        self._progress_ms = 0.0
        self._task: asyncio.Task | None = None

    @property
    def is_primary(self) -> bool:
        """Whether the endpoint is its group's active primary."""
        group = self._group()
        if group is None or group.phase is not GroupPhase.ACTIVE:
            return False
        return group.primary == self._endpoint

    def start(self):
        """Start polling."""
        self.on_fleet_change()
        self._task = asyncio.ensure_future(self._follow())

    def stop(self):
        """Stop polling and fail the held answers."""
        if self._task is not None:
            self._task.cancel()
        self._perform(self.commit_wait.on_lease(False))

    def tick(self):
        """Run the timers of the held answers."""
        self._check_lease()
        self._perform(self.commit_wait.expire(self._now_ms()))

    def on_fleet_change(self):
        """Take a new term or role."""
        group = self._group()
        if group is None:
            return
        self.commit_wait.quorum_count = group.size_count // 2 + 1
        self._check_lease()
        # The old primary's answers fail as soon as the term is raised.
        self._perform(self.commit_wait.on_term(group.term))
        self._wake.set()
        self._notify()

    def observe(self, lsn: int) -> Position:
        """Record an offset that the endpoint reported."""
        position = Position(self._own_term(), Lsn(lsn))
        if self.position is None or position > self.position:
            self.position = position
            self._notify()
        return position

    async def wait_for_floor(
        self, floor: Position | None, max_age_ms: int, limit_ms: float
    ) -> FloorState:
        """Wait until the replica may serve a read at ``floor``.

        Data no older than ``max_age_ms`` is accepted whatever the floor,
        when an age is stated.
        """
        self._used_ms = self._now_ms()
        state = self._check(floor, max_age_ms)
        if state is not FloorState.BEHIND:
            return state
        until_ms = self._now_ms() + limit_ms
        self._waiting_count += 1
        self._wake.set()
        try:
            while state is FloorState.BEHIND:
                left_ms = until_ms - self._now_ms()
                if left_ms <= 0 or not await self._wait_change(left_ms):
                    return self._check(floor, max_age_ms)
                state = self._check(floor, max_age_ms)
            return state
        finally:
            self._waiting_count -= 1

    async def wait_for_quorum(self, position: Position) -> Failure | None:
        """Hold an answer until a quorum has ``position``."""
        self._check_lease()
        self._next_request += 1
        request = RequestId(self._next_request)
        now_ms = self._now_ms()
        actions = self.commit_wait.hold(request, position, now_ms)
        for action in actions:
            return None if isinstance(action, Release) else action.failure
        waiter = asyncio.get_running_loop().create_future()
        self._held[request] = waiter
        self._wake.set()
        try:
            return await waiter
        finally:
            del self._held[request]
            self.commit_wait.cancel(request)

    async def group_position(self, term: Term) -> Result[Position, Failure]:
        """Return a position that holds every acknowledged write.

        An answer is acknowledged only once a quorum has its position, here
        or at an earlier owner that still finishes its work; a poll that
        starts after the request therefore sees it.
        """
        until_ms = self._now_ms() + _GROUP_POSITION_TIMEOUT_MS
        wanted_poll = self._started_polls_count + 1
        while True:
            failure = self._check_group_position(term)
            if failure is not None:
                return Err(failure)
            lsn = self.commit_wait.confirmed_lsn
            if lsn and self._finished_poll >= wanted_poll:
                return Ok(Position(term, lsn))
            self._wake.set()
            left_ms = until_ms - self._now_ms()
            if left_ms <= 0 or not await self._wait_change(left_ms):
                return _unavailable("no position of the primary in time")

    def _check_group_position(self, term):
        group = self._group()
        if not self._view.lease_is_live():
            message = "this proxy has no lease"
        elif not self.is_primary or not self._view.owns(self._endpoint):
            message = "this proxy does not own the primary"
        elif group.term != term:
            message = "the term has changed"
        else:
            return None
        return not_run(FailureCode.UNAVAILABLE, message)

    def _group(self):
        endpoint = self._view.endpoint(self._endpoint)
        return None if endpoint is None else self._view.group(endpoint.group)

    def _own_term(self):
        group = self._group()
        if group is None:
            return Term(0)
        if group.primary == self._endpoint:
            return group.term
        # A replica counts as part of a term once it announced the timeline.
        timeline = self._view.endpoint(self._endpoint).term
        term = find_term(group, timeline)
        return Term(0) if term is None else term

    def _check(self, floor, max_age_ms):
        if max_age_ms and self._age_now_ms() <= max_age_ms:
            return FloorState.MET
        if floor is None:
            return FloorState.MET
        if self.position is None:
            return FloorState.BEHIND
        return check_floor(floor, self.position, self._group().term_ends)

    def _age_now_ms(self):
        return self._age_ms + self._now_ms() - self._age_at_ms

    def _check_lease(self):
        self._perform(self.commit_wait.on_lease(self._view.lease_is_live()))

    def _perform(self, actions):
        for action in actions:
            waiter = self._held.get(action.request)
            if waiter is None or waiter.done():
                continue
            is_release = isinstance(action, Release)
            waiter.set_result(None if is_release else action.failure)

    def _notify(self):
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait_change(self, timeout_ms):
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _follow(self):
        while True:
            await self._pause(self._interval_ms())
            try:
                await self._poll()
            except EndpointConnectionLost:
                # The health monitor opens a new connection; until then the
                # poll would fail at once.
                await asyncio.sleep(self._settings.tick_ms / 1000)

    async def _pause(self, interval_ms):
        """Wait for the next poll, or for the first waiter after idling."""
        is_idle = interval_ms is None
        limit_ms = None if is_idle else interval_ms
        if not is_idle and interval_ms <= self._settings.replica_poll_ms:
            await asyncio.sleep(interval_ms / 1000)
            self._wake.clear()
            return
        try:
            seconds = None if limit_ms is None else limit_ms / 1000
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def _interval_ms(self):
        if self.is_primary:
            if self._view.owns(self._endpoint) or self.commit_wait.held_count:
                return self.commit_wait.poll_interval_ms()
            return None
        unused_ms = self._now_ms() - self._used_ms
        if self._waiting_count or unused_ms < self._settings.replica_use_ms:
            return self._settings.replica_poll_ms
        return None

    async def _poll(self):
        if self._interval_ms() is None:
            return
        if self.is_primary:
            await self._poll_primary()
        else:
            await self._poll_replica()

    async def _poll_primary(self):
        term = self._group().term
        self._started_polls_count += 1
        poll = self._started_polls_count
        replicas, primary = await self._monitor.query(
            _REPLICAS_SQL, PRIMARY_POSITION_SQL
        )
        if replicas.error or primary.error:
            return
        members = self.quorum_endpoints()
        lsns = {
            name: Lsn(parse_lsn(lsn))
            for name, lsn in replicas.rows
            if lsn is not None and name in members
        }
        lsn = Lsn(parse_lsn(primary.rows[0][0]))
        self._check_lease()
        self._perform(self.commit_wait.on_positions(term, lsn, lsns))
        self._finished_poll = poll
        self._record_progress()
        self._notify()

    def quorum_endpoints(self):
        """Return the servers that may count for a quorum.

        A lost server may have been replaced; a quorum with it need not share
        a server with the ones that a change of primary fences.
        """
        return {
            endpoint.endpoint
            for endpoint in self._view.fleet.endpoints_of(self._group().group)
            if endpoint.state is not EndpointState.LOST
        }

    def _record_progress(self):
        confirmed = self.commit_wait.confirmed_lsn
        if not self.commit_wait.held_count or confirmed != self._confirmed:
            self._progress_ms = self._now_ms()
        self._confirmed = confirmed

    @property
    def stalled_ms(self) -> float:
        """Time for which answers are held without any progress.

        A primary that is cut off from its replicas answers probes, but no
        quorum confirms its writes.
        """
        if not self.is_primary or not self.commit_wait.held_count:
            return 0.0
        return self._now_ms() - self._progress_ms

    async def _poll_replica(self):
        asked_ms = self._now_ms()
        position, age = await self._monitor.query(
            REPLICA_POSITION_SQL, _AGE_SQL
        )
        if not age.error and age.rows and age.rows[0][0] is not None:
            replayed, now = age.rows[0]
            self._age_ms = _milliseconds_between(replayed, now)
            self._age_at_ms = asked_ms
        if not position.error and position.rows[0][0] is not None:
            self.observe(parse_lsn(position.rows[0][0]))
        self._notify()


def _milliseconds_between(first, second):
    start = datetime.datetime.fromisoformat(first)
    end = datetime.datetime.fromisoformat(second)
    return max(0.0, (end - start).total_seconds() * 1000)


def _unavailable(message):
    return Err(not_run(FailureCode.UNAVAILABLE, message))
