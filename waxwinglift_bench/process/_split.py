"""Baseline policy with a fixed share of the connections for each proxy.

Requests are served in order of arrival, without ranks, refusal on arrival or
ownership of endpoints.
"""

import collections

from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift_bench.process._owner import QuorumWait
from waxwinglift_bench.request._requests import AttemptOutcome


class SplitProxy:
    """Proxy with connections of its own to all servers."""

    def __init__(self, world, proxy):
        self.proxy = proxy
        self.is_live = True
        self._world = world
        self._simulation = world.simulation
        self._data_centre = world.fleet.daemons[proxy].location.data_centre
        limit_count = world.deployment.connection_limit_count
        share_count = limit_count // world.deployment.proxy_count
        self._free_counts = dict.fromkeys(world.servers, share_count)
        self._queues = collections.defaultdict(collections.deque)
        self._quorum_waits = {}
        self._waiting = []

    def submit(self, request):
        """Serve a request; call its ``done`` once if the server answers."""
        group = self._world.fleet.groups[request.group]
        target = group.primary
        if not request.is_write:
            target = self._pick_read_target(request)
        if target is None:
            self._refuse(request)
        else:
            self._enqueue(request, target)

    def stop(self):
        """Cut the proxy off."""
        self.is_live = False

    def on_fleet_change(self):
        """Discard the quorum waits, as a primary may have been replaced."""
        self._quorum_waits = {}

    def on_peer_lost(self, peer):
        """Do nothing, because requests never go through other proxies."""

    def _pick_read_target(self, request):
        group = self._world.fleet.groups[request.group]
        replicas = [
            endpoint
            for endpoint, server in self._world.servers.items()
            if endpoint.startswith(request.group) and not server.is_primary
        ]
        replica = self._world.rng.choice(replicas)
        position = self._world.servers[replica].position()
        is_stale = request.floor is not None and position < request.floor
        return group.primary if is_stale else replica

    def _enqueue(self, request, target):
        now_ms = self._simulation.now_ms
        self._world.statistics.record_enqueue(target, request, now_ms)
        self._queues[target].append(request)
        self._start_next(target)

    def _start_next(self, target):
        queue = self._queues[target]
        while queue and self._free_counts[target] > 0:
            request = queue.popleft()
            if self._simulation.now_ms > request.deadline_ms:
                self._world.record_refusal(target, request)
                self._refuse(request)
                continue
            self._free_counts[target] -= 1
            self._run(request, target)

    def _run(self, request, target):
        server = self._world.servers[target]
        data_centre = self._world.fleet.endpoints[target].location.data_centre
        delay_ms = self._world.deployment.delay_ms(
            self._data_centre, data_centre
        )

        def on_end(position):
            self._simulation.call_after(
                delay_ms, self._on_ended, request, target, position
            )

        if not server.is_up:
            self._free_counts[target] += 1
            self._refuse(request)
            return
        self._simulation.call_after(delay_ms, server.run, request, on_end)

    def _on_ended(self, request, target, position):
        self._free_counts[target] += 1
        self._start_next(target)
        server = self._world.servers[target]
        if not server.is_primary:
            request.done(AttemptOutcome(None, position, by_replica=True))
            return
        if request.group not in self._quorum_waits:
            self._quorum_waits[request.group] = QuorumWait(
                self._world, request.group
            )
        self._quorum_waits[request.group].hold(
            request,
            position,
            lambda failure, quorum_wait_ms: request.done(
                AttemptOutcome(failure, position)
            ),
        )

    def _refuse(self, request):
        failure = not_run(
            FailureCode.REJECTED, "server down or deadline passed"
        )
        request.done(AttemptOutcome(failure))
