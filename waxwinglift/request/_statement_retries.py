"""Decides whether, where and when a statement is retried."""

import asyncio

from waxwinglift.process._entry_context import EntryContext
from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._retry import retry_delay_ms
from waxwinglift.request._statement_attempts import can_use_other_daemon
from waxwinglift.request._statement_attempts import OTHER_DAEMON_CODES
from waxwinglift.request._statement_routes import StatementRoutes
from waxwinglift.version import EndpointRole

# Longest wait for a newer fleet view, which usually arrives within this time;
# after it, the request is retried in any case.
_CHANGE_WAIT_MS = 50.0
# Fraction of its time limit for which a request may wait for a change of
# primary; a caller that is refused before the limit can still retry.
_CHANGE_WAIT_FRACTION = 0.6
# Failures that a newer fleet view may resolve.
_TRANSIENT_CODES = OTHER_DAEMON_CODES | {FailureCode.UNAVAILABLE}


class StatementRetries:
    """Decides whether the statements of one session are retried.

    Parameters
    ----------
    context : EntryContext
    session : StatementSession
    routes : StatementRoutes
    """

    def __init__(self, context: EntryContext, session, routes):
        self._context = context
        self._session = session
        self._routes: StatementRoutes = routes

    async def prepare_retry(self, statement, attempts, end, route):
        """Wait until a retry is due; return whether to retry."""
        now_ms = self._context.now_ms()
        if now_ms >= attempts.deadline_ms or self._session.is_disconnected:
            return False
        if self._context.is_stopping:
            return False
        failure = end.failure
        if failure.verdict is not Verdict.NOT_RUN:
            if statement.is_write or attempts.is_block:
                return False
            attempts.last_outcome_after_run = end
        if can_use_other_daemon(end):
            return True
        if failure.code is FailureCode.OVERLOADED:
            # Without a route, no other owner is left: refuse at once.
            return route is not None
        if self._context.uses_load and failure.code is FailureCode.REJECTED:
            # A second attempt at a queue that is full would only add load.
            if route is None:
                return False
            self._routes.record_rejection(attempts, route, failure)
            return self._routes.has_alternative(attempts)
        if end.failed_position is not None:
            attempts.excluded.add(route.endpoint)
            return True
        if self._is_position_unknown(end, route):
            view = self._context.group_view(self._session.table.group)
            replicas = () if view is None else view.replicas
            attempts.excluded.update(replica.endpoint for replica in replicas)
            return view is not None
        if self._can_use_other_endpoint(end, route):
            attempts.excluded.add(route.endpoint)
            return True
        if end.is_stale_owner and route is not None:
            self._context.record_primary_refusal(self._session.table.group)
        if self._waits_for_change(end, route):
            return await self._wait_for_change(attempts, now_ms)
        return await self._wait_for_retry(attempts, end, route)

    def _is_position_unknown(self, end, route):
        """Return whether replicas lack a recent position of the primary."""
        is_replica = route is not None and route.role is EndpointRole.REPLICA
        return is_replica and end.failure.code is FailureCode.BEHIND

    def _can_use_other_endpoint(self, end, route):
        """Return whether another endpoint may serve a replica's statement.

        Such a retry adds no load: the statement has not run at the replica,
        and the replica's queue was not full.
        """
        return (
            route is not None
            and route.role is EndpointRole.REPLICA
            and end.failure.verdict is Verdict.NOT_RUN
            and end.failure.code in _TRANSIENT_CODES
        )

    def _waits_for_change(self, end, route):
        """Return whether a retry needs a newer fleet view to succeed."""
        if end.failure.verdict is not Verdict.NOT_RUN:
            return False
        return end.failure.code in _TRANSIENT_CODES

    async def _wait_for_change(self, attempts, now_ms):
        limit_ms = attempts.deadline_ms - attempts.arrived_ms
        until_ms = attempts.arrived_ms + _CHANGE_WAIT_FRACTION * limit_ms
        if now_ms >= until_ms or not self._context.view.lease_is_live():
            # Without a lease, no newer view arrives from control.  The caller
            # may find one at another proxy.
            return False
        wait_ms = min(until_ms - now_ms, _CHANGE_WAIT_MS)
        await self._context.view.wait_for_change(wait_ms)
        attempts.excluded.clear()
        attempts.unreachable.clear()
        return True

    async def _wait_for_retry(self, attempts, end, route):
        """Wait for the backoff; return False if no retry is left."""
        limit_count = self._session.policy.attempt_limit_count
        if attempts.count >= max(2, limit_count):
            return False
        budget = self._context.retry_budget(self._session.table.pool)
        if not budget.try_spend():
            return False
        attempts.was_rejected = end.failure.code is FailureCode.REJECTED
        if route is not None and route.role is EndpointRole.REPLICA:
            attempts.excluded.add(route.endpoint)
        self._context.metrics.incr("entry.retried")
        settings = self._context.settings.retry
        delay_ms = retry_delay_ms(attempts.count, settings, self._context.rng)
        await asyncio.sleep(delay_ms / 1000)
        return True
