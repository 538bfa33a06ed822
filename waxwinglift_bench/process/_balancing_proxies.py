"""Entry proxies that choose endpoints by different rules."""

import dataclasses

from waxwinglift.process import Location
from waxwinglift.process import Registry
from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift.request import Access
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._endpoint_load import LoadBook
from waxwinglift.request._routing import build_group_view
from waxwinglift.request._routing import choose_route
from waxwinglift.request._routing import EndpointStats
from waxwinglift.request._routing import RouteRequest
from waxwinglift.request._routing_load import build_options
from waxwinglift.version import Position
from waxwinglift_bench.process._balancing_servers import REGIONS

AGE_LIMIT_MS = 1500.0
# One-way delays within a region and between regions.
DELAYS_MS = (0.5, 12.0)

# Rules by name; each is called like `choose_route` and returns an endpoint or
# None.
RULES = Registry()
_rule = RULES.register


@_rule("latency")
def _by_latency(request, view, stats, now_ms, rng):
    settings = RoutingSettings()
    return _endpoint(choose_route(request, view, stats, settings, now_ms, rng))


@_rule("load")
def _by_load(request, view, stats, now_ms, rng):
    settings = RoutingSettings(server_policy="load")
    return _endpoint(choose_route(request, view, stats, settings, now_ms, rng))


@_rule("least cost")
def _least_cost(request, view, stats, now_ms, rng):
    """Choose as with "load", without spreading the choice."""
    usable = _usable(request, view, stats, now_ms)
    chosen = min(usable, key=lambda o: o.cost_ms, default=None)
    return chosen and chosen.view.endpoint


@_rule("two choices")
def _two_choices(request, view, stats, now_ms, rng):
    usable = _usable(request, view, stats, now_ms)
    pair = rng.sample(usable, min(2, len(usable)))
    chosen = min(pair, key=lambda o: o.cost_ms, default=None)
    return chosen and chosen.view.endpoint


@_rule("complete information")
def _complete(request, view, stats, now_ms, rng):
    """Choose like "least cost"; the run keeps all records up to date."""
    return _least_cost(request, view, stats, now_ms, rng)


def _endpoint(routed):
    return None if routed.is_err() else routed.ok_value.endpoint


def _usable(request, view, stats, now_ms):
    settings = RoutingSettings(server_policy="load")
    options = build_options(request, view, stats, settings, now_ms)
    return [option for option in options if option.is_usable]


class Proxy:
    """One entry proxy with its own statistics."""

    def __init__(self, balancing, number):
        self.balancing = balancing
        self.number = number
        self.region = REGIONS[number % 3]
        location = Location(self.region, self.region)
        self.book = LoadBook()
        self._views = {
            group: build_group_view(balancing.fleet, group, location)
            for group in balancing.groups
        }
        self._stats = {
            group: EndpointStats(RoutingSettings(), self.book)
            for group in balancing.groups
        }

    def start(self, group, excluded, started_ms):
        """Choose an endpoint for a read and send it."""
        balancing, now_ms = self.balancing, self.balancing.now_ms
        if balancing.run.rule == "complete information":
            for server in balancing.servers_of(group):
                balancing.apply(server)
                server.progress.record(now_ms, Position(1, int(now_ms)))
            self.book.record(balancing.loads_of(group))
        request = RouteRequest(
            Access.READ,
            None,
            None,
            now_ms + 3000.0,
            excluded,
            age_limit_ms=AGE_LIMIT_MS,
        )
        stats = self._stats[group]
        endpoint = RULES[balancing.run.rule](
            request, self._views[group], stats, now_ms, balancing.rng
        )
        if endpoint is None:
            balancing.figures.lost_count += 1
            return
        stats.observe_start(endpoint, now_ms)
        delay_ms = self.delay_ms(endpoint)
        read = _Read(self, group, endpoint, excluded, started_ms)
        read.sent_ms, read.arrived_ms = now_ms, now_ms + delay_ms
        balancing.simulation.call_after(
            delay_ms, balancing.arrive_at_server, endpoint, read
        )

    def delay_ms(self, endpoint):
        return DELAYS_MS[not endpoint.endswith(self.region)]

    def receive(self, read, loads, position, code):
        """Record an answer or a refusal."""
        balancing, now_ms = self.balancing, self.balancing.now_ms
        self.book.record(loads)
        stats = self._stats[read.group]
        if code is not None:
            is_behind = code is FailureCode.BEHIND
            failure = None if is_behind else not_run(code, "full")
            stats.observe_failure(
                read.endpoint, failure, now_ms, position if is_behind else None
            )
            excluded = read.excluded | {read.endpoint}
            self.start(read.group, excluded, read.started_ms)
            return
        balancing.latencies_ms.append(now_ms - read.started_ms)
        stats.observe_answer(
            read.endpoint,
            position,
            now_ms - read.sent_ms,
            read.wait_ms,
            now_ms,
        )


@dataclasses.dataclass
class _Read:
    """One attempt of a read."""

    proxy: Proxy
    group: str
    endpoint: str
    excluded: frozenset
    started_ms: float
    sent_ms: float = 0.0
    arrived_ms: float = 0.0
    wait_ms: float = 0.0

    def finish(self, server, code=None):
        """Send the answer with the records that the proxy needs."""
        balancing = self.proxy.balancing
        loads = balancing.loads_of(self.group, server)
        required = () if code is None else (server.name,)
        reports = server.reports[self.proxy.number]
        selected = reports.select(loads, balancing.now_ms, required)
        balancing.figures.records_count += len(selected)
        is_primary = balancing.is_primary(server.name)
        position_ms = balancing.now_ms if is_primary else server.applied_ms
        balancing.simulation.call_after(
            self.proxy.delay_ms(server.name),
            self.proxy.receive,
            self,
            selected,
            Position(1, int(position_ms)),
            code,
        )
