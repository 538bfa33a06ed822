"""Service of a proxy."""

import asyncio
import contextlib
import logging

import mode

from waxwinglift.connection import HealthState
from waxwinglift.process import _readiness
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._control_link import ControlLink
from waxwinglift.process._entry_server import EntryServer
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._owner_set import OwnerSet
from waxwinglift.process._observability import serving_metrics
from waxwinglift.process._peer_client import PeerClients
from waxwinglift.process._peer_service import PeerServer
from waxwinglift.process._peer_service import PeerService
from waxwinglift.process._types import DaemonId
from waxwinglift.process._types import Location
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._view_age import ViewAge

logger = logging.getLogger(__name__)

# Longest time that a shutdown waits for endpoints to move to other proxies.
HANDOVER_TIMEOUT_S = 5.0
# Time without progress after which an endpoint is reported as stalled; as long
# as the default of ``HealthSettings.down_after_ms``.
STALL_LIMIT_MS = 600.0
# Part of the largest age of a state by which keys are accepted, from which on
# callers are sent to other proxies.
_UNCONFIRMED_FRACTION = 0.5


@contextlib.asynccontextmanager
async def _serving_peers(service, address):
    server = PeerServer([service])
    await server.start(address.host, address.port)
    try:
        yield server
    finally:
        server.close()
        await server.wait_closed()


class EndpointReports:
    """State of the endpoints that a proxy reports with each renewal."""

    def __init__(self, view, owners):
        self._view = view
        self._owners = owners

    def down_endpoints(self):
        """Return the probed endpoints that are down, demoted or stalled."""
        reports = []
        for endpoint, state in self._owners.health().items():
            term = self._term_of(endpoint)
            owner = self._owners.owner(endpoint)
            if state is HealthState.DOWN or owner.is_demoted:
                reports.append(DownEndpoint(endpoint, term))
            elif self._is_stalled(endpoint):
                reports.append(DownEndpoint(endpoint, term, True))
        return tuple(reports)

    def _is_stalled(self, endpoint):
        positions = self._owners.owner(endpoint).positions
        return positions.stalled_ms >= STALL_LIMIT_MS

    def _term_of(self, endpoint):
        record = self._view.endpoint(endpoint)
        group = None if record is None else self._view.group(record.group)
        return 0 if group is None else group.term

    def released_endpoints(self):
        """Return the handed-over endpoints without a connection here."""
        return tuple(
            endpoint
            for endpoint, assignment in self._view.fleet.owners.items()
            if assignment.previous == self._view.daemon
            and self._is_released(endpoint)
        )

    def _is_released(self, endpoint):
        owner = self._owners.owner(endpoint)
        return owner is None or owner.is_released


class ProxyService(mode.Service):
    """One proxy.

    Parameters
    ----------
    settings : ProxySettings
        Settings of the proxy.
    metrics : object
        Metrics backend.
    tracer : opentelemetry.trace.Tracer
        Source of spans.
    """

    def __init__(self, settings, metrics, tracer):
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        location = settings.location
        self.lease = DaemonLease()
        view_age = ViewAge()
        self.view = FleetView(
            DaemonId(settings.daemon),
            Location(location.data_centre, location.region),
            lambda: self.lease.is_live(monotonic_ms()),
            age_ms=lambda: view_age.age_ms(monotonic_ms()),
        )
        options = {"metrics": metrics, "tracer": tracer}
        self.owners = OwnerSet(
            settings.owner,
            self.view,
            on_health=self._on_health,
            shares_load=settings.entry.routing.server_policy == "load",
            **options,
        )
        loads = self.owners.loads
        self.peers = PeerClients(
            self.view, self.owners, settings.compresses_between_regions
        )
        self.owners.find_executor = self.peers.executor_for
        self.entry = EntryServer(
            settings.entry,
            self.view,
            self.peers,
            loads=None if loads is None else loads.book,
            **options,
        )
        self.link = ControlLink(
            settings,
            self.view,
            self.lease,
            view_age,
            EndpointReports(self.view, self.owners),
            metrics,
            tracer,
        )
        self._is_stopping = False

    async def on_start(self):
        """Serve peers and callers, then start the link to control daemons."""
        settings = self.settings
        service = PeerService(
            self.owners, self.entry.find_statement, self.owners.loads
        )
        await self.add_async_context(
            _serving_peers(service, settings.peer_listen)
        )
        if settings.ready_listen is not None:
            await self.add_async_context(
                _readiness.serving_readiness(
                    settings.ready_listen, self.check_readiness
                )
            )
        await self.add_async_context(
            serving_metrics(settings.observability, self.metrics)
        )
        self.owners.start()
        await self.entry.start()
        # A crash of the link stops the proxy, whose lease would expire.
        await self.add_runtime_dependency(self.link)
        logger.info("serving callers at %s", self.entry.address)

    async def on_stop(self):
        """Drain: hand over endpoints and finish open work, then stop."""
        self._is_stopping = True
        self.link.is_draining = True
        self.link.request_renewal()
        limit_s = self.settings.timing.drain_timeout_ms / 1000
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.gather(self.entry.drain(), self._drain_owners())
        except TimeoutError:
            logger.warning("drain timed out; aborting open transactions")
        await self.entry.stop()
        await self.owners.stop()
        await self.link.stop()
        self.peers.close()
        logger.info("stopped")

    async def _drain_owners(self):
        """Finish the transactions of all proxies at the local owners.

        New callers still come while the entry lingers, and a standby owner or
        temporary owner may be the only one that serves them.
        """
        started_ms = monotonic_ms()
        linger_s = self.entry.settings.drain_linger_ms / 1000
        await asyncio.gather(
            asyncio.sleep(linger_s), self._wait_for_handover()
        )
        await self.owners.drain(monotonic_ms() - started_ms)

    async def _wait_for_handover(self):
        """Wait for the endpoints to move to other proxies.

        At most until the limit for open transactions: the time after it is
        left for the statements that run at the owners.
        """
        block_limit_s = self.entry.settings.drain_timeout_ms / 1000
        limit_s = min(HANDOVER_TIMEOUT_S, block_limit_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self._owns_any():
                    await self.view.wait_for_change(100)

    def _owns_any(self):
        return any(
            assignment.owner == self.view.daemon
            for assignment in self.view.fleet.owners.values()
        )

    def _on_health(self, endpoint, state):
        logger.info("endpoint %s is %s", endpoint, state.value)
        self.link.request_renewal()

    def _may_serve(self):
        """Return whether requests can be served safely.

        If all servers reject outdated requests themselves, a proxy needs no
        lease, only a fleet state that it has received once.
        """
        if self.lease.is_live(monotonic_ms()):
            return True
        groups = self.view.fleet.groups.values()
        return bool(groups) and all(g.is_server_fenced for g in groups)

    def _needs_other_proxy(self):
        """Return whether callers need another proxy to reach a primary.

        This is so without a lease, if an owner has recently refused a request
        as outdated.
        """
        if self.lease.is_live(monotonic_ms()):
            return False
        return self.entry.context.has_recent_primary_refusal()

    def _are_keys_unconfirmed(self):
        """Return whether callers with a key should use another proxy.

        Load balancers need some time to notice, so this is so before the
        proxy refuses keys.
        """
        limit_ms = self.settings.entry.view_age_limit_ms
        if not limit_ms or not self.view.fleet.workspaces:
            return False
        return self.view.age_ms() > _UNCONFIRMED_FRACTION * limit_ms

    def check_readiness(self):
        """Return whether callers should be sent here, and the reason."""
        return _readiness.check_readiness(
            self._is_stopping,
            self._may_serve(),
            set(self.owners.health().values()),
            self._needs_other_proxy(),
            self._are_keys_unconfirmed(),
        )
