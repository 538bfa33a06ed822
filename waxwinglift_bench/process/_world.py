"""Simulated deployment with servers, proxies, callers and statistics."""

import dataclasses
import random

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.process._policy_settings import RetrySettings
from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift.request._routing import build_group_view
from waxwinglift.version import EndpointId
from waxwinglift.version import Epoch
from waxwinglift.version import GroupPhase
from waxwinglift.version import Lsn
from waxwinglift.version import OwnerAssignment
from waxwinglift.version import Term
from waxwinglift_bench.process._callers import Callers
from waxwinglift_bench.process._deployment import build_fleet
from waxwinglift_bench.process._entry import SimulatedEntry
from waxwinglift_bench.process._entry import PEER_TIMEOUT_MS
from waxwinglift_bench.process._owner import make_admission_queue
from waxwinglift_bench.process._owner import SimulatedOwner
from waxwinglift_bench.process._servers import GroupLog
from waxwinglift_bench.process._servers import Server
from waxwinglift_bench.process._simulation import Simulation
from waxwinglift_bench.process._split import SplitProxy
from waxwinglift_bench.request._statistics import RunStatistics

WARM_UP_MS = 2000.0
# Time after the measurement window, in which requests that arrived in it can
# still end.
TAIL_MS = 2500.0


@dataclasses.dataclass(frozen=True)
class Variant:
    """Named set of policy settings."""

    name: str
    routing: RoutingSettings
    admission: AdmissionSettings
    retry: RetrySettings = RetrySettings()
    is_split: bool = False

    def make_queue(self, deployment):
        """Return a new admission queue for one endpoint."""
        return make_admission_queue(self.admission, deployment)


class World:
    """One simulation run; the same seed gives the same results."""

    def __init__(self, deployment, variant, duration_ms, seed):
        self.deployment = deployment
        self.variant = variant
        self.simulation = Simulation()
        # Separate generators give all policies the same arrivals.
        self.rng = random.Random(f"{seed} policy")
        self.load_rng = random.Random(f"{seed} load")
        self.fleet = build_fleet(deployment)
        self.logs = {group: GroupLog() for group in self.fleet.groups}
        self.servers = {
            endpoint: self._make_server(endpoint, seed)
            for endpoint in self.fleet.endpoints
        }
        self.until_ms = WARM_UP_MS + duration_ms
        self.statistics = RunStatistics(
            WARM_UP_MS,
            self.until_ms,
            2 * deployment.local_delay_ms,
            TAIL_MS,
        )
        self._views = {}
        self.owners = {}
        entry_class = SplitProxy if variant.is_split else SimulatedEntry
        self.entries = [entry_class(self, proxy) for proxy in self.proxies]
        if not variant.is_split:
            for endpoint, assignment in self.fleet.owners.items():
                self.owners[endpoint] = SimulatedOwner(
                    self, endpoint, assignment.owner
                )
        self.callers = Callers(self)

    @property
    def urgent_rank(self):
        """Most urgent rank of every pool."""
        return self.deployment.ranks[0].row.rank

    @property
    def proxies(self):
        """Ids of all proxies."""
        return list(self.fleet.daemons)

    def run(self):
        """Run the simulation, with time for the last requests to end."""
        self.callers.start()
        self.simulation.run(self.until_ms + TAIL_MS)

    def random_entry(self):
        """Return a random live proxy, as a load balancer does."""
        live = [entry for entry in self.entries if entry.is_live]
        return self.load_rng.choice(live)

    def view(self, group, location):
        """Return the view of a group, cached until the fleet changes."""
        key = (group, location)
        if key not in self._views:
            self._views[key] = build_group_view(self.fleet, group, location)
        return self._views[key]

    def flushed_lsns(self, group):
        """Return the flushed offset of each replica of a group."""
        return {
            endpoint: Lsn(server.flushed_lsn())
            for endpoint, server in self.servers.items()
            if self.fleet.endpoints[endpoint].group == group
            and not server.is_primary
        }

    def record_refusal(self, endpoint, request):
        """Record a request that the queue of an endpoint refused."""
        service_ms = self.deployment.service_ms * request.service_factor
        service_ms *= self.servers[endpoint].slow_factor
        self.statistics.record_refusal(
            endpoint, request, service_ms, self.simulation.now_ms
        )

    def cut_proxy(self, proxy, takeover_ms):
        """Cut a proxy off; standbys take over after ``takeover_ms``."""
        for endpoint, assignment in list(self.fleet.owners.items()):
            if assignment.owner == proxy and endpoint in self.owners:
                self.owners[endpoint].stop()
                self.simulation.call_after(
                    takeover_ms, self._take_over, endpoint
                )
        self.simulation.call_after(PEER_TIMEOUT_MS, self._detect_cut, proxy)

    def _detect_cut(self, proxy):
        for entry in self.entries:
            if entry.proxy == proxy:
                entry.stop()
            elif entry.is_live:
                entry.on_peer_lost(proxy)

    def _take_over(self, endpoint):
        old = self.fleet.owners[endpoint]
        epoch = Epoch(old.epoch + 1)
        self.fleet.owners[endpoint] = OwnerAssignment(
            endpoint, old.standby, None, epoch
        )
        self.owners[endpoint] = SimulatedOwner(self, endpoint, old.standby)
        self._notify_entries()

    def stop_primary(self, group, gap_ms):
        """Stop the primary of a group; writes resume after ``gap_ms``."""
        state = self.fleet.groups[group]
        server = self.servers[state.primary]
        server.stop()
        if state.primary in self.owners:
            self.owners[state.primary].on_server_lost()
        state.term_ends[state.term] = self.logs[group].position().lsn
        state.term = Term(state.term + 1)
        state.phase = GroupPhase.PROMOTING
        state.primary = EndpointId(f"{group}s1")
        self._notify_entries()
        self.simulation.call_after(gap_ms, self._resume_writes, group)

    def _resume_writes(self, group):
        state = self.fleet.groups[group]
        self.servers[state.primary].is_primary = True
        self.logs[group].term = state.term
        state.phase = GroupPhase.ACTIVE
        if state.primary in self.owners:
            self.owners[state.primary].become_primary()
        self._notify_entries()

    def _notify_entries(self):
        self._views = {}
        for entry in self.entries:
            if entry.is_live:
                entry.on_fleet_change()

    def _make_server(self, endpoint, seed):
        log = self.logs[self.fleet.endpoints[endpoint].group]
        rng = random.Random(f"{seed} {endpoint}")
        return Server(
            self.simulation,
            endpoint,
            self.deployment,
            log,
            rng,
            self._record_start,
        )

    def _record_start(self, endpoint, request, service_ms):
        self.statistics.record_start(
            endpoint, request, service_ms, self.simulation.now_ms
        )
