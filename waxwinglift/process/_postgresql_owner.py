"""Owner of one PostgreSQL endpoint."""

from pygwire.messages import BackendKeyData

from waxwinglift.connection import HealthState
from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.connection._backend import open_connection
from waxwinglift.connection._backend import send_cancel
from waxwinglift.connection._endpoint_pool import EndpointPool
from waxwinglift.connection._orphaned_sessions import MONITOR_NAME
from waxwinglift.connection._orphaned_sessions import OrphanTerminator
from waxwinglift.connection._owner_connections import ConnectionManager
from waxwinglift.connection._owner_connections import SlotQueue
from waxwinglift.connection._owner_monitor import EndpointMonitor
from waxwinglift.process._owner import EndpointOwner
from waxwinglift.process._owner_positions import EndpointPositions
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._owner_stream import OwnerStream
from waxwinglift.version import Term

# The monitoring connection, and the new one while it is replaced.
_MONITOR_CONNECTIONS_COUNT = 2
# Smallest connection limit that leaves one connection to the pool.
_MIN_LIMIT_COUNT = 3


class PostgresOwner(EndpointOwner):
    """Owner or standby owner of one PostgreSQL server."""

    # Term in which the table of idempotency keys is known to exist.
    key_table_term: Term | None = None

    def cancel_statement(self, key: BackendKeyData):
        """Send a cancel request for the statement of a connection."""
        timeout_ms = self.settings.pool.open_timeout_ms
        self._start_task(send_cancel(self._address, key, timeout_ms))

    def _make_stream(self, header, request):
        return OwnerStream(self, header, request)

    def _on_ownership_applied(self):
        if self.health is HealthState.UP:
            self._orphans.terminate_if_due(self.view.assignment(self.endpoint))

    def _build(self, record):
        settings = self.settings
        # EndpointPool leaves half of the limit to the next owner.  The
        # monitoring connections of both owners are subtracted first.
        monitors_count = 2 * _MONITOR_CONNECTIONS_COUNT
        limit_count = max(
            _MIN_LIMIT_COUNT, record.connection_limit_count - monitors_count
        )
        pool = EndpointPool(settings.pool, limit_count, record.slots_count)
        self.monitor = EndpointMonitor(
            settings.health,
            self._open_monitor_connection,
            self.awake_ms,
            self._mark_others_suspect,
            self._change_health,
            self._probe_idle_connection,
        )
        self._orphans = OrphanTerminator(
            self.monitor, lambda: self.connections.process_ids()
        )
        self.connections = ConnectionManager(
            pool,
            self._open_serving_connection,
            self.awake_ms,
            self.monitor.record_response,
            self.monitor.record_timeout,
        )
        queue = AdmissionQueue(record.slots_count, settings.admission)
        self.slots = SlotQueue(queue, self.now_ms)
        self.positions = EndpointPositions(
            self.endpoint, settings, self.view, self.monitor, self.now_ms
        )

    async def _open_monitor_connection(self):
        return await self._open_connection(MONITOR_NAME)

    async def _open_serving_connection(self, workspace):
        # All callers share one account at the endpoints.
        epoch = self.view.assignment(self.endpoint).epoch
        return await self._open_connection(
            self._orphans.application_name_for(epoch)
        )

    async def _open_connection(self, application_name):
        settings = self.settings
        account = EndpointAccount(
            settings.user,
            settings.password,
            settings.database or self.group,
            application_name,
        )
        limit_bytes = settings.answer_limit_bytes
        return await open_connection(self._address, account, limit_bytes)
