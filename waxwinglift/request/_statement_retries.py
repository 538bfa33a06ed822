"""Whether a statement is tried again, where, and after which wait."""

import asyncio

from waxwinglift.process._entry_context import EntryContext
from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._retry import retry_delay_ms
from waxwinglift.version import EndpointRole

# A newer fleet view usually arrives within this time; the request is tried
# again then in any case.
_CHANGE_WAIT_MS = 50.0
# Part of its time for which a request may wait for a change of primary; a
# caller that is refused in time can still come back.
_CHANGE_WAIT_FRACTION = 0.6
# The daemon does not serve the endpoint any more; its standby owner does.
_NOT_SERVING_CODES = frozenset(
    {FailureCode.NOT_OWNER, FailureCode.SHUTTING_DOWN}
)
_TRANSIENT_CODES = _NOT_SERVING_CODES | {FailureCode.UNAVAILABLE}


def is_elsewhere(end):
    """Return whether another daemon may serve the same endpoint."""
    if end.failure is None:
        return False
    return end.is_owner_unreachable or end.failure.code in _NOT_SERVING_CODES


class StatementRetries:
    """Decides on the attempts of one session's statements.

    Parameters
    ----------
    context : EntryContext
    session : StatementSession
    """

    def __init__(self, context: EntryContext, session):
        self._context = context
        self._session = session

    async def may_retry(self, statement, attempts, end, route):
        """Decide on another attempt and wait for its time."""
        now_ms = self._context.now_ms()
        if now_ms >= attempts.deadline_ms or self._session.is_disconnected:
            return False
        failure = end.failure
        if failure.verdict is not Verdict.NOT_RUN:
            if statement.is_write or attempts.is_block:
                return False
            attempts.last = end
        if is_elsewhere(end):
            return True
        if end.failed_position is not None:
            attempts.excluded.add(route.endpoint)
            return True
        if self._is_position_unknown(end, route):
            view = self._context.group_view(self._session.table.group)
            replicas = () if view is None else view.replicas
            attempts.excluded.update(one.endpoint for one in replicas)
            return view is not None
        if self._is_rerouted(end, route):
            attempts.excluded.add(route.endpoint)
            return True
        if end.is_stale_owner and route is not None:
            self._context.record_primary_refusal(self._session.table.group)
        if self._waits_for_change(end, route):
            return await self._wait_for_change(attempts, now_ms)
        return await self._wait_for_other(attempts, end, route)

    def _is_position_unknown(self, end, route):
        """Return whether no replica can be read for want of a position."""
        is_replica = route is not None and route.role is EndpointRole.REPLICA
        return is_replica and end.failure.code is FailureCode.BEHIND

    def _is_rerouted(self, end, route):
        """Return whether another endpoint may serve what a replica cannot.

        Nothing has run and no queue was full, so the load does not grow.
        """
        return (
            route is not None
            and route.role is EndpointRole.REPLICA
            and end.failure.verdict is Verdict.NOT_RUN
            and end.failure.code in _TRANSIENT_CODES
        )

    def _waits_for_change(self, end, route):
        """Return whether only a newer fleet view can help."""
        if end.failure.verdict is not Verdict.NOT_RUN:
            return False
        return end.failure.code in _TRANSIENT_CODES

    async def _wait_for_change(self, attempts, now_ms):
        limit_ms = attempts.deadline_ms - attempts.arrived_ms
        until_ms = attempts.arrived_ms + _CHANGE_WAIT_FRACTION * limit_ms
        if now_ms >= until_ms or not self._context.view.lease_is_live():
            # Without control no newer view will arrive; another proxy may
            # have it.
            return False
        wait_ms = min(until_ms - now_ms, _CHANGE_WAIT_MS)
        await self._context.view.wait_for_change(wait_ms)
        attempts.excluded.clear()
        attempts.unreached.clear()
        return True

    async def _wait_for_other(self, attempts, end, route):
        limit_count = self._session.policy.attempt_limit_count
        if attempts.count >= max(2, limit_count):
            return False
        if not self._context.budget(self._session.table.pool).try_spend():
            return False
        attempts.was_rejected = end.failure.code is FailureCode.REJECTED
        if route is not None and route.role is EndpointRole.REPLICA:
            attempts.excluded.add(route.endpoint)
        self._context.metrics.incr("entry.retried")
        settings = self._context.settings.retry
        delay_ms = retry_delay_ms(attempts.count, settings, self._context.rng)
        await asyncio.sleep(delay_ms / 1000)
        return True
