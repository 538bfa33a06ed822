"""Positions of one endpoint, and the requests that wait for them."""

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
    """Polls the position of one endpoint for the requests that need it.

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
        # `on_fleet_change` sets the quorum of the group in place of 1.
        self.commit_wait = CommitWait(1, settings.commit_wait)
        self._endpoint = endpoint
        self._settings = settings
        self._view = view
        self._monitor = monitor
        self._now_ms = now_ms
        # Age of the replica's data at the time ``_age_measured_ms``.
        self._age_ms = float("inf")
        self._age_measured_ms = 0.0
        self._last_read_ms = float("-inf")
        self._changed = asyncio.Event()
        self._poll_requested = asyncio.Event()
        self._waiting_count = 0
        self._started_polls_count = 0
        self._last_finished_poll = 0
        self._quorum_waiters: dict[RequestId, asyncio.Future] = {}
        self._next_request = 0
        self._last_confirmed_lsn = None
        self._last_progress_ms = 0.0
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
        self._task = asyncio.ensure_future(self._poll_forever())

    def stop(self):
        """Stop polling and fail the answers that wait for a quorum."""
        if self._task is not None:
            self._task.cancel()
        self._resolve_waiters(self.commit_wait.on_lease(False))

    def tick(self):
        """Run the timers of the answers that wait for a quorum."""
        self._apply_lease()
        self._resolve_waiters(self.commit_wait.expire(self._now_ms()))

    def on_fleet_change(self):
        """Apply a new term or role of the endpoint."""
        group = self._group()
        if group is None:
            return
        self.commit_wait.quorum_count = group.size_count // 2 + 1
        self._apply_lease()
        # Waiting answers of the old primary fail once the term is raised.
        self._resolve_waiters(self.commit_wait.on_term(group.term))
        self._poll_requested.set()
        self._notify()

    def record_lsn(self, lsn: int) -> Position:
        """Record a WAL offset that the endpoint reported."""
        position = Position(self._own_term(), Lsn(lsn))
        if self.position is None or position > self.position:
            self.position = position
            self._notify()
        return position

    async def wait_for_floor(
        self, floor: Position | None, max_age_ms: int, limit_ms: float
    ) -> FloorState:
        """Wait until the replica may serve a read at ``floor``.

        If ``max_age_ms`` is not 0, data of at most that age is accepted
        regardless of the floor.
        """
        self._last_read_ms = self._now_ms()
        state = self._check_floor(floor, max_age_ms)
        if state is not FloorState.BEHIND:
            return state
        deadline_ms = self._now_ms() + limit_ms
        self._waiting_count += 1
        self._poll_requested.set()
        try:
            while state is FloorState.BEHIND:
                left_ms = deadline_ms - self._now_ms()
                if left_ms <= 0 or not await self._wait_for_change(left_ms):
                    return self._check_floor(floor, max_age_ms)
                state = self._check_floor(floor, max_age_ms)
            return state
        finally:
            self._waiting_count -= 1

    async def wait_for_quorum(self, position: Position) -> Failure | None:
        """Delay an answer until a quorum has reached ``position``.

        Return None, or the failure to send instead of the answer.
        """
        self._apply_lease()
        self._next_request += 1
        request = RequestId(self._next_request)
        now_ms = self._now_ms()
        actions = self.commit_wait.hold(request, position, now_ms)
        for action in actions:
            return None if isinstance(action, Release) else action.failure
        waiter = asyncio.get_running_loop().create_future()
        self._quorum_waiters[request] = waiter
        self._poll_requested.set()
        try:
            return await waiter
        finally:
            del self._quorum_waiters[request]
            self.commit_wait.cancel(request)

    async def group_position(self, term: Term) -> Result[Position, Failure]:
        """Return a position that includes every acknowledged write.

        This owner, or a former one that is finishing its transactions,
        acknowledges a write only once a quorum has reached its position.  A
        poll that starts after the request therefore includes all of them.
        """
        deadline_ms = self._now_ms() + _GROUP_POSITION_TIMEOUT_MS
        required_poll = self._started_polls_count + 1
        while True:
            failure = self._check_group_position(term)
            if failure is not None:
                return Err(failure)
            lsn = self.commit_wait.confirmed_lsn
            if lsn and self._last_finished_poll >= required_poll:
                return Ok(Position(term, lsn))
            self._poll_requested.set()
            left_ms = deadline_ms - self._now_ms()
            if left_ms <= 0 or not await self._wait_for_change(left_ms):
                return _unavailable("timed out reading the primary position")

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
        # A replica belongs to a term once it has announced its timeline.
        timeline = self._view.endpoint(self._endpoint).term
        term = find_term(group, timeline)
        return Term(0) if term is None else term

    def _check_floor(self, floor, max_age_ms):
        if max_age_ms and self._age_now_ms() <= max_age_ms:
            return FloorState.MET
        if floor is None:
            return FloorState.MET
        if self.position is None:
            return FloorState.BEHIND
        return check_floor(floor, self.position, self._group().term_ends)

    def _age_now_ms(self):
        return self._age_ms + self._now_ms() - self._age_measured_ms

    def _apply_lease(self):
        self._resolve_waiters(
            self.commit_wait.on_lease(self._view.lease_is_live())
        )

    def _resolve_waiters(self, actions):
        for action in actions:
            waiter = self._quorum_waiters.get(action.request)
            if waiter is None or waiter.done():
                continue
            is_release = isinstance(action, Release)
            waiter.set_result(None if is_release else action.failure)

    def _notify(self):
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait_for_change(self, timeout_ms):
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _poll_forever(self):
        while True:
            await self._pause(self._poll_interval_ms())
            try:
                await self._poll()
            except EndpointConnectionLost:
                # The health monitor opens a new connection; until then the
                # poll would fail at once.
                await asyncio.sleep(self._settings.tick_ms / 1000)

    async def _pause(self, interval_ms):
        """Wait for the interval between two polls.

        If it is None or longer than ``replica_poll_ms``, a request that needs
        a poll ends the wait early.
        """
        is_idle = interval_ms is None
        limit_ms = None if is_idle else interval_ms
        if not is_idle and interval_ms <= self._settings.replica_poll_ms:
            await asyncio.sleep(interval_ms / 1000)
            self._poll_requested.clear()
            return
        try:
            seconds = None if limit_ms is None else limit_ms / 1000
            async with asyncio.timeout(seconds):
                await self._poll_requested.wait()
        except TimeoutError:
            pass
        self._poll_requested.clear()

    def _poll_interval_ms(self):
        if self.is_primary:
            if self._view.owns(self._endpoint) or self.commit_wait.held_count:
                return self.commit_wait.poll_interval_ms()
            return None
        idle_ms = self._now_ms() - self._last_read_ms
        if self._waiting_count or idle_ms < self._settings.replica_use_ms:
            return self._settings.replica_poll_ms
        return None

    async def _poll(self):
        if self._poll_interval_ms() is None:
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
        self._apply_lease()
        self._resolve_waiters(self.commit_wait.on_positions(term, lsn, lsns))
        self._last_finished_poll = poll
        self._record_progress()
        self._notify()

    def quorum_endpoints(self):
        """Return the servers that count towards a quorum.

        A lost server may have been replaced.  A quorum that includes it need
        not overlap with the servers that a change of primary fences.
        """
        return {
            endpoint.endpoint
            for endpoint in self._view.fleet.endpoints_of(self._group().group)
            if endpoint.state is not EndpointState.LOST
        }

    def _record_progress(self):
        lsn = self.commit_wait.confirmed_lsn
        if not self.commit_wait.held_count or lsn != self._last_confirmed_lsn:
            self._last_progress_ms = self._now_ms()
        self._last_confirmed_lsn = lsn

    @property
    def stalled_ms(self) -> float:
        """Time for which waiting answers have seen no new confirmed position.

        It is 0 if no answer waits or the endpoint is not the primary.
        A primary that is cut off from its replicas answers probes, but no
        quorum confirms its writes.
        """
        if not self.is_primary or not self.commit_wait.held_count:
            return 0.0
        return self._now_ms() - self._last_progress_ms

    async def _poll_replica(self):
        sent_ms = self._now_ms()
        position, age = await self._monitor.query(
            REPLICA_POSITION_SQL, _AGE_SQL
        )
        if not age.error and age.rows and age.rows[0][0] is not None:
            replayed, now = age.rows[0]
            self._age_ms = _milliseconds_between(replayed, now)
            self._age_measured_ms = sent_ms
        if not position.error and position.rows[0][0] is not None:
            self.record_lsn(parse_lsn(position.rows[0][0]))
        self._notify()


def _milliseconds_between(first, second):
    start = datetime.datetime.fromisoformat(first)
    end = datetime.datetime.fromisoformat(second)
    return max(0.0, (end - start).total_seconds() * 1000)


def _unavailable(message):
    return Err(not_run(FailureCode.UNAVAILABLE, message))
