"""Finds the route of a statement among the endpoints that may take it."""

import math

from result import Err
from result import Result

from waxwinglift.process._entry_context import EntryContext
from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._routing import Route
from waxwinglift.request._routing import RouteRequest
from waxwinglift.request._statement_attempts import StatementAttempts
from waxwinglift.request._statement_daemons import StatementDaemons

# Time by which a record seems younger than it is, because its way through two
# proxies to another region does not count; about two round trips.
_TRANSIT_MS = 50.0


class StatementRoutes:
    """Chooses endpoints for the statements of one session.

    Endpoints that have recently refused the session's rank are used by no
    route.

    Parameters
    ----------
    context : EntryContext
    session : StatementSession
    daemons : StatementDaemons
    """

    def __init__(self, context: EntryContext, session, daemons):
        self._context = context
        self._session = session
        self._daemons: StatementDaemons = daemons

    def find(self, attempts: StatementAttempts) -> Result[Route, Failure]:
        """Return the route, or why there is none."""
        routed = self._find(attempts)
        if not isinstance(routed, Err):
            self._count(routed.ok_value)
        return routed

    def has_alternative(self, attempts: StatementAttempts) -> bool:
        """Return whether a route is left after a refusal by a queue."""
        if attempts.access is not Access.READ:
            return False
        has_route = not isinstance(self._find(attempts), Err)
        if has_route:
            self._context.metrics.incr("entry.retried.elsewhere")
        return has_route

    def _find(self, attempts):
        endpoints = self._find_endpoints(attempts)
        overloaded = {
            endpoint: ms
            for endpoint, ms in self._daemons.find_overloaded().items()
            if endpoint in endpoints
        }
        full = self._find_full(endpoints, attempts)
        closed = {**full, **overloaded}
        routed = self._choose(attempts, closed)
        if not closed or not isinstance(routed, Err):
            return routed
        if isinstance(self._choose(attempts, ()), Err):
            return routed
        if full:
            return Err(self._rejection(attempts, closed))
        message = "the owners of all usable endpoints are overloaded"
        delay_ms = math.ceil(min(overloaded.values()))
        return Err(not_run(FailureCode.OVERLOADED, message, delay_ms))

    def record_rejection(self, attempts: StatementAttempts, route, failure):
        """Record that the queue of an endpoint refused the statement."""
        attempts.rejections[route.endpoint] = failure
        if failure.retry_after_ms:
            self._context.rejection_backoff.record(
                route.endpoint,
                self._session.policy.urgency_index,
                attempts.is_block,
                self._context.now_ms(),
                failure.retry_after_ms,
            )

    def _count(self, route):
        """Count by what the endpoint was chosen, and what was passed over."""
        metrics = self._context.metrics
        for option in route.options:
            if not option.is_usable:
                metrics.incr("entry.routed.past_behind")
            elif option.view.endpoint == route.endpoint:
                is_reported = option.age_ms is not None
                basis = "by_report" if is_reported else "by_latency"
                metrics.incr(f"entry.routed.{basis}")

    def _find_endpoints(self, attempts):
        """Return the endpoints that may serve statements of this kind."""
        group_view = self._context.group_view(self._session.table.group)
        if group_view is None:
            return []
        views = [group_view.primary]
        if attempts.access is Access.READ:
            views.extend(group_view.replicas)
        return [view.endpoint for view in views if view is not None]

    def _find_full(self, endpoints, attempts):
        """Return the endpoints whose queues refuse the statement.

        The values are the times, in ms, after which they may take it.
        """
        if not self._context.uses_load:
            return {}
        left_ms = {e: self._left_ms(e, attempts) for e in endpoints}
        return {
            endpoint: ms
            for endpoint, ms in left_ms.items()
            if ms > 0 or endpoint in attempts.rejections
        }

    def _left_ms(self, endpoint, attempts):
        now_ms = self._context.now_ms()
        load = self._context.loads.find(endpoint, now_ms)
        if load is not None and load.has_free_slot:
            self._context.rejection_backoff.lift(
                endpoint, load.observed_ms - _TRANSIT_MS
            )
        return self._context.rejection_backoff.left_ms(
            endpoint,
            self._session.policy.urgency_index,
            attempts.is_block,
            now_ms,
            has_floor_share=self._session.table.rows[0].floor_percent > 0,
        )

    def _rejection(self, attempts, closed):
        """Return the failure of a statement that all queues refuse."""
        left_ms = [ms for ms in closed.values() if ms > 0]
        delay_ms = math.ceil(min(left_ms)) if left_ms else None
        if attempts.rejections:
            message = list(attempts.rejections.values())[-1].message
        else:
            self._context.metrics.incr("entry.refused.full")
            endpoints = ", ".join(
                f"{endpoint} for {ms:.0f} ms more"
                for endpoint, ms in closed.items()
            )
            message = f"the rank was refused by all usable queues: {endpoints}"
        return not_run(FailureCode.REJECTED, message, delay_ms)

    def _choose(self, attempts, closed):
        session = self._session
        request = RouteRequest(
            access=attempts.access,
            floor=session.floor,
            max_age_ms=None,
            deadline_ms=attempts.deadline_ms,
            excluded=frozenset(attempts.excluded).union(closed),
            is_urgent=session.policy.urgency_index == 0,
            was_rejected=attempts.was_rejected,
            age_limit_ms=session.policy.max_staleness_ms,
        )
        return self._context.choose_route(session.table.group, request)
