"""Starts and stops the owners of endpoints at one proxy."""

import asyncio
from collections.abc import Callable
import logging
import random

from opentelemetry import trace
from result import Err
from result import Ok
from result import Result

from waxwinglift.connection import HealthState
from waxwinglift.connection._protocol_registry import find_endpoint_protocol
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._connection_division import CONNECTION_DIVISIONS
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._data_path_types import Sink
from waxwinglift.process._data_path_types import TransactionStream
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._group_load import GroupLoads
from waxwinglift.process._loop_lag import LoopLag
from waxwinglift.process._owner import EndpointOwner
from waxwinglift.process._types import DaemonId
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._load_shedder import LoadShedder
from waxwinglift.request._quota import QuotaAnswer
from waxwinglift.request._quota import QuotaHome
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version._types import WorkspaceName
from waxwinglift.version._workspace_homes import WorkspaceHomes

logger = logging.getLogger(__name__)

_NOT_OWNER_MESSAGE = "this proxy does not own the endpoint"

# Idle time after which a temporary owner releases its endpoint.
_TEMPORARY_OWNER_IDLE_MS = 5000.0


class OwnerSet:
    """Starts and stops owners and standby owners as the fleet requires.

    This is the executor of the local proxy: the entry side calls it
    directly, PeerService calls it for other proxies.

    Parameters
    ----------
    settings : OwnerSettings
    view : FleetView
    now_ms : callable
    metrics : Metrics
    tracer : opentelemetry.trace.Tracer
    on_health : callable
        Called with the endpoint and each new HealthState.
    shares_load : bool
        Whether the loads of endpoints are exchanged with other proxies.
    """

    # The local executor always answers.
    is_unresponsive = False

    def __init__(
        self,
        settings: OwnerSettings,
        view: FleetView,
        *,
        now_ms: Callable[[], float] = monotonic_ms,
        metrics: Metrics | None = None,
        tracer: trace.Tracer | None = None,
        on_health: Callable[[EndpointId, HealthState], None] | None = None,
        shares_load: bool = False,
    ):
        self._settings = settings
        self._view = view
        self._options = {
            "now_ms": now_ms,
            "metrics": metrics,
            "tracer": tracer,
            "on_health": on_health,
        }
        self._owners: dict[EndpointId, EndpointOwner] = {}
        self._stopping: set[asyncio.Task] = set()
        self._is_draining = False
        self._is_stopped = False
        self._now_ms = now_ms
        self.load_shedder = LoadShedder(settings.shedding, random.Random())
        self._loop_lag = LoopLag(
            self.load_shedder, now_ms, metrics or NoMetrics()
        )
        self._options["awake_ms"] = self._loop_lag.awake_ms
        self.loads: GroupLoads | None = None
        if shares_load:
            self.loads = GroupLoads(
                view, self.owner, now_ms, metrics or NoMetrics()
            )
            self.loads.find_executor = lambda d: self.find_executor(d)
        # Endpoints that this proxy serves although they are assigned to other
        # proxies, and the time of their last request.
        self._temporary_endpoints: dict[EndpointId, float] = {}
        # Returns the executor of another proxy; set after construction.
        self.find_executor = _find_no_executor
        self._tick_timer: asyncio.TimerHandle | None = None
        self._homes = WorkspaceHomes(lambda: view.fleet, now_ms)
        self._quota_home = QuotaHome(view.daemon, settings.quota, self._homes)

    def start(self):
        """Start the owners and their timers, and react to fleet changes."""
        # Loads the protocol's code before the first endpoint is assigned.
        _ = find_endpoint_protocol(self._settings.protocol).owner_class
        self._view.add_listener(self._homes.update)
        self._view.add_listener(self._reconcile)
        self._reconcile()
        self._schedule_tick()

    async def stop(self):
        """Close all connections at once."""
        self._is_stopped = True
        self._view.remove_listener(self._reconcile)
        self._view.remove_listener(self._homes.update)
        if self.loads is not None:
            self.loads.close()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        owners = list(self._owners.values())
        self._owners.clear()
        for owner in owners:
            await owner.stop()
        if self._stopping:
            await asyncio.wait(self._stopping)

    async def drain(self, waited_ms: float = 0.0):
        """Refuse new transactions and wait for those that are open.

        Owners that are started afterwards refuse transactions too.
        ``waited_ms`` is the time since the start of the shutdown, which counts
        towards the time limits.
        """
        self._is_draining = True
        owners = list(self._owners.values())
        await asyncio.gather(*(owner.drain(waited_ms) for owner in owners))

    def owner(self, endpoint: EndpointId) -> EndpointOwner | None:
        """Return the local owner or standby owner of an endpoint, or None."""
        return self._owners.get(endpoint)

    def health(self) -> dict[EndpointId, HealthState]:
        """Return the health of each endpoint that this proxy probes."""
        return {
            endpoint: owner.health for endpoint, owner in self._owners.items()
        }

    def released(self) -> set[EndpointId]:
        """Return the endpoints whose serving connections are closed."""
        return {
            endpoint
            for endpoint, owner in self._owners.items()
            if owner.is_released
        }

    def open(self, header: ExecuteHeader) -> TransactionStream:
        """Return the stream of a new transaction."""
        owner = self._owners.get(header.endpoint)
        if owner is None and header.to_standby:
            owner = self._open_temporary_owner(header.endpoint)
        return _NoOwner() if owner is None else owner.open(header)

    async def group_position(
        self, group: GroupName, term: Term
    ) -> Result[Position, Failure]:
        """Return a position that includes every acknowledged write."""
        record = self._view.group(group)
        primary = None if record is None else record.primary
        owner = self._owners.get(primary)
        if owner is None:
            return Err(not_run(FailureCode.NOT_OWNER, _NOT_OWNER_MESSAGE))
        return await owner.group_position(group, term)

    async def take_quota(
        self, workspace: WorkspaceName
    ) -> Result[QuotaAnswer, Failure]:
        """Let a workspace whose home is this proxy start one operation."""
        now_ms = self._now_ms()
        return Ok(self._quota_home.take(self._view.fleet, workspace, now_ms))

    def _schedule_tick(self):
        settings = self._settings
        is_busy = any(owner.is_busy for owner in self._owners.values())
        interval_ms = settings.tick_ms if is_busy else settings.idle_tick_ms
        self._loop_lag.expect(interval_ms)
        loop = asyncio.get_running_loop()
        self._tick_timer = loop.call_later(interval_ms / 1000, self._tick)

    def _tick(self):
        # All endpoints share one timer, because waking the process up is most
        # of the cost of an idle endpoint.
        self._loop_lag.observe()
        self._schedule_tick()
        if self._temporary_endpoints:
            self._release_temporary_endpoints()
        for owner in list(self._owners.values()):
            owner.tick()
        if self.loads is not None:
            self.loads.report(self._owners)

    def temporary_owners(self, endpoint: EndpointId) -> tuple[DaemonId, ...]:
        """Return the proxies that may serve without an assignment."""
        record = self._view.endpoint(endpoint)
        if record is None:
            return ()
        division = CONNECTION_DIVISIONS[self._settings.connection_division]
        return division().temporary_owners(self._view, record)

    def _open_temporary_owner(self, endpoint):
        """Serve an endpoint that is not assigned to this proxy.

        Its owner and standby owner cannot be reached.  Only allowed for
        groups whose servers reject outdated requests themselves, and for
        the few proxies that have a share of the endpoint's connections.
        """
        record = self._view.endpoint(endpoint)
        group = None if record is None else self._view.group(record.group)
        if group is None or not group.is_server_fenced:
            return None
        if self._view.daemon not in self.temporary_owners(endpoint):
            return None
        if endpoint not in self._temporary_endpoints:
            logger.info(
                "serving an endpoint whose owners cannot be reached",
                extra={"endpoint": endpoint},
            )
        self._temporary_endpoints[endpoint] = self._now_ms()
        self._reconcile()
        return self._owners.get(endpoint)

    def _release_temporary_endpoints(self):
        """Release endpoints of temporary owners without recent requests."""
        oldest_ms = self._now_ms() - _TEMPORARY_OWNER_IDLE_MS
        idle = [
            e
            for e, requested_ms in self._temporary_endpoints.items()
            if requested_ms < oldest_ms
        ]
        for endpoint in idle:
            del self._temporary_endpoints[endpoint]
        if idle:
            self._reconcile()

    def _reconcile(self):
        # An owner that stops reports that it has released its connections.
        if self._is_stopped:
            return
        required = self._required_endpoints()
        for endpoint in [e for e in self._owners if e not in required]:
            # An owner that is still finishing transactions is stopped later.
            if self._owners[endpoint].is_released:
                self._stop(self._owners.pop(endpoint))
        for endpoint in required - self._owners.keys():
            protocol = find_endpoint_protocol(self._settings.protocol)
            owner = protocol.owner_class(
                endpoint,
                self._settings,
                self._view,
                on_released=self._reconcile,
                **self._options,
            )
            owner.is_temporary_owner = self._temporary_endpoints.__contains__
            owner.load_shedder = self.load_shedder
            protocol.attach(owner, self.find_executor)
            self._owners[endpoint] = owner
            if self._is_draining:
                owner.start_drain()
            owner.start()

    def _required_endpoints(self):
        view = self._view
        return {
            endpoint
            for endpoint, assignment in view.fleet.owners.items()
            if endpoint in view.fleet.endpoints
            and (
                view.daemon in (assignment.owner, assignment.standby)
                or endpoint in self._temporary_endpoints
            )
        }

    def _stop(self, owner):
        task = asyncio.ensure_future(owner.stop())
        self._stopping.add(task)
        task.add_done_callback(self._stopping.discard)


def _find_no_executor(daemon):
    return None


class _NoOwner:
    """Stream of an endpoint that this proxy does not own."""

    async def run(self, exchange: Exchange, sink: Sink) -> ExchangeEnd:
        """Refuse the exchange."""
        failure = not_run(FailureCode.NOT_OWNER, _NOT_OWNER_MESSAGE)
        return ExchangeEnd(failure=failure, is_stale_owner=True)

    def cancel(self):
        """Do nothing."""

    async def close(self):
        """Do nothing."""
