"""State that the sessions at the entry side of a proxy share."""

import random
from collections.abc import Callable

from opentelemetry import trace
from result import Err
from result import Result

from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._data_path_types import Executors
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._quota_gate import QuotaGate
from waxwinglift.process._request_log import RequestLog
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._endpoint_load import LoadBook
from waxwinglift.request._overload_backoff import OverloadBackoff
from waxwinglift.request._rejection_backoff import RejectionBackoff
from waxwinglift.request._retry import RetryBudget
from waxwinglift.request._routing import build_group_view
from waxwinglift.request._routing import choose_route
from waxwinglift.request._routing import EndpointStats
from waxwinglift.request._routing import GroupView
from waxwinglift.request._routing import Route
from waxwinglift.request._routing import RouteRequest
from waxwinglift.version import GroupName
from waxwinglift.version import PoolName
from waxwinglift.version import Position
from waxwinglift.version import Rank
from waxwinglift.version._types import Fencing

# Time for which a refusal counts as recent.
_PRIMARY_REFUSAL_WINDOW_MS = 3000.0


class EntryContext:
    """Fleet view, statistics, retry budgets and executors of an entry proxy.

    Parameters
    ----------
    settings : EntrySettings
    view : FleetView
    executors : Executors
    now_ms : callable
    metrics : Metrics
    tracer : opentelemetry.trace.Tracer
    rng : random.Random
    loads : LoadBook, optional
        Reported loads of endpoints, shared with the owners of this process.
    """

    def __init__(
        self,
        settings: EntrySettings,
        view: FleetView,
        executors: Executors,
        now_ms: Callable[[], float],
        metrics: Metrics,
        tracer: trace.Tracer,
        rng: random.Random,
        loads: LoadBook | None = None,
    ):
        self.settings = settings
        self.view = view
        self.executors = executors
        self.now_ms = now_ms
        self.metrics = metrics
        self.tracer = tracer
        self.rng = rng
        self.loads = loads or LoadBook()
        self.request_log = RequestLog(now_ms)
        self.quota_gate = QuotaGate(view, executors, now_ms, metrics)
        self.overload_backoff = OverloadBackoff(rng)
        self.rejection_backoff = RejectionBackoff(rng)
        # Whether endpoints are chosen by their reported load.
        self.uses_load = settings.routing.server_policy == "load"
        # Whether the sessions are being ended, so that nothing is retried.
        self.is_stopping = False
        self._endpoint_stats: dict[GroupName, EndpointStats] = {}
        self._primary_refused_ms: dict[GroupName, float] = {}
        self._retry_budgets: dict[PoolName, RetryBudget] = {}
        self._group_views: dict[GroupName, GroupView | None] = {}
        view.add_listener(self._group_views.clear)

    def record_primary_refusal(self, group: GroupName):
        """Record that an owner refused a request as outdated.

        The outcome of such a request has ``is_stale_owner`` set.
        """
        self._primary_refused_ms[group] = self.now_ms()

    def has_recent_primary_refusal(self) -> bool:
        """Return whether an owner recently refused a request as outdated."""
        oldest_ms = self.now_ms() - _PRIMARY_REFUSAL_WINDOW_MS
        return any(ms >= oldest_ms for ms in self._primary_refused_ms.values())

    def close(self):
        """Stop listening to the fleet view."""
        self.view.remove_listener(self._group_views.clear)
        self.quota_gate.close()

    def endpoint_stats(self, group: GroupName) -> EndpointStats:
        """Return the statistics of a group's endpoints."""
        if group not in self._endpoint_stats:
            self._endpoint_stats[group] = EndpointStats(
                self.settings.routing, self.loads
            )
        return self._endpoint_stats[group]

    def retry_budget(self, pool: PoolName) -> RetryBudget:
        """Return the retry budget of a pool."""
        if pool not in self._retry_budgets:
            self._retry_budgets[pool] = RetryBudget(self.settings.retry)
        return self._retry_budgets[pool]

    def record_duration(self, rank: Rank, started_ms: float):
        """Record the duration of an exchange."""
        elapsed_ms = self.now_ms() - started_ms
        self.metrics.timing(f"entry.request.{rank}", elapsed_ms)

    def group_view(self, group: GroupName) -> GroupView | None:
        """Return the view of a group, cached until the fleet changes."""
        if group not in self._group_views:
            view = self.view
            self._group_views[group] = build_group_view(
                view.fleet, group, view.location
            )
        return self._group_views[group]

    def choose_route(
        self, group: GroupName, request: RouteRequest
    ) -> Result[Route, Failure]:
        """Return the route of a request, or why no endpoint can serve it."""
        group_view = self.group_view(group)
        if group_view is None:
            return _unavailable(f"group {group} is not known")
        needs_lease = group_view.fencing is Fencing.LEASE
        if needs_lease and not self.view.lease_is_live():
            return _unavailable("this proxy has no lease")
        return choose_route(
            request,
            group_view,
            self.endpoint_stats(group),
            self.settings.routing,
            self.now_ms(),
            self.rng,
        )

    async def group_position(
        self, group: GroupName
    ) -> Result[Position, Failure]:
        """Request a position that includes every acknowledged write."""
        group_view = self.group_view(group)
        if group_view is None or group_view.primary is None:
            return _unavailable(f"group {group} has no active primary")
        executor = None
        if group_view.primary.owner is not None:
            executor = self.executors.executor_for(group_view.primary.owner)
        if executor is None:
            return _unavailable(
                f"the owner of the primary of {group} is not known"
            )
        self.metrics.incr("entry.group_position")
        return await executor.group_position(group, group_view.term)


def _unavailable(message):
    return Err(not_run(FailureCode.UNAVAILABLE, message))
