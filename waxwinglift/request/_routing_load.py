"""Choice of an endpoint for a read by reported load and lag."""

import dataclasses
import math

from waxwinglift.request._endpoint_load import USUAL_LAG_MS
from waxwinglift.request._group_view import EndpointView

# Upper limit of the random factor on costs.  It is small enough for calm
# proxies to read nearby.
_COST_SPREAD = 1.2
# Width of the random choice, as a part of the age of the records: many proxies
# with the same old information must not all choose the same endpoint.  It is
# at most the difference between the waits.
_WIDTH_PER_AGE = 0.2
# Part of an accepted age that is reserved: the owner demands a position of
# this much less than the accepted age.
_MARGIN_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """Endpoint that was considered for a read, with the inputs.

    Parameters
    ----------
    view : EndpointView
    cost_ms : float
        Expected time until the answer; infinite for one that is passed over.
    catch_up_ms : float
    wait_ms, age_ms : float or None
        Reported wait for a slot and the age of the report; None without one.
    lag_ms : float
    """

    view: EndpointView
    cost_ms: float
    catch_up_ms: float
    wait_ms: float | None
    age_ms: float | None
    lag_ms: float

    @property
    def is_usable(self) -> bool:
        """Whether the data is expected to be recent enough in time."""
        return math.isfinite(self.cost_ms)

    def describe(self) -> str:
        """Return the inputs as text for a log line."""
        text = f"{self.view.endpoint}: "
        text += f"cost {self.cost_ms:.0f} ms" if self.is_usable else "behind"
        text += f", lag {self.lag_ms:.0f} ms"
        if self.age_ms is None:
            return text + ", no report"
        return text + f", wait {self.wait_ms:.0f} ms {self.age_ms:.0f} ms ago"


def describe_options(options) -> str | None:
    """Return the inputs of a choice as text, None without any."""
    return "; ".join(option.describe() for option in options) or None


def build_options(request, group_view, endpoint_stats, settings, now_ms):
    """Return an `Option` for each endpoint that is not excluded.

    Parameters are those of `choose_route`.
    """
    options = []
    for view in (*group_view.replicas, group_view.primary):
        if view is None or view.owner is None:
            continue
        if view.endpoint in request.excluded:
            continue
        is_primary = view is group_view.primary
        options.append(
            _build_option(
                request, view, is_primary, endpoint_stats, settings, now_ms
            )
        )
    return options


def choose_option(options, endpoint_stats, now_ms, rng):
    """Return one of the usable options, or None if there is none.

    An endpoint that fails gets only its share of the traffic.
    """
    usable = [option for option in options if option.is_usable]
    if not usable:
        return None
    sampled = [
        option
        for option in usable
        if rng.random()
        < endpoint_stats.traffic_share(option.view.endpoint, now_ms)
    ]
    usable = sampled or usable
    width_ms = _choice_width_ms(usable)
    return min(usable, key=lambda option: _vary(option.cost_ms, width_ms, rng))


def _build_option(request, view, is_primary, endpoint_stats, settings, now_ms):
    load = endpoint_stats.loads.find(view.endpoint, now_ms)
    wait_ms = None if load is None else load.expected_wait_ms
    lag_ms = catch_up_ms = 0.0
    if not is_primary:
        lag_ms = _lag_ms(view, endpoint_stats, now_ms)
        catch_up_ms = _catch_up_ms(
            request, view, load, lag_ms, endpoint_stats, now_ms
        )
    cost_ms = catch_up_ms + endpoint_stats.expected_latency_ms(
        view, now_ms, wait_ms
    )
    if load is not None:
        # A read that fails is repeated elsewhere.
        cost_ms /= max(0.1, 1.0 - load.failure_ratio)
    if is_primary:
        # Writes and reads of current data have no other endpoint: a read that
        # has one must save the wait that it causes to them.
        cost_ms += settings.primary_least_saving_ms + (wait_ms or 0.0)
    # Half of the remaining time is reserved for queueing and execution.
    if catch_up_ms > (request.deadline_ms - now_ms) / 2:
        cost_ms = math.inf
    age_ms = None if load is None else max(0.0, now_ms - load.observed_ms)
    return Option(view, cost_ms, catch_up_ms, wait_ms, age_ms, lag_ms)


def _lag_ms(view, endpoint_stats, now_ms):
    """Return the lag, 0 without a report: a usual lag is not reported."""
    reported_ms = endpoint_stats.loads.lag_ms(view.endpoint, now_ms)
    if reported_ms is not None:
        return reported_ms
    is_behind = endpoint_stats.was_behind(view.endpoint, now_ms)
    return math.inf if is_behind else 0.0


def _catch_up_ms(request, view, load, lag_ms, endpoint_stats, now_ms):
    """Return the expected time until a replica may serve the read.

    Infinite if its data is too old: when it will be recent enough is unknown.
    """
    if request.max_age_ms is not None and lag_ms <= request.max_age_ms:
        return 0.0
    if request.age_limit_ms and lag_ms > request.age_limit_ms - _MARGIN_MS:
        return math.inf
    floor = request.floor
    if floor is None or (
        load is not None
        and load.position is not None
        and load.position >= floor
    ):
        return 0.0
    usual_ms = min(endpoint_stats.lag_ms(view.endpoint), USUAL_LAG_MS)
    return endpoint_stats.catch_up_ms(
        view.endpoint, floor, now_ms, lag_ms or usual_ms
    )


def _choice_width_ms(options):
    waits_ms = [option.wait_ms or 0.0 for option in options]
    ages_ms = [option.age_ms or 0.0 for option in options]
    difference_ms = max(waits_ms) - min(waits_ms)
    return min(_WIDTH_PER_AGE * max(ages_ms), difference_ms)


def _vary(cost_ms, width_ms, rng):
    """Return a cost with a random change.

    The factor is that of the policy ``latency``.  The added time has the
    Gumbel distribution: the least of such sums is chosen with a probability
    proportional to ``exp(-cost / width)``.
    """
    cost_ms *= rng.uniform(1.0, _COST_SPREAD)
    if not width_ms:
        return cost_ms
    return cost_ms + width_ms * math.log(rng.expovariate(1.0))
