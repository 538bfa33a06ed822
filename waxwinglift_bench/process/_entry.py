"""Entry side of the simulated proxies, around the real decisions."""

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
from waxwinglift_bench.request._requests import Outcome

# A peer that is silent for this long counts as gone.
PEER_TIMEOUT_MS = 300.0


@dataclasses.dataclass(slots=True)
class _Flight:
    request: object
    route: object


class EntrySide:
    """Routes the requests of the sessions of one proxy."""

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
        self._flights = {}
        self._deferred = []
        self._gone_peers = set()

    @property
    def data_centre(self):
        """Data centre of the proxy."""
        return self._location.data_centre

    def submit(self, request):
        """Serve a request; its ``done`` is called once."""
        self._budgets[request.group].record_request()
        self._dispatch(request)

    def stop(self):
        """Be cut off: callers see their connections break."""
        self.is_live = False
        flights, self._flights = self._flights, {}
        for flight in flights.values():
            failure = may_have_run("proxy lost")
            self._end(flight.request, Outcome(failure))
        for request in self._deferred:
            failure = not_run(FailureCode.UNAVAILABLE, "proxy lost")
            self._end(request, Outcome(failure))
        self._deferred = []

    def lose_peer(self, peer):
        """Fail what was sent to a silent peer and send it nothing more."""
        self._gone_peers.add(peer)
        lost = [f for f in self._flights.values() if f.route.owner == peer]
        for flight in lost:
            failure = may_have_run("owner is silent")
            self._receive(flight.request, flight.route, Outcome(failure))

    def fleet_changed(self):
        """Dispatch the requests that waited for a usable endpoint."""
        deferred, self._deferred = self._deferred, []
        for request in deferred:
            self._dispatch(request)

    def _dispatch(self, request):
        now_ms = self._simulation.now_ms
        if not self.is_live:
            failure = not_run(FailureCode.UNAVAILABLE, "proxy lost")
            self._end(request, Outcome(failure))
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
        """Wait for a change of the fleet until the deadline."""
        if failure.code is not FailureCode.UNAVAILABLE:
            self._end(request, Outcome(failure))
            return
        request.excluded = frozenset()
        self._deferred.append(request)
        self._simulation.at(
            request.deadline_ms, self._give_up, request, failure
        )

    def _give_up(self, request, failure):
        if request in self._deferred:
            self._deferred.remove(request)
            self._end(request, Outcome(failure))

    def _send(self, request, route):
        endpoint_stats = self._endpoint_stats[request.group]
        if route.owner in self._gone_peers:
            failure = not_run(FailureCode.UNAVAILABLE, "owner is gone")
            endpoint_stats.observe_failure(
                route.endpoint, failure, self._simulation.now_ms
            )
            self._fail(request, route, Outcome(failure))
            return
        endpoint_stats.observe_start(route.endpoint, self._simulation.now_ms)
        request.wait_limit_ms = route.wait_limit_ms
        request.sent_ms = self._simulation.now_ms
        self._flights[request.number] = _Flight(request, route)
        delay_ms = self._delay_ms(route)
        self._simulation.after(delay_ms, self._deliver, request, route)

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
            self._simulation.after(
                self._delay_ms(route), self._receive, request, route, outcome
            )

        owner.execute(request, reply)

    def _receive(self, request, route, outcome):
        flight = self._flights.get(request.number)
        if flight is None or flight.route is not route:
            return
        del self._flights[request.number]
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
            True,
            False,
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
        self._simulation.after(delay_ms, self._dispatch, request)

    def _end(self, request, outcome):
        if not request.is_ended:
            request.is_ended = True
            request.done(outcome)
