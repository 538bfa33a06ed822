"""Baseline: each proxy has a fixed share of the connections, in order of
arrival, without ranks, early refusal or ownership."""

import collections

from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift_bench.process._owner import QuorumGate
from waxwinglift_bench.request._requests import Outcome


class SplitEntry:
    """A proxy that uses its own connections to all servers."""

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
        self._gates = {}
        self._waiting = []

    def submit(self, request):
        """Serve a request; its ``done`` is called once."""
        group = self._world.fleet.groups[request.group]
        target = group.primary
        if not request.is_write:
            target = self._pick_replica(request)
        if target is None:
            self._refuse(request)
        else:
            self._enqueue(request, target)

    def stop(self):
        """Be cut off."""
        self.is_live = False

    def fleet_changed(self):
        """Drop the gates of replaced primaries."""
        self._gates = {}

    def lose_peer(self, peer):
        """Other proxies are not used."""

    def _pick_replica(self, request):
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
        self._world.statistics.record_offer(target, request, now_ms)
        self._queues[target].append(request)
        self._start_next(target)

    def _start_next(self, target):
        queue = self._queues[target]
        while queue and self._free_counts[target] > 0:
            request = queue.popleft()
            if self._simulation.now_ms > request.deadline_ms:
                self._world.record_loss(target, request)
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

        def ended(position):
            self._simulation.after(
                delay_ms, self._ended, request, target, position
            )

        if not server.is_up:
            self._free_counts[target] += 1
            self._refuse(request)
            return
        self._simulation.after(delay_ms, server.run, request, ended)

    def _ended(self, request, target, position):
        self._free_counts[target] += 1
        self._start_next(target)
        server = self._world.servers[target]
        if not server.is_primary:
            request.done(Outcome(None, position, by_replica=True))
            return
        if request.group not in self._gates:
            self._gates[request.group] = QuorumGate(self._world, request.group)
        self._gates[request.group].hold(
            request,
            position,
            lambda failure, quorum_wait_ms: request.done(
                Outcome(failure, position)
            ),
        )

    def _refuse(self, request):
        failure = not_run(FailureCode.REJECTED, "deadline passed")
        request.done(Outcome(failure))
