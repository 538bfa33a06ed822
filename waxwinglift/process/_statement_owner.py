"""Owner of one endpoint whose protocol has typed statements."""

import contextlib
import math

from waxwinglift.connection import HealthState
from waxwinglift.connection._endpoint_pool import EndpointPool
from waxwinglift.connection._owner_connections import ConnectionManager
from waxwinglift.connection._owner_connections import OpenResult
from waxwinglift.connection._owner_connections import SlotQueue
from waxwinglift.connection._pool_records import ConnectionNeed
from waxwinglift.connection._tracked_connection import TrackedConnection
from waxwinglift.connection._statement_monitor import StatementMonitor
from waxwinglift.process._admission_report import AdmissionReport
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._owner import EndpointOwner
from waxwinglift.process._owner import refuse
from waxwinglift.process._owner_limits import OwnerLimits
from waxwinglift.process._owner_limits import STANDBY_WARM_COUNT
from waxwinglift.process._owner_load import OwnerLoad
from waxwinglift.process._statement_positions import GroupFloors
from waxwinglift.process._statement_positions import PrimaryPositions
from waxwinglift.process._statement_positions import StatementPositions
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import RequestId
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._statement_stream import StatementStream
from waxwinglift.version import GroupPhase
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version._fleet import accepts_requests

# Pool under which the statements of all pools of a group are queued, so that
# their ranks are compared.
_GROUP_QUEUE_POOL = PoolName("")


class StatementOwner(EndpointOwner):
    """Owner or standby owner of one endpoint with typed statements.

    A statement occupies a slot while it runs, and a transaction block
    occupies a connection until it ends; ``slots`` and ``blocks`` are the
    queues for them.  A standby owner serves the requests of proxies that
    cannot reach the owner.
    """

    # Returns whether this proxy serves an endpoint without an assignment.
    is_temporary_owner = staticmethod(lambda endpoint: False)

    def attach(self, open_connection, find_executor):
        """Set the functions that the protocol and the proxy provide."""
        self._open = open_connection
        self._find_executor = find_executor

    @property
    def is_released(self) -> bool:
        """Whether no connections but those of a standby owner are left."""
        if self.view.owns(self.endpoint):
            return False
        pool = self.connections.pool
        return not self._running and (
            pool.is_released or pool.connection_count <= STANDBY_WARM_COUNT
        )

    @property
    def is_busy(self) -> bool:
        """Whether a transaction runs or waits."""
        is_waiting = self.slots.is_waiting or self.blocks.is_waiting
        return bool(self._running) or is_waiting

    def find_refusal(self, header):
        """Return the refusal of a transaction, or None if it may run."""
        if self._is_draining:
            message = "this proxy is shutting down"
            return refuse(message, FailureCode.SHUTTING_DOWN, stale=True)
        if not self._is_assigned() and not header.to_standby:
            message = "this proxy does not own the endpoint"
            return refuse(message, FailureCode.NOT_OWNER, stale=True)
        if not self.connections.pool.limit_count:
            message = "this proxy may have no connections to the endpoint"
            return refuse(message, FailureCode.NOT_OWNER, stale=True)
        group = self.view.group(self.group)
        record = self.view.endpoint(self.endpoint)
        if (
            group is None
            or record is None
            or not accepts_requests(record, group)
        ):
            return refuse("the endpoint is lost or leaving", stale=True)
        if not header.read_only:
            if group.primary != self.endpoint:
                return refuse("the endpoint is not the primary", stale=True)
            if group.phase is not GroupPhase.ACTIVE:
                message = "a change of primary is in progress"
                return refuse(message, stale=True)
        if self.health is HealthState.DOWN:
            return refuse("the endpoint is down")
        return None

    def find_admission_refusal(self, header):
        """Return the refusal of new work, or None if it may run.

        The process also refuses new work that it lacks processor time for.
        """
        return self.find_refusal(header) or self._find_overload(header)

    def next_request(self):
        """Return an id that no other request of the owner has."""
        self._next_request += 1
        return RequestId(self._next_request)

    def urgency_index(self, rank):
        """Return the index of a rank by urgency; 0 if it is unknown."""
        return self._ranks.get(rank, (0, 0.0))[0]

    def _find_overload(self, header):
        if self.load_shedder is None:
            return None
        index, floor_share = self._ranks.get(header.rank, (0, 0.0))
        delay_ms = self.load_shedder.refusal_ms(index, floor_share)
        if delay_ms is None:
            return None
        self.metrics.incr(f"owner.shed.{header.rank}")
        message = "the endpoint's owner is short of processor time"
        failure = not_run(FailureCode.OVERLOADED, message, math.ceil(delay_ms))
        return ExchangeEnd(failure=failure)

    @property
    def idle_block_ms(self) -> float:
        """Longest idle time of a transaction block; 0 for no limit."""
        desired = self.view.fleet.desired
        return 0 if desired is None else desired.limits.idle_block_ms

    def target_latency_ms(self, pool) -> float:
        """Return the target latency of a pool; 0 if it has none."""
        table = self.view.table(pool)
        if table is None or table.policy is None:
            return 0.0
        return table.policy.target_latency_ms

    def tick(self):
        """Run the timers."""
        super().tick()
        self.admission_report.tick()

    def find_load(self, book):
        """Return the EndpointLoad of the endpoint."""
        return self._load.find(book)

    def run_in_background(self, coroutine):
        """Run a coroutine without delaying a caller."""
        self._start_task(coroutine)

    def record_demotion(self):
        """Record that the endpoint reports that it is not the primary."""
        if self.is_primary and not self.is_demoted:
            self.is_demoted = True
            self._report_health()

    @contextlib.asynccontextmanager
    async def acquire_connection(self, timeout_ms):
        """Yield a connection for a query of the proxy; None on timeout."""
        holder = self.next_request()
        acquired = await self.connections.acquire(
            holder, timeout_ms, ConnectionNeed(is_any=True)
        )
        if acquired is None:
            yield None
            return
        connection_id, connection = acquired
        try:
            yield connection
        finally:
            if connection.is_usable:
                self.connections.release(connection_id)
            else:
                self.connections.discard(connection_id)

    def _build(self, record):
        settings = self.settings
        self._last_term_and_phase = None
        # Index of each rank by urgency, and its floor share.
        self._ranks = {}
        self._load = OwnerLoad(self)
        self.limits = OwnerLimits(self)
        limit_count = self.view.fleet.connection_limit_count(record)
        pool = EndpointPool(settings.pool, limit_count, record.slots_count)
        self.monitor = StatementMonitor(
            settings.health, self.awake_ms, self._change_health
        )
        self.connections = ConnectionManager(
            pool,
            self._open_link,
            self.awake_ms,
            self.monitor.record_response,
            self.monitor.record_timeout,
            self._record_attempt,
        )
        self.monitor.attach(self.connections)
        admission = settings.admission
        self.slots = SlotQueue(
            AdmissionQueue(record.slots_count, admission), self.now_ms
        )
        # The order of `admission` concerns slots; blocks wait for connections.
        blocks_admission = admission.model_copy(update={"order": "turns"})
        self.blocks = SlotQueue(
            AdmissionQueue(record.slots_count, blocks_admission), self.now_ms
        )
        self.admission_report = AdmissionReport(
            self.endpoint, self.slots.queue, self.metrics, self.now_ms
        )
        self.positions = StatementPositions(
            self.endpoint,
            self.view,
            PrimaryPositions(self.acquire_connection, self.record_demotion),
            GroupFloors(
                self.group,
                self.view,
                lambda daemon: self._find_executor(daemon),
                self.now_ms,
            ),
        )

    async def _open_link(self, workspace):
        connection = await self._open(
            self._address, self.group, self.endpoint, workspace
        )
        return TrackedConnection(
            connection,
            self.now_ms,
            self.limits.record_round_trip,
            self._load.record_position,
        )

    def _make_stream(self, header, request):
        return StatementStream(self, header, request)

    def _tick_transactions(self):
        self.slots.tick()
        self.blocks.tick()

    def _on_term_change(self):
        """Reset ``is_demoted`` when the term or phase changes.

        Transactions continue: the endpoint itself refuses outdated ones.
        """
        group = self.view.group(self.group)
        if group is None:
            return
        # A demotion reported before the promotion must not count in the new
        # term.
        term_and_phase = (group.term, group.phase)
        if term_and_phase != self._last_term_and_phase:
            self._last_term_and_phase = term_and_phase
            self.is_demoted = False

    def _update_endpoint(self):
        super()._update_endpoint()
        self.limits.update()

    def _record_attempt(self, result):
        """Record the outcome of an attempt to open a connection."""
        if result is OpenResult.FULL:
            self.limits.record_full()
        self.monitor.record_attempt(result)

    def _set_tables(self):
        """Queue all pools together, with one row for each level of urgency."""
        rows = {}
        is_per_workspace = False
        for pool in self.view.fleet.pools_of(self.group):
            policy = pool.table.policy
            if policy is not None:
                rows[policy.urgency_index] = pool.table.rows[0]
                is_per_workspace = is_per_workspace or not policy.is_public
        self.connections.pool.is_per_workspace = is_per_workspace
        ordered = tuple(rows[index] for index in sorted(rows))
        self._ranks = {
            row.rank: (index, row.floor_percent / 100)
            for index, row in enumerate(ordered)
        }
        if self.load_shedder is not None:
            self.load_shedder.ranks_count = max(
                self.load_shedder.ranks_count, len(ordered)
            )
        table = PoolTable(_GROUP_QUEUE_POOL, self.group, ordered)
        tables = [table] if ordered else []
        self.slots.queue.set_tables(tables)
        self.limits.set_block_tables(tables)

    @property
    def _is_temporary(self):
        """Whether this proxy serves the endpoint without an assignment."""
        return self.is_temporary_owner(self.endpoint)

    def _is_assigned(self):
        assignment = self.view.assignment(self.endpoint)
        if assignment is None:
            return False
        return self.view.daemon in (assignment.owner, assignment.standby)

    def _apply_ownership(self):
        self.monitor.health.is_standby = not self.view.owns(self.endpoint)
        self.limits.update()
        if self._is_assigned() or self._is_temporary:
            self._enable()
            self.connections.shrink()
        elif self._is_enabled:
            self.connections.shrink()
            self._hand_over()

    def _refuse_waiting(self, reason):
        super()._refuse_waiting(reason)
        failure = not_run(FailureCode.UNAVAILABLE, reason)
        self.blocks.refuse_all(failure)

    def _has_work(self):
        return bool(self._running)

    def _report_health(self):
        if self._on_health is not None:
            self._on_health(self.endpoint, self.health)
