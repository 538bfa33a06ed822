"""Owner of one endpoint whose protocol has typed statements."""

import contextlib
import dataclasses

from waxwinglift.connection import HealthState
from waxwinglift.connection._endpoint_pool import EndpointPool
from waxwinglift.connection._owner_connections import ConnectionManager
from waxwinglift.connection._owner_connections import SlotQueue
from waxwinglift.connection._tracked_connection import TrackedConnection
from waxwinglift.connection._statement_monitor import StatementMonitor
from waxwinglift.process._owner import EndpointOwner
from waxwinglift.process._owner import refuse
from waxwinglift.process._statement_positions import GroupFloors
from waxwinglift.process._statement_positions import PrimaryPositions
from waxwinglift.process._statement_positions import StatementPositions
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import RequestId
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._in_flight_limit import InFlightLimit
from waxwinglift.request._statement_stream import StatementStream
from waxwinglift.version import GroupPhase
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version._fleet import accepts_work

# Connections left to control and to the standby owner's probes.
_RESERVED_COUNT = 3
# Part of the rest that a standby owner may use while the owner is lost.
_STANDBY_FRACTION = 0.3
# Connections of a proxy that can reach neither owner nor standby owner.
_TEMPORARY_OWNER_LIMIT_COUNT = 3
# Connection that a standby owner keeps to probe the endpoint.
_STANDBY_WARM_COUNT = 1
# Connections that only the most urgent transaction blocks may take.
_URGENT_COUNT = 2
# Name of the table that orders the ranks of all pools of a group.
_GROUP_TABLE = PoolName("")


class StatementOwner(EndpointOwner):
    """Owner or standby owner of one endpoint with typed statements.

    A statement holds a slot while it runs, a transaction block holds a
    connection until it ends.  ``slots`` and ``blocks`` order the requests
    for either.  A standby owner serves what proxies send it that cannot
    reach the owner.
    """

    # Returns whether an endpoint is served here without an assignment.
    is_temporary_owner = staticmethod(lambda endpoint: False)

    def attach(self, open_connection, find_executor):
        """Set what the protocol and the proxy provide."""
        self._open = open_connection
        self._find_executor = find_executor

    @property
    def is_released(self) -> bool:
        """Whether at most what a standby owner holds is left."""
        if self.view.owns(self.endpoint):
            return False
        pool = self.connections.pool
        return not self._running and (
            pool.is_released or pool.connection_count <= _STANDBY_WARM_COUNT
        )

    @property
    def is_busy(self) -> bool:
        """Whether a transaction runs or waits."""
        is_waiting = self.slots.is_waiting or self.blocks.is_waiting
        return bool(self._running) or is_waiting

    def check(self, header):
        """Return the refusal of a transaction, None when it may run."""
        if self._is_draining:
            message = "this proxy is shutting down"
            return refuse(message, FailureCode.SHUTTING_DOWN, stale=True)
        if not self._is_named() and not header.to_standby:
            message = "this proxy does not own the endpoint"
            return refuse(message, FailureCode.NOT_OWNER, stale=True)
        group = self.view.group(self.group)
        record = self.view.endpoint(self.endpoint)
        if group is None or record is None or not accepts_work(record, group):
            return refuse("the endpoint is leaving", stale=True)
        if not header.read_only:
            if group.primary != self.endpoint:
                return refuse("the endpoint is not the primary", stale=True)
            if group.phase is not GroupPhase.ACTIVE:
                message = "a change of primary is in progress"
                return refuse(message, stale=True)
        if self.health is HealthState.DOWN:
            return refuse("the endpoint is down")
        return None

    @property
    def idle_block_ms(self) -> float:
        """Longest pause of a transaction block; 0 for no limit."""
        desired = self.view.fleet.desired
        return 0 if desired is None else desired.limits.idle_block_ms

    def run_in_background(self, work):
        """Finish something without delaying a caller."""
        self._run(work)

    def record_demotion(self):
        """Record that the endpoint says that it is not the primary."""
        if self.is_primary and not self.is_demoted:
            self.is_demoted = True
            self._report_health()

    @contextlib.asynccontextmanager
    async def borrow(self, timeout_ms):
        """Lend a connection for a question of the proxy itself."""
        self._next_request += 1
        holder = RequestId(self._next_request)
        taken = await self.connections.acquire(holder, timeout_ms)
        if taken is None:
            yield None
            return
        connection, link = taken
        try:
            yield link
        finally:
            if link.is_usable:
                self.connections.release(connection)
            else:
                self.connections.discard(connection)

    def _build(self, record):
        settings = self.settings
        self._seen_term = None
        self._in_flight_limit = InFlightLimit()
        limit_count = self.view.fleet.connection_limit_count(record)
        pool = EndpointPool(settings.pool, limit_count, record.slots_count)
        self.monitor = StatementMonitor(
            settings.health, self.now_ms, self._change_health
        )
        self.connections = ConnectionManager(
            pool,
            self._open_link,
            self.now_ms,
            self.monitor.record_response,
            self.monitor.record_timeout,
            self.monitor.record_attempt,
        )
        self.monitor.attach(self.connections)
        admission = settings.admission
        self.slots = SlotQueue(
            AdmissionQueue(record.slots_count, admission), self.now_ms
        )
        self.blocks = SlotQueue(
            AdmissionQueue(record.slots_count, admission), self.now_ms
        )
        self.positions = StatementPositions(
            self.endpoint,
            self.view,
            PrimaryPositions(self.borrow, self.record_demotion),
            GroupFloors(
                self.group,
                self.view,
                lambda daemon: self._find_executor(daemon),
                self.now_ms,
            ),
        )

    async def _open_link(self):
        connection = await self._open(self._address, self.group, self.endpoint)
        return TrackedConnection(
            connection, self.now_ms, self._in_flight_limit.record_round_trip
        )

    def _make_stream(self, header, request):
        return StatementStream(self, header, request)

    def _tick_work(self):
        self.slots.tick()
        self.blocks.tick()

    def _on_term_change(self):
        """Take a new term; the endpoint itself refuses what is outdated."""
        group = self.view.group(self.group)
        if group is None:
            return
        # A report from before the promotion must not end the new term.
        seen = (group.term, group.phase)
        if seen != self._seen_term:
            self._seen_term = seen
            self.is_demoted = False

    def _update_endpoint(self):
        super()._update_endpoint()
        self._set_limits()

    def _set_limits(self):
        """Set the limits that follow from the owner's part in the fleet."""
        record = self.view.endpoint(self.endpoint)
        if record is None:
            return
        limit_count = self.view.fleet.connection_limit_count(record)
        usable_count = max(2, limit_count - _RESERVED_COUNT)
        pool = self.connections.pool
        if self.view.owns(self.endpoint):
            pool.limit_count = usable_count
            pool.warm_count = None
        elif self._is_temporary:
            pool.limit_count = _TEMPORARY_OWNER_LIMIT_COUNT
            pool.warm_count = _STANDBY_WARM_COUNT
        else:
            pool.limit_count = max(2, int(_STANDBY_FRACTION * usable_count))
            pool.warm_count = _STANDBY_WARM_COUNT
        queue = self.slots.queue
        slots_count = self._in_flight_limit.limit_count(
            record.slots_count, queue.service_ms
        )
        slots_count = min(slots_count, pool.limit_count)
        queue.slots_count = slots_count
        # A single statement always finds a connection beside the blocks.
        blocks_count = max(1, pool.limit_count - slots_count)
        self.blocks.queue.slots_count = blocks_count

    def _set_tables(self):
        rows = {}
        for pool in self.view.fleet.pools_of(self.group):
            policy = pool.table.policy
            if policy is not None:
                rows[policy.urgency_index] = pool.table.rows[0]
        ordered = tuple(rows[index] for index in sorted(rows))
        table = PoolTable(_GROUP_TABLE, self.group, ordered)
        self.slots.queue.set_tables([table] if ordered else [])
        blocks_count = self.blocks.queue.slots_count
        self.blocks.queue.set_tables(
            [_limit_blocks(table, blocks_count)] if ordered else []
        )

    @property
    def _is_temporary(self):
        """Whether this proxy serves without an assignment."""
        return self.is_temporary_owner(self.endpoint)

    def _is_named(self):
        assignment = self.view.assignment(self.endpoint)
        if assignment is None:
            return False
        return self.view.daemon in (assignment.owner, assignment.standby)

    def _check_ownership(self):
        self.monitor.health.is_standby = not self.view.owns(self.endpoint)
        self._set_limits()
        if self._is_named() or self._is_temporary:
            self._enable()
            self.connections.shrink()
        elif self._is_enabled:
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


def _limit_blocks(table, blocks_count):
    """Return the table with a limit for all but the most urgent blocks."""
    limit_count = max(1, blocks_count - _URGENT_COUNT)
    limited = [
        dataclasses.replace(row, limit_count=limit_count)
        for row in table.rows[1:]
    ]
    return dataclasses.replace(table, rows=(table.rows[0], *limited))
