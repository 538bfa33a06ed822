"""Runs the exchanges of one session on endpoints, with retries."""

import asyncio
import dataclasses
import math

from result import Err

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._frontend_messages import CallerRequest
from waxwinglift.connection._session import Session
from waxwinglift.connection._session_types import RunPlan
from waxwinglift.process._entry_context import EntryContext
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Sink
from waxwinglift.process._data_path_types import TransactionStream
from waxwinglift.process._trace_context import current_traceparent
from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.request import Verdict
from waxwinglift.request._data_path_attempt import Attempts
from waxwinglift.request._data_path_attempt import endpoint_failure
from waxwinglift.request._data_path_attempt import LeaseGuard
from waxwinglift.request._data_path_attempt import with_combined_verdict
from waxwinglift.request._retry import decide_retry
from waxwinglift.request._retry import retry_delay_ms
from waxwinglift.request._retry import RetryDecision
from waxwinglift.request._routing import Route
from waxwinglift.request._routing import RouteRequest
from waxwinglift.version import EndpointRole
from waxwinglift.version import Lsn
from waxwinglift.version import Position

# Longest wait for a newer fleet view, which usually arrives within this time;
# after it, the request is retried in any case.
_CHANGE_WAIT_MS = 50.0
# Added to the deadline, so that the owner's queue reports a timeout first.
_QUEUE_GRACE_MS = 100.0
# Failures that a newer fleet view may resolve.
_TRANSIENT_CODES = frozenset(
    {
        FailureCode.UNAVAILABLE,
        FailureCode.SHUTTING_DOWN,
        FailureCode.NOT_OWNER,
    }
)
# No endpoint reaches this position, so only the age of the data can satisfy
# the read.
_UNREACHABLE_LSN = Lsn(2**63 - 1)


class RequestRunner:
    """Runs each exchange of one session at an endpoint that it chooses.

    The exchanges of a transaction block use the same stream.

    Parameters
    ----------
    context : EntryContext
    session : Session
    caller : str
        Name of the caller; the queues share slots fairly among callers.
    """

    def __init__(self, context: EntryContext, session: Session, caller: str):
        self._context = context
        self._session = session
        self._caller = caller
        self._stream: TransactionStream | None = None
        self._block_key = ""
        # Number of exchanges started so far, including a running one.
        self._started_count = 0
        self._is_running = False
        self._is_cancelled = False

    async def run(
        self, plan: RunPlan, request: CallerRequest, sink: Sink
    ) -> ExchangeEnd:
        """Run one exchange and record its outcome in the session."""
        tracer = self._context.tracer
        self._started_count += 1
        self._is_running = True
        self._is_cancelled = False
        started_ms = self._context.now_ms()
        exchange = Exchange(request.messages, request.prepared)
        with tracer.start_as_current_span("caller.request") as span:
            guard = LeaseGuard(sink, self._context.view.lease_is_live)
            try:
                if self._session.is_in_block:
                    end = await self._run_in_block(exchange, guard)
                else:
                    end = await self._run_first(plan, exchange, guard)
            finally:
                self._is_running = False
            end = self._fail_dropped_answer(end, guard)
            self._record_outcome(plan, end, span)
        self._context.record_duration(self._session.rank, started_ms)
        if end.failure is not None or end.status is TransactionStatus.IDLE:
            await self.close()
        return end

    def running(self) -> "RunningExchange | None":
        """Return the running exchange, or None if there is none."""
        if not self._is_running:
            return None
        return RunningExchange(self, self._started_count)

    def cancel(self, number: int):
        """Cancel the exchange with this number if it still runs."""
        if not self._is_running or number != self._started_count:
            return
        self._is_cancelled = True
        if self._stream is not None:
            self._stream.cancel()

    async def close(self):
        """End the open transaction."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await stream.close()

    async def _run_in_block(self, exchange, guard):
        if self._stream is None:
            message = "the connection of the transaction block was closed"
            return _failed_end(not_run(FailureCode.FAILED_BLOCK, message))
        end = await self._run_with_timeout(self._stream, exchange, guard)
        is_outcome_unknown = (
            end.failure is not None
            and end.failure.verdict is Verdict.MAY_HAVE_RUN
        )
        if is_outcome_unknown and self._block_key and not guard.has_forwarded:
            return await self._look_up(end)
        return end

    async def _look_up(self, end):
        """Find out whether a block with unknown outcome committed."""
        self._context.metrics.incr("entry.look_up")
        await self.close()
        attempts = self._attempts(Access.WRITE, self._block_key)
        guard = LeaseGuard(_ignore_data, self._context.view.lease_is_live)
        # An exchange without messages only looks up the key at the primary.
        lookup_end = await self._run_attempts(
            attempts, Exchange(b""), guard, None
        )
        if lookup_end.failure is None:
            message = "the transaction did not commit: its key is not stored"
            return _failed_end(not_run(FailureCode.UNAVAILABLE, message))
        return lookup_end if lookup_end.failure.verdict is Verdict.RAN else end

    async def _run_first(self, plan, exchange, guard):
        # SET and similar statements do not use the key; it applies to the
        # transaction that follows.
        key = ""
        if plan.uses_idempotency_key:
            key = self._session.take_idempotency_key()
        attempts = self._attempts(plan.access, key)
        self._block_key = key if plan.starts_block else ""
        pool = self._session.table.pool
        self._context.retry_budget(pool).record_request()
        return await self._run_attempts(attempts, exchange, guard, plan)

    def _attempts(self, access, key):
        deadline_ms = self._context.now_ms() + self._session.deadline_ms
        return Attempts(access, deadline_ms, key)

    async def _run_attempts(self, attempts, exchange, guard, plan):
        while True:
            end, route = await self._attempt(attempts, exchange, guard, plan)
            if end.failure is None and not end.needs_primary:
                return end
            if guard.has_forwarded or self._is_cancelled:
                return end
            if not await self._prepare_retry(attempts, end, route):
                return with_combined_verdict(attempts, end)

    async def _attempt(self, attempts, exchange, guard, plan):
        if self._is_cancelled:
            return _failed_end(_cancelled_failure()), None
        routed = await self._route(attempts, plan)
        if isinstance(routed, Err):
            return _failed_end(routed.err_value), None
        route = routed.ok_value
        executor = self._context.executors.executor_for(route.owner)
        if executor is None:
            message = "the endpoint's owner is not known"
            return _failed_end(not_run(FailureCode.UNAVAILABLE, message)), None
        attempts.count += 1
        self._stream = executor.open(self._header(attempts, route, plan))
        end = await self._run_and_record_stats(route, exchange, guard)
        is_open = end.failure is None and not end.needs_primary
        if not is_open or end.status is TransactionStatus.IDLE:
            await self.close()
        return end, route

    async def _run_and_record_stats(self, route, exchange, guard):
        endpoint_stats = self._context.endpoint_stats(
            self._session.table.group
        )
        started_ms = self._context.now_ms()
        endpoint_stats.observe_start(route.endpoint, started_ms)
        end = await self._run_with_timeout(self._stream, exchange, guard)
        now_ms = self._context.now_ms()
        if end.failure is None:
            latency_ms = now_ms - started_ms - end.replication_wait_ms
            endpoint_stats.observe_answer(
                route.endpoint,
                end.position,
                latency_ms,
                end.queue_wait_ms,
                now_ms,
            )
            return end
        endpoint_stats.observe_failure(
            route.endpoint,
            endpoint_failure(end),
            now_ms,
            end.failed_position,
        )
        return end

    async def _run_with_timeout(self, stream, exchange, guard):
        caller_deadline_ms = self._session.options.deadline_ms
        if caller_deadline_ms is None:
            return await stream.run(exchange, guard.write)
        loop = asyncio.get_running_loop()
        limit_ms = caller_deadline_ms + _QUEUE_GRACE_MS
        timer = loop.call_later(limit_ms / 1000, stream.cancel)
        try:
            return await stream.run(exchange, guard.write)
        finally:
            timer.cancel()

    async def _route(self, attempts, plan):
        session = self._session
        group = session.table.group
        is_read = attempts.access is Access.READ
        if is_read and plan.needs_floor and session.floor is None:
            outcome = await self._find_floor()
            if isinstance(outcome, Err):
                return outcome
        request = RouteRequest(
            access=attempts.access,
            floor=session.floor,
            max_age_ms=session.options.max_age_ms or None,
            deadline_ms=attempts.deadline_ms,
            excluded=frozenset(attempts.excluded),
            is_urgent=session.rank == session.table.rows[0].rank,
            was_rejected=attempts.was_rejected,
        )
        return self._context.choose_route(group, request)

    async def _find_floor(self):
        """Set the primary's position as the floor of the first read."""
        session = self._session
        group = session.table.group
        outcome = await self._context.group_position(group)
        if isinstance(outcome, Err) and session.options.max_age_ms:
            return None
        if isinstance(outcome, Err):
            return outcome
        session.observe(group, outcome.ok_value)
        return None

    def _header(self, attempts, route: Route, plan):
        session = self._session
        is_read = attempts.access is Access.READ
        left_ms = attempts.deadline_ms - self._context.now_ms()
        needs_floor = is_read and plan is not None and plan.needs_floor
        return ExecuteHeader(
            endpoint=route.endpoint,
            group=session.table.group,
            epoch=route.epoch,
            term=route.term,
            pool=session.table.pool,
            rank=session.rank,
            caller=self._caller,
            floor=self._header_floor(route) if needs_floor else None,
            max_age_ms=session.options.max_age_ms,
            deadline_left_ms=max(0, int(left_ms)),
            read_only=is_read,
            idempotency_key=attempts.key,
            traceparent=current_traceparent(),
            settings=dict(session.settings),
            applied_index=self._context.view.applied_index,
            floor_wait_limit_ms=math.ceil(route.wait_limit_ms),
        )

    def _header_floor(self, route):
        floor = self._session.floor
        if floor is None:
            # The caller accepts old data, and the primary is unreachable.
            return Position(route.term, _UNREACHABLE_LSN)
        return floor

    async def _prepare_retry(self, attempts, end, route):
        """Wait until a retry is due; return whether to retry."""
        if end.needs_primary:
            attempts.access = Access.WRITE
            self._context.metrics.incr("entry.rerouted")
            return True
        now_ms = self._context.now_ms()
        left_ms = attempts.deadline_ms - now_ms
        if left_ms <= 0:
            return False
        if end.failed_position is not None:
            attempts.excluded.add(route.endpoint)
            return end.failure.code is FailureCode.UNAVAILABLE
        if self._waits_for_change(end, route):
            if route is None:
                attempts.excluded.clear()
            wait_ms = min(left_ms, _CHANGE_WAIT_MS)
            await self._context.view.wait_for_change(wait_ms)
            return True
        return await self._decide_retry(attempts, end, route, now_ms)

    def _waits_for_change(self, end, route):
        """Return whether a retry needs a newer fleet view to succeed."""
        if end.failure.verdict is not Verdict.NOT_RUN:
            return False
        if end.is_stale_owner:
            return True
        is_replica = route is not None and route.role is EndpointRole.REPLICA
        return end.failure.code in _TRANSIENT_CODES and not is_replica

    async def _decide_retry(self, attempts, end, route, now_ms):
        budget = self._context.retry_budget(self._session.table.pool)
        attempts.was_rejected = end.failure.code is FailureCode.REJECTED
        decision = decide_retry(
            end.failure,
            attempts.count,
            True,
            bool(attempts.key) and not attempts.earlier_may_have_run,
            budget,
            now_ms,
            attempts.deadline_ms,
        )
        if decision is RetryDecision.GIVE_UP:
            return False
        self._context.metrics.incr("entry.retried")
        if decision is RetryDecision.LOOK_UP:
            # The owner runs the request again only if its key is unused.
            attempts.earlier_may_have_run = True
        elif route is not None and route.role is EndpointRole.REPLICA:
            attempts.excluded.add(route.endpoint)
        settings = self._context.settings.retry
        delay_ms = retry_delay_ms(attempts.count, settings, self._context.rng)
        await asyncio.sleep(delay_ms / 1000)
        return True

    def _fail_dropped_answer(self, end, guard):
        if not guard.has_dropped or end.failure is not None:
            return end
        message = "the proxy's lease expired before the answer was passed on"
        return dataclasses.replace(end, failure=may_have_run(message))

    def _record_outcome(self, plan, end, span):
        session = self._session
        if end.failure is not None:
            span.set_attribute("verdict", end.failure.verdict.value)
            self._context.metrics.incr(
                f"entry.failed.{end.failure.verdict.value}"
            )
            if session.is_in_block:
                session.mark_block_lost()
            return
        place = "replica" if end.served_by_replica else "primary"
        self._context.metrics.incr(f"entry.served.{place}")
        span.set_attribute("served_by", place)
        span.set_attribute("access", plan.access.value)
        session.observe(session.table.group, end.position)
        session.finish(plan, end.status, end.has_error)


@dataclasses.dataclass(frozen=True, slots=True)
class RunningExchange:
    """Handle that cancels one exchange of a session, but no later one."""

    runner: RequestRunner
    number: int

    def cancel(self):
        """Cancel the exchange; does nothing once it has ended."""
        self.runner.cancel(self.number)


async def _ignore_data(data):
    """Sink of an exchange that has no answer."""


def _failed_end(failure: Failure):
    return ExchangeEnd(failure=failure)


def _cancelled_failure():
    return not_run(FailureCode.CANCELLED, "the statement was cancelled")
