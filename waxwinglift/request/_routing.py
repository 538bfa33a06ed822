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

# Functions that choose the endpoint of a read, by what fences the group.
_READ_ROUTERS = Registry()
_routes_reads = _READ_ROUTERS.register

# A policy picks one of several replicas: it is called as
# ``policy(candidates, rng)`` with at least one `Candidate`.
ROUTING_POLICIES = Registry()
routing_policy = ROUTING_POLICIES.register

# Random factor on expected latencies: proxies that know the same would all
# choose the same endpoint otherwise.
_COST_SPREAD = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing needs to know of a request.

    Parameters
    ----------
    access : Access
        AUTO counts as a write: classify before routing.
    floor : Position or None
    max_age_ms : float or None
        Stated age of the data; a replica within it needs no floor.
    deadline_ms : float
        On the same clock as ``now_ms``.
    excluded : frozenset of EndpointId
        Endpoints that refused this request before.
    is_urgent : bool
        Whether its rank is the first of the pool's table.
    was_rejected : bool
        Whether the queue of an excluded endpoint refused the request.
    age_limit_ms : float
        Age that the data must not exceed, besides the floor; 0 for any.
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
    """Endpoint to use and what its owner must check.

    ``catch_up_ms`` is the expected wait for the floor at the endpoint;
    after ``wait_limit_ms`` the owner refuses and another route is better.
    ``standby`` serves while the owner cannot be reached, in groups whose
    servers fence themselves.
    """

    endpoint: EndpointId
    role: EndpointRole
    owner: DaemonId
    epoch: Epoch
    term: Term
    catch_up_ms: float
    wait_limit_ms: float = 0.0
    standby: DaemonId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that could serve the read.

    ``share`` is below 1 while the endpoint returns after failures.
    """

    view: EndpointView
    catch_up_ms: float
    load_ms: float
    share: float

    @property
    def cost_ms(self):
        """Expected latency, the wait for the floor included."""
        return self.catch_up_ms + self.load_ms


def choose_route(request, group_view, endpoint_stats, settings, now_ms, rng):
    """Choose the endpoint for a request.

    Parameters
    ----------
    request : RouteRequest
    group_view : GroupView
    endpoint_stats : EndpointStats
        Knowledge about the same group; a read that goes to the primary
        is charged to its `primary_share`.
    settings : RoutingSettings
    now_ms : float
    rng : random.Random

    Returns
    -------
    Result[Route, Failure]
        The failure has the verdict NOT_RUN.
    """
    if _is_lost(request.floor, group_view):
        message = "the session's floor was discarded by a change of primary"
        return Err(not_run(FailureCode.FLOOR_LOST, message))
    if request.access is not Access.READ:
        return _route_to_primary(request, group_view)
    if not request.excluded:
        endpoint_stats.primary_share.record_read()
    route_read = _READ_ROUTERS[group_view.fencing]
    return route_read(
        request, group_view, endpoint_stats, settings, now_ms, rng
    )


@_routes_reads(Fencing.LEASE)
def _route_to_replica(
    request, group_view, endpoint_stats, settings, now_ms, rng
):
    """Keep reads off the primary, but for the share that it may get."""
    candidates = _candidates(request, group_view, endpoint_stats, now_ms)
    prompt = _within_wait(request, candidates, settings, now_ms)
    usable = _admitted(prompt, rng)
    to_primary = _route_to_primary(request, group_view)
    if usable:
        chosen = ROUTING_POLICIES[settings.policy](usable, rng)
        if to_primary.is_err() or not _is_wait_saved(
            request, chosen, group_view.primary, endpoint_stats, now_ms
        ):
            limit_ms = _wait_limit_ms(
                request, chosen, to_primary.is_ok(), endpoint_stats, now_ms
            )
            return Ok(_route(chosen, group_view, limit_ms))
    if settings.is_spill_limited and _is_spill(request, endpoint_stats):
        message = "the queues of the group's replicas are full"
        return Err(not_run(FailureCode.REJECTED, message))
    if to_primary.is_ok():
        endpoint_stats.primary_share.spend(request.is_urgent)
    elif candidates:
        fallback = min(candidates, key=lambda c: (-c.share, c.cost_ms))
        limit_ms = _wait_limit_ms(
            request, fallback, False, endpoint_stats, now_ms
        )
        return Ok(_route(fallback, group_view, limit_ms))
    return to_primary


@_routes_reads(Fencing.SERVER)
def _route_to_nearest(
    request, group_view, endpoint_stats, settings, now_ms, rng
):
    """Read where the answer is expected first, the primary included.

    Servers that fence themselves make reads at the primary safe, and its
    slots count where a flood needs those of all servers.
    """
    replicas = _candidates(request, group_view, endpoint_stats, now_ms)
    # Half of the time left stays for the queue and the statement.
    limit_ms = (request.deadline_ms - now_ms) / 2
    candidates = [one for one in replicas if one.catch_up_ms <= limit_ms]
    primary = group_view.primary
    if primary is not None and primary.owner is not None:
        if primary.endpoint not in request.excluded:
            load_ms = endpoint_stats.load_ms(primary, now_ms)
            load_ms += settings.primary_least_saving_ms
            share = endpoint_stats.return_share(primary.endpoint, now_ms)
            candidates.append(Candidate(primary, 0.0, load_ms, share))
    usable = _admitted(candidates, rng) or candidates or replicas
    if not usable:
        message = f"no endpoint of group {group_view.group} can be read"
        return Err(not_run(FailureCode.UNAVAILABLE, message))
    chosen = min(
        usable, key=lambda one: one.cost_ms * rng.uniform(1.0, _COST_SPREAD)
    )
    return Ok(_route(chosen, group_view))


@routing_policy("random")
def pick_random(candidates, rng):
    """Pick any replica."""
    return rng.choice(candidates)


@routing_policy("least_cost")
def pick_least_cost(candidates, rng):
    """Pick the replica with the least expected latency."""
    return min(candidates, key=lambda candidate: candidate.cost_ms)


@routing_policy("two_choices")
def pick_two_choices(candidates, rng):
    """Pick the better of two random replicas.

    Taking the best of all would send the requests of all proxies to the
    same replica until its answers show the load.
    """
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda candidate: candidate.cost_ms)


def _is_lost(floor, group_view):
    if floor is None:
        return False
    return is_floor_lost(floor, group_view.term, group_view.term_ends)


def _candidates(request, group_view, endpoint_stats, now_ms):
    return [
        Candidate(
            view,
            _catch_up_ms(request, view, endpoint_stats, now_ms),
            endpoint_stats.load_ms(view, now_ms),
            endpoint_stats.return_share(view.endpoint, now_ms),
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


def _within_wait(request, candidates, settings, now_ms):
    # Half of the time left stays for the queue and the statement.
    left_ms = (request.deadline_ms - now_ms) / 2
    limit_ms = min(settings.replica_wait_ms, left_ms)
    return [c for c in candidates if c.catch_up_ms <= limit_ms]


def _is_spill(request, endpoint_stats):
    """Return whether a flood would move its reads to the primary."""
    if request.is_urgent or not request.was_rejected:
        return False
    return not endpoint_stats.primary_share.has_common()


def _is_wait_saved(request, chosen, primary, endpoint_stats, now_ms):
    """Return whether the primary is enough faster than the replica."""
    if chosen.catch_up_ms <= 0:
        return False
    saving_ms = chosen.cost_ms - endpoint_stats.load_ms(primary, now_ms)
    least_ms = endpoint_stats.primary_share.min_saving_ms(request.is_urgent)
    return min(saving_ms, chosen.catch_up_ms) > least_ms


def _admitted(candidates, rng):
    return [c for c in candidates if rng.random() < c.share]


def _route_to_primary(request, group_view):
    view = group_view.primary
    if view is None:
        message = f"group {group_view.group} has no active primary"
        return Err(not_run(FailureCode.UNAVAILABLE, message))
    if view.owner is None or view.endpoint in request.excluded:
        message = f"the primary of group {group_view.group} cannot be used"
        return Err(not_run(FailureCode.UNAVAILABLE, message))
    return Ok(_route(Candidate(view, 0.0, 0.0, 1.0), group_view))


def _wait_limit_ms(request, chosen, has_primary, endpoint_stats, now_ms):
    left_ms = max(0.0, request.deadline_ms - now_ms) / 2
    if not has_primary:
        return left_ms
    # Once the wait is this much longer than expected, going to the primary
    # would have been the better choice.
    excess_ms = endpoint_stats.primary_share.min_saving_ms(request.is_urgent)
    return min(left_ms, 1.5 * chosen.catch_up_ms + excess_ms)


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
