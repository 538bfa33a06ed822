"""Simulated entry proxy that uses the real routing and retry decisions."""

import dataclasses

from waxwinglift.request import Access
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.request._retry import decide_retry
from waxwinglift.request._retry import retry_delay_ms
from waxwinglift.request._retry import RetryBudget
from waxwinglift.request._retry import RetryDecision
from waxwinglift.request._routing import choose_route
from waxwinglift.request._routing import EndpointStats
from waxwinglift.request._routing import RouteRequest
from waxwinglift_bench.request._requests import AttemptOutcome

# Time without an answer after which a peer is considered lost.
PEER_TIMEOUT_MS = 300.0


@dataclasses.dataclass(slots=True)
class _Attempt:
    request: object
    route: object


class SimulatedEntry:
    """Routes the requests of the sessions at one proxy."""

    def __init__(self, world, proxy):
        self.proxy = proxy
        self.is_live = True
        self._world = world
        self._simulation = world.simulation
        self._location = world.fleet.daemons[proxy].location
        self._endpoint_stats = {
            group: EndpointStats(world.variant.routing)
            for group in world.fleet.groups
        }
        self._budgets = {
            group: RetryBudget(world.variant.retry)
            for group in world.fleet.groups
        }
        self._attempts = {}
        self._deferred = []
        self._lost_peers = set()

    @property
    def data_centre(self):
        """Data centre in which the proxy runs."""
        return self._location.data_centre

    def submit(self, request):
        """Serve a request and call its ``done`` exactly once."""
        self._budgets[request.group].record_request()
        self._dispatch(request)

    def stop(self):
        """Cut the proxy off and fail all its requests."""
        self.is_live = False
        attempts, self._attempts = self._attempts, {}
        for attempt in attempts.values():
            failure = may_have_run("proxy lost")
            self._end(attempt.request, AttemptOutcome(failure))
        for request in self._deferred:
            failure = not_run(FailureCode.UNAVAILABLE, "proxy lost")
            self._end(request, AttemptOutcome(failure))
        self._deferred = []

    def on_peer_lost(self, peer):
        """Fail the requests at a peer that was cut off; send no more."""
        self._lost_peers.add(peer)
        lost = [a for a in self._attempts.values() if a.route.owner == peer]
        for attempt in lost:
            failure = may_have_run("owner does not respond")
            self._receive(
                attempt.request, attempt.route, AttemptOutcome(failure)
            )

    def on_fleet_change(self):
        """Dispatch the requests that wait for a usable endpoint."""
        deferred, self._deferred = self._deferred, []
        for request in deferred:
            self._dispatch(request)

    def _dispatch(self, request):
        now_ms = self._simulation.now_ms
        if not self.is_live:
            failure = not_run(FailureCode.UNAVAILABLE, "proxy lost")
            self._end(request, AttemptOutcome(failure))
            return
        access = Access.WRITE if request.is_write else Access.READ
        result = choose_route(
            RouteRequest(
                access,
                request.floor,
                request.max_age_ms,
                request.deadline_ms,
                request.excluded,
                request.rank == self._world.urgent_rank,
                request.was_rejected,
            ),
            self._world.view(request.group, self._location),
            self._endpoint_stats[request.group],
            self._world.variant.routing,
            now_ms,
            self._world.rng,
        )
        if result.is_ok():
            self._send(request, result.unwrap())
        else:
            self._defer(request, result.unwrap_err())

    def _defer(self, request, failure):
        """Defer a request until the fleet changes or its deadline passes.

        A failure with another code than UNAVAILABLE ends the request.
        """
        if failure.code is not FailureCode.UNAVAILABLE:
            self._end(request, AttemptOutcome(failure))
            return
        request.excluded = frozenset()
        self._deferred.append(request)
        self._simulation.call_at(
            request.deadline_ms, self._expire, request, failure
        )

    def _expire(self, request, failure):
        if request in self._deferred:
            self._deferred.remove(request)
            self._end(request, AttemptOutcome(failure))

    def _send(self, request, route):
        endpoint_stats = self._endpoint_stats[request.group]
        if route.owner in self._lost_peers:
            failure = not_run(FailureCode.UNAVAILABLE, "owner was lost")
            endpoint_stats.observe_failure(
                route.endpoint, failure, self._simulation.now_ms
            )
            self._fail(request, route, AttemptOutcome(failure))
            return
        endpoint_stats.observe_start(route.endpoint, self._simulation.now_ms)
        request.wait_limit_ms = route.wait_limit_ms
        request.sent_ms = self._simulation.now_ms
        self._attempts[request.number] = _Attempt(request, route)
        delay_ms = self._delay_ms(route)
        self._simulation.call_after(delay_ms, self._deliver, request, route)

    def _delay_ms(self, route):
        if route.owner == self.proxy:
            return 0.0
        data_centre = self._world.fleet.daemons[
            route.owner
        ].location.data_centre
        return self._world.deployment.delay_ms(self.data_centre, data_centre)

    def _deliver(self, request, route):
        owner = self._world.owners[route.endpoint]
        if owner.proxy != route.owner:
            return

        def reply(outcome):
            self._simulation.call_after(
                self._delay_ms(route), self._receive, request, route, outcome
            )

        owner.execute(request, reply)

    def _receive(self, request, route, outcome):
        attempt = self._attempts.get(request.number)
        if attempt is None or attempt.route is not route:
            return
        del self._attempts[request.number]
        self._observe(request, route, outcome)
        if outcome.failure is None:
            self._end(request, outcome)
        else:
            self._fail(request, route, outcome)

    def _observe(self, request, route, outcome):
        now_ms = self._simulation.now_ms
        endpoint_stats = self._endpoint_stats[request.group]
        if outcome.failure is None:
            latency_ms = now_ms - request.sent_ms
            latency_ms -= outcome.floor_wait_ms + outcome.quorum_wait_ms
            endpoint_stats.observe_answer(
                route.endpoint,
                outcome.position,
                latency_ms,
                outcome.queue_wait_ms,
                now_ms,
            )
            return
        failure = None if outcome.is_behind else outcome.failure
        endpoint_stats.observe_failure(
            route.endpoint, failure, now_ms, outcome.position
        )

    def _fail(self, request, route, outcome):
        now_ms = self._simulation.now_ms
        budget = self._budgets[request.group]
        if outcome.is_behind:
            request.excluded |= {route.endpoint}
            self._dispatch(request)
            return
        decision = decide_retry(
            outcome.failure,
            request.attempt_count,
            True,  # was_sent
            False,  # has_key
            budget,
            now_ms,
            request.deadline_ms,
        )
        if decision is not RetryDecision.RETRY:
            self._end(request, outcome)
            return
        delay_ms = retry_delay_ms(
            request.attempt_count, budget.settings, self._world.rng
        )
        request.attempt_count += 1
        request.was_rejected = outcome.failure.code is FailureCode.REJECTED
        request.excluded |= {route.endpoint}
        self._simulation.call_after(delay_ms, self._dispatch, request)

    def _end(self, request, outcome):
        if not request.is_ended:
            request.is_ended = True
            request.done(outcome)
