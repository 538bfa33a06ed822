"""Choice of the endpoint that serves a request."""

import dataclasses

from result import Err
from result import Ok

from waxwinglift.process import DaemonId
from waxwinglift.process import Registry
from waxwinglift.request._floors import is_floor_lost
from waxwinglift.request._group_view import EndpointView
from waxwinglift.request._group_view import GroupView
from waxwinglift.request._group_view import build_group_view
from waxwinglift.request._endpoint_stats import EndpointStats
from waxwinglift.request._routing_load import build_options
from waxwinglift.request._routing_load import choose_option
from waxwinglift.request._routing_load import describe_options
from waxwinglift.request._routing_load import Option
from waxwinglift.request._types import Access
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import not_run
from waxwinglift.version import EndpointId
from waxwinglift.version import EndpointRole
from waxwinglift.version import Epoch
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version._types import Fencing

__all__ = [
    "EndpointStats",
    "EndpointView",
    "GroupView",
    "Route",
    "RouteRequest",
    "build_group_view",
    "choose_route",
    "routing_policy",
]

# Functions that choose the endpoint of a read, by the group's fencing.
_READ_ROUTERS = Registry()
_read_router = _READ_ROUTERS.register

# Policies that route a read in groups whose servers fence themselves, called
# like the functions above.
_SERVER_POLICIES = Registry()
_server_policy = _SERVER_POLICIES.register

# Policies that select one of several replicas.  A policy is called as
# ``policy(candidates, rng)`` with at least one `Candidate`.
ROUTING_POLICIES = Registry()
routing_policy = ROUTING_POLICIES.register

# Upper limit of the random factor on expected latencies.  Without it, proxies
# with the same measurements would all choose the same endpoint.
_LATENCY_SPREAD = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that its routing depends on.

    Parameters
    ----------
    access : Access
        AUTO is routed as a write; classify the statement beforehand.
    floor : Position or None
    max_age_ms : float or None
        Maximum age of the data that the caller accepts.  A replica whose lag
        is within it may serve the read without having reached the floor;
        ``age_limit_ms`` is then not checked.
    deadline_ms : float
        On the same clock as ``now_ms``.
    excluded : frozenset of EndpointId
        Endpoints that must not be chosen, such as those that have already
        refused this request.
    is_urgent : bool
        Whether its rank is the first, most urgent one in the pool's table.
    was_rejected : bool
        Whether a queue rejected the last attempt.
    age_limit_ms : float
        Maximum lag of a replica, which must have reached the floor as well;
        0 for no limit.
    """

    access: Access
    floor: Position | None
    max_age_ms: float | None
    deadline_ms: float
    excluded: frozenset[EndpointId] = frozenset()
    is_urgent: bool = False
    was_rejected: bool = False
    age_limit_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Selected endpoint and the conditions that its owner checks.

    ``catch_up_ms`` is the expected time until the endpoint reaches the
    floor.  The owner refuses the read when it has waited ``wait_limit_ms``
    for the floor, so that another route can be tried; the limit is 0 for the
    primary and in groups whose servers fence themselves.  ``standby`` is the
    standby owner: the proxy that, in such groups, serves the endpoint while
    its owner is unreachable.  ``options`` are the endpoints that a policy by
    load has compared.
    """

    endpoint: EndpointId
    role: EndpointRole
    owner: DaemonId
    epoch: Epoch
    term: Term
    catch_up_ms: float
    wait_limit_ms: float = 0.0
    standby: DaemonId | None = None
    options: tuple[Option, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Endpoint that could serve the read, with its expected latency.

    ``latency_ms`` excludes the wait for the floor.  ``traffic_share`` is 0
    after failures of the endpoint and then rises to 1.
    """

    view: EndpointView
    catch_up_ms: float
    latency_ms: float
    traffic_share: float

    @property
    def cost_ms(self):
        """Expected latency, including the wait for the floor."""
        return self.catch_up_ms + self.latency_ms


def choose_route(request, group_view, endpoint_stats, settings, now_ms, rng):
    """Choose the endpoint for a request.

    Parameters
    ----------
    request : RouteRequest
    group_view : GroupView
    endpoint_stats : EndpointStats
        Statistics of the same group.  Each read adds to its
        `primary_read_budget`; with `Fencing.LEASE`, a read that is routed
        to the primary uses one of its tokens.
    settings : RoutingSettings
    now_ms : float
    rng : random.Random

    Returns
    -------
    Result[Route, Failure]
        The failure has the verdict NOT_RUN.
    """
    if _is_session_floor_lost(request.floor, group_view):
        message = "a change of primary discarded writes seen by the session"
        return Err(not_run(FailureCode.FLOOR_LOST, message))
    if request.access is not Access.READ:
        return _route_to_primary(request, group_view)
    if not request.excluded:
        endpoint_stats.primary_read_budget.record_read()
    route_read = _READ_ROUTERS[group_view.fencing]
    return route_read(
        request, group_view, endpoint_stats, settings, now_ms, rng
    )


@_read_router(Fencing.LEASE)
def _route_to_replica(
    request, group_view, endpoint_stats, settings, now_ms, rng
):
    """Route a read to a replica or, if none is usable, to the primary.

    A read also goes to the primary if it saves enough waiting time there.
    """
    candidates = _candidates(request, group_view, endpoint_stats, now_ms)
    in_time = _caught_up_in_time(request, candidates, settings, now_ms)
    usable = _sample_by_share(in_time, rng)
    to_primary = _route_to_primary(request, group_view)
    if usable:
        chosen = ROUTING_POLICIES[settings.policy](usable, rng)
        if to_primary.is_err() or not _is_primary_faster(
            request, chosen, group_view.primary, endpoint_stats, now_ms
        ):
            limit_ms = _wait_limit_ms(
                request, chosen, to_primary.is_ok(), endpoint_stats, now_ms
            )
            return Ok(_route(chosen, group_view, limit_ms))
    if settings.is_spill_limited and _lacks_primary_token(
        request, endpoint_stats
    ):
        message = (
            "a queue rejected the read, and the budget of reads at the "
            "group's primary is used up"
        )
        return Err(not_run(FailureCode.REJECTED, message))
    if to_primary.is_ok():
        endpoint_stats.primary_read_budget.spend(request.is_urgent)
    elif candidates:
        fallback = min(candidates, key=lambda c: (-c.traffic_share, c.cost_ms))
        limit_ms = _wait_limit_ms(
            request, fallback, False, endpoint_stats, now_ms
        )
        return Ok(_route(fallback, group_view, limit_ms))
    return to_primary


@_read_router(Fencing.SERVER)
def _route_by_policy(
    request, group_view, endpoint_stats, settings, now_ms, rng
):
    route_read = _SERVER_POLICIES[settings.server_policy]
    return route_read(
        request, group_view, endpoint_stats, settings, now_ms, rng
    )


@_server_policy("latency")
def _route_to_fastest(
    request, group_view, endpoint_stats, settings, now_ms, rng
):
    """Route a read to the endpoint with the lowest expected latency.

    This may be the primary: reads there are safe because the servers fence
    themselves, and a flood may need the slots of all servers.
    """
    replicas = _candidates(request, group_view, endpoint_stats, now_ms)
    # Half of the remaining time is reserved for queueing and execution.
    limit_ms = (request.deadline_ms - now_ms) / 2
    candidates = [c for c in replicas if c.catch_up_ms <= limit_ms]
    primary = group_view.primary
    if primary is not None and primary.owner is not None:
        if primary.endpoint not in request.excluded:
            latency_ms = endpoint_stats.expected_latency_ms(primary, now_ms)
            latency_ms += settings.primary_least_saving_ms
            share = endpoint_stats.traffic_share(primary.endpoint, now_ms)
            candidates.append(Candidate(primary, 0.0, latency_ms, share))
    usable = _sample_by_share(candidates, rng) or candidates or replicas
    if not usable:
        message = f"no endpoint of group {group_view.group} can serve reads"
        return Err(not_run(FailureCode.UNAVAILABLE, message))
    chosen = min(
        usable, key=lambda c: c.cost_ms * rng.uniform(1.0, _LATENCY_SPREAD)
    )
    return Ok(_route(chosen, group_view))


@_server_policy("load")
def _route_by_load(request, group_view, endpoint_stats, settings, now_ms, rng):
    """Route a read by the load and lag that owners report."""
    options = build_options(
        request, group_view, endpoint_stats, settings, now_ms
    )
    chosen = choose_option(options, endpoint_stats, now_ms, rng)
    if chosen is None:
        reasons = describe_options(options) or "none is left"
        message = f"no endpoint can serve the read: {reasons}"
        return Err(not_run(FailureCode.UNAVAILABLE, message))
    candidate = Candidate(chosen.view, chosen.catch_up_ms, 0.0, 1.0)
    route = _route(candidate, group_view)
    return Ok(dataclasses.replace(route, options=tuple(options)))


@routing_policy("random")
def pick_random(candidates, rng):
    """Select a replica at random."""
    return rng.choice(candidates)


@routing_policy("least_cost")
def pick_least_cost(candidates, rng):
    """Select the replica with the lowest expected latency."""
    return min(candidates, key=lambda candidate: candidate.cost_ms)


@routing_policy("two_choices")
def pick_two_choices(candidates, rng):
    """Select the better of two random replicas.

    Always selecting the best replica would send the requests of all proxies
    to the same one until its latency reflects the load.
    """
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda candidate: candidate.cost_ms)


def _is_session_floor_lost(floor, group_view):
    if floor is None:
        return False
    # Ends are recorded only for terms, or timelines, that are over.  The
    # group's term is no bound: it counts independently of timelines.
    return is_floor_lost(floor, group_view.term_ends)


def _candidates(request, group_view, endpoint_stats, now_ms):
    return [
        Candidate(
            view,
            _catch_up_ms(request, view, endpoint_stats, now_ms),
            endpoint_stats.expected_latency_ms(view, now_ms),
            endpoint_stats.traffic_share(view.endpoint, now_ms),
        )
        for view in group_view.replicas
        if view.owner is not None and view.endpoint not in request.excluded
    ]


def _catch_up_ms(request, view, endpoint_stats, now_ms):
    if request.max_age_ms is not None:
        if endpoint_stats.lag_ms(view.endpoint) <= request.max_age_ms:
            return 0.0
    floor_ms = endpoint_stats.catch_up_ms(view.endpoint, request.floor, now_ms)
    if not request.age_limit_ms:
        return floor_ms
    excess_ms = endpoint_stats.lag_ms(view.endpoint) - request.age_limit_ms
    return max(floor_ms, excess_ms)


def _caught_up_in_time(request, candidates, settings, now_ms):
    # Half of the remaining time is reserved for queueing and execution.
    half_left_ms = (request.deadline_ms - now_ms) / 2
    limit_ms = min(settings.replica_wait_ms, half_left_ms)
    return [c for c in candidates if c.catch_up_ms <= limit_ms]


def _lacks_primary_token(request, endpoint_stats):
    """Return whether the read needs a token for the primary and has none.

    Only a non-urgent read that a queue has rejected needs one, so that a
    flood does not move from the replicas to the primary.
    """
    if request.is_urgent or not request.was_rejected:
        return False
    return not endpoint_stats.primary_read_budget.has_common_token()


def _is_primary_faster(request, chosen, primary, endpoint_stats, now_ms):
    """Return whether the primary saves more than the required time.

    At most the wait for the floor counts as saved.
    """
    if chosen.catch_up_ms <= 0:
        return False
    saving_ms = chosen.cost_ms - endpoint_stats.expected_latency_ms(
        primary, now_ms
    )
    min_ms = endpoint_stats.primary_read_budget.min_saving_ms(
        request.is_urgent
    )
    return min(saving_ms, chosen.catch_up_ms) > min_ms


def _sample_by_share(candidates, rng):
    return [c for c in candidates if rng.random() < c.traffic_share]


def _route_to_primary(request, group_view):
    view = group_view.primary
    if view is None:
        message = f"group {group_view.group} has no active primary"
        return Err(not_run(FailureCode.UNAVAILABLE, message))
    if view.owner is None or view.endpoint in request.excluded:
        message = (
            f"the primary of group {group_view.group} has no owner or has "
            "already refused this request"
        )
        return Err(not_run(FailureCode.UNAVAILABLE, message))
    return Ok(_route(Candidate(view, 0.0, 0.0, 1.0), group_view))


def _wait_limit_ms(request, chosen, has_primary, endpoint_stats, now_ms):
    half_left_ms = max(0.0, request.deadline_ms - now_ms) / 2
    if not has_primary:
        return half_left_ms
    # The owner refuses a read that waits for 1.5 times the expected time plus
    # the saving that the primary must offer, so that it goes to the primary.
    excess_ms = endpoint_stats.primary_read_budget.min_saving_ms(
        request.is_urgent
    )
    return min(half_left_ms, 1.5 * chosen.catch_up_ms + excess_ms)


def _route(candidate, group_view, wait_limit_ms=0.0):
    view = candidate.view
    return Route(
        endpoint=view.endpoint,
        role=view.role,
        owner=view.owner,
        epoch=view.epoch,
        term=group_view.term,
        catch_up_ms=candidate.catch_up_ms,
        wait_limit_ms=wait_limit_ms,
        standby=view.standby,
    )
