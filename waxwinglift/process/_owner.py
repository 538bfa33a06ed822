"""Owner of one endpoint: its queue, connections, health and positions."""

import abc
import asyncio
from collections.abc import Callable

from opentelemetry import trace
from result import Result

from waxwinglift.connection import ConnectionId
from waxwinglift.connection import HealthState
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._data_path_types import TransactionStream
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import RequestId
from waxwinglift.request._load_shedder import LoadShedder
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import GroupPhase
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version._fleet import accepts_requests


class EndpointOwner(abc.ABC):
    """Owner or standby owner of one endpoint.

    Subclasses implement the endpoint's protocol.  Their `_build` sets
    ``monitor``, ``connections``, ``slots`` and ``positions``.

    By default, a standby owner has only the monitoring connection and refuses
    requests until the fleet's state names it as the owner.  A StatementOwner
    also serves requests of proxies that cannot reach the owner.

    ``load_shedder`` is that of the process; only a StatementOwner refuses
    requests by it.

    Parameters
    ----------
    endpoint : EndpointId
        Must be known to ``view``.
    settings : OwnerSettings
    view : FleetView
    now_ms : callable
        Monotonic clock.
    awake_ms : callable, optional
        Clock of the failure detectors, which may stand still while this
        process is late.
    metrics : Metrics
    tracer : opentelemetry.trace.Tracer
    on_health : callable
        Called with the endpoint and each new HealthState.
    on_released : callable
        Called once the serving connections are closed.
    """

    load_shedder: LoadShedder | None = None

    def __init__(
        self,
        endpoint: EndpointId,
        settings: OwnerSettings,
        view: FleetView,
        *,
        now_ms: Callable[[], float] = monotonic_ms,
        awake_ms: Callable[[], float] | None = None,
        metrics: Metrics | None = None,
        tracer: trace.Tracer | None = None,
        on_health: Callable[[EndpointId, HealthState], None] | None = None,
        on_released: Callable[[], None] | None = None,
    ):
        record = view.endpoint(endpoint)
        self.endpoint = endpoint
        self.group: GroupName = record.group
        self.settings = settings
        self.view = view
        self.now_ms = now_ms
        self.awake_ms = awake_ms or now_ms
        self.metrics = metrics or NoMetrics()
        self.tracer = tracer or trace.NoOpTracer()
        self._address = record.address
        self._on_health = on_health
        self._on_released = on_released
        self._is_draining = False
        self._is_enabled = False
        # Time at which another proxy became the owner.
        self._ownership_lost_ms: float | None = None
        # Whether the endpoint has reported that it is no longer the primary.
        self.is_demoted = False
        self._next_request = 0
        self._term = None
        self._was_primary = False
        self._running: set = set()
        self._tasks: set[asyncio.Task] = set()
        self._build(record)

    @property
    def health(self) -> HealthState:
        """Current health of the endpoint."""
        return self.monitor.health.state

    @property
    def is_released(self) -> bool:
        """Whether all connections that serve requests are closed."""
        return self.connections.pool.is_released

    @property
    def is_primary(self) -> bool:
        """Whether the endpoint is its group's active primary."""
        return self.positions.is_primary

    def find_load(self, book):
        """Return the endpoint's load, or None if it is not observed."""
        return None

    def start(self):
        """Open the connections; `tick` must be called regularly afterwards."""
        self.view.add_listener(self.on_fleet_change)
        self.monitor.start()
        self.positions.start()
        self.on_fleet_change()

    async def stop(self):
        """Close all connections at once; running transactions fail."""
        self.view.remove_listener(self.on_fleet_change)
        self._disable("the owner is stopping")
        self.positions.stop()
        self.monitor.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # Cancelled openings close their connections in the next iteration.
        await asyncio.sleep(0)

    def start_drain(self):
        """Refuse new transactions."""
        self._is_draining = True

    async def drain(self, waited_ms: float = 0.0):
        """Refuse new transactions and wait for those that are open.

        ``waited_ms`` is the time since the start of the shutdown, which counts
        towards the time limits.
        """
        self.start_drain()
        started_ms = self.now_ms() - waited_ms
        while self._has_work():
            if self._end_overdue_work(self.now_ms() - started_ms):
                return
            await asyncio.sleep(self.settings.tick_ms / 1000)

    @property
    def is_busy(self) -> bool:
        """Whether transactions run or wait, or answers wait for a quorum."""
        return self._has_work() or self.slots.is_waiting

    def tick(self):
        """Run the timers; called every ``tick_ms`` or ``idle_tick_ms``."""
        self._apply_ownership()
        self.monitor.tick()
        if self._is_enabled:
            self.connections.tick()
        if self.is_busy:
            self._tick_transactions()

    def _tick_transactions(self):
        self.positions.tick()
        self.slots.tick()
        for slot in list(self._running):
            if slot.is_unresponsive():
                self._start_task(slot.close_if_answer_lost())

    def open(self, header: ExecuteHeader) -> TransactionStream:
        """Return the stream of a new transaction."""
        self._next_request += 1
        request = RequestId(self._next_request)
        return self._make_stream(header, request)

    async def group_position(
        self, group: GroupName, term: Term
    ) -> Result[Position, Failure]:
        """Return a position that includes every acknowledged write."""
        return await self.positions.group_position(term)

    def find_refusal(self, header: ExecuteHeader) -> ExchangeEnd | None:
        """Return the refusal of a transaction, or None if it may run."""
        if not self.view.lease_is_live():
            return refuse("this proxy has no lease")
        if self._is_draining:
            message = "this proxy is shutting down"
            return refuse(message, FailureCode.SHUTTING_DOWN)
        assignment = self.view.assignment(self.endpoint)
        is_owner = self.view.owns(self.endpoint)
        if not is_owner or assignment.epoch != header.epoch:
            return refuse("this proxy does not own the endpoint", stale=True)
        return self._check_endpoint(header)

    def on_fleet_change(self):
        """Apply the endpoint's new term, pool tables, address and owner."""
        self._on_term_change()
        self._set_tables()
        self._update_endpoint()
        self.positions.on_fleet_change()
        self._apply_ownership()

    def add_running(self, slot):
        """Register a transaction that has been given a slot."""
        self._running.add(slot)

    def remove_running(self, slot):
        """Remove a transaction that has ended."""
        self._running.discard(slot)

    def record_timeout(self, connection: ConnectionId):
        """Record that a statement had no answer within ``silence_ms``."""
        self.metrics.incr("owner.silent")
        self.monitor.record_timeout(connection)

    def _check_endpoint(self, header):
        group = self.view.group(self.group)
        record = self.view.endpoint(self.endpoint)
        if group is None or group.term != header.term:
            return refuse("the group's term has changed", stale=True)
        if record is None or not accepts_requests(record, group):
            return refuse("the endpoint is lost or leaving", stale=True)
        is_replica = group.primary != self.endpoint
        if not is_replica and group.phase is not GroupPhase.ACTIVE:
            return refuse("a change of primary is in progress", stale=True)
        if is_replica and not header.read_only:
            return refuse("the endpoint is not the primary", stale=True)
        if self.health is HealthState.DOWN:
            return refuse("the endpoint is down")
        return None

    @abc.abstractmethod
    def _build(self, record):
        """Create the parts that depend on the protocol."""

    @abc.abstractmethod
    def _make_stream(self, header, request):
        """Return the stream of a transaction."""

    def _on_ownership_applied(self):
        """Do nothing; a hook for each tick and fleet change while enabled."""

    def _mark_others_suspect(self, connection):
        self.connections.mark_others_suspect(connection)

    def _probe_idle_connection(self, before_ms):
        """Probe a connection that has been idle since before ``before_ms``.

        Return whether there was one.
        """
        is_enabled = self._is_enabled
        return is_enabled and self.connections.probe_longest_idle(before_ms)

    def _change_health(self, state):
        self.metrics.incr(f"owner.health.{state.value}")
        if state is HealthState.DOWN:
            # Another endpoint may still serve the waiting requests in time.
            self._refuse_waiting("the endpoint is down")
        if self._on_health is not None:
            self._on_health(self.endpoint, state)

    def _on_term_change(self):
        """Abort the transactions on a primary that is being replaced.

        The answers can no longer be sent to callers, and an isolated primary
        may never send them.
        """
        group = self.view.group(self.group)
        if group is None:
            return
        if self._was_primary and group.term != self._term:
            self._disable("a change of primary is in progress")
        self._term = group.term
        self._was_primary = group.primary == self.endpoint

    def _update_endpoint(self):
        """Apply a new address or number of slots after a restart."""
        record = self.view.endpoint(self.endpoint)
        if record is None:
            return
        self._address = record.address
        self.slots.queue.slots_count = record.slots_count
        self.connections.pool.slots_count = record.slots_count

    def _set_tables(self):
        pools = self.view.fleet.pools_of(self.group)
        self.slots.queue.set_tables([pool.table for pool in pools])

    def _apply_ownership(self):
        is_live = self.view.lease_is_live()
        is_owner = self.view.owns(self.endpoint)
        self.monitor.health.is_standby = not is_owner
        if is_live and is_owner:
            self._enable()
        elif not is_live:
            self._disable("the lease was lost")
        elif self._is_enabled:
            self._hand_over()

    def _enable(self):
        self._ownership_lost_ms = None
        if not self._is_enabled:
            self._is_enabled = True
            self.connections.enable()
        self._on_ownership_applied()

    def _hand_over(self):
        """Let open transactions finish, then close the connections.

        The next owner can start at once: half of the endpoint's connections
        are reserved for it.
        """
        if self._ownership_lost_ms is None:
            self._ownership_lost_ms = self.now_ms()
            self._refuse_waiting("the endpoint has another owner")
        waited_ms = self.now_ms() - self._ownership_lost_ms
        is_overdue = self._end_overdue_work(waited_ms)
        if is_overdue or not self._has_work():
            self._disable("the endpoint has another owner")

    def _end_overdue_work(self, waited_ms):
        """End idle transactions once the time limit for them has passed.

        Return whether the limit for running statements has passed too.
        """
        limit_ms = self.settings.drain_timeout_ms
        if waited_ms < limit_ms:
            return False
        for slot in list(self._running):
            slot.end_if_idle()
        return waited_ms >= limit_ms + self.settings.drain_answer_timeout_ms

    def _has_work(self):
        """Return whether transactions run or answers wait for a quorum."""
        return bool(self._running or self.positions.commit_wait.held_count)

    def _disable(self, reason):
        if not self._is_enabled:
            return
        self._is_enabled = False
        self._refuse_waiting(reason)
        self.connections.close_all()
        if self._on_released is not None:
            asyncio.get_running_loop().call_soon(self._on_released)

    def _refuse_waiting(self, reason):
        failure = not_run(FailureCode.UNAVAILABLE, reason)
        self.slots.refuse_all(failure)
        self.connections.refuse_waiting()

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def refuse(message, code=FailureCode.UNAVAILABLE, stale=False):
    """Return the outcome of a refused exchange.

    ``stale`` sets ``is_stale_owner`` of the outcome.
    """
    failure = not_run(code, message)
    return ExchangeEnd(failure=failure, is_stale_owner=stale)
