"""Runs the statements of one session on endpoints, with retries."""

import asyncio
import dataclasses
import math

from result import Err

from waxwinglift.connection import TransactionStatus
from waxwinglift.process._entry_context import EntryContext
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import TransactionStream
from waxwinglift.process._trace_context import current_traceparent
from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.request import Verdict
from waxwinglift.request._data_path_attempt import endpoint_failure
from waxwinglift.request._routing import Route
from waxwinglift.request._routing_load import describe_options
from waxwinglift.request._statement_attempts import final_outcome
from waxwinglift.request._statement_attempts import mark_retryable_error
from waxwinglift.request._statement_attempts import StatementAttempts
from waxwinglift.request._statement_daemons import StatementDaemons
from waxwinglift.request._statement_failures import interrupted_failure
from waxwinglift.request._statement_failures import Interruption
from waxwinglift.request._statement_failures import StatementProgress
from waxwinglift.request._statement_retries import StatementRetries
from waxwinglift.request._statement_routes import StatementRoutes
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version._types import Consistency

# Added to a statement's time limit, for the answer of the owner to arrive.
_OWNER_GRACE_MS = 150.0


async def _ignore_data(data):
    """Ignore data: the outcome contains the answer of a typed statement."""


class StatementRunner:
    """Runs each statement of one session at an endpoint that it chooses.

    The statements of a transaction block use the same stream.

    Parameters
    ----------
    context : EntryContext
    session : StatementSession
        Has ``table``, ``policy``, ``floor``, ``settings``, ``caller``,
        ``workspace`` and ``is_disconnected``.
    """

    def __init__(self, context: EntryContext, session):
        self._context = context
        self._session = session
        # Whether the open block, or the last one, contains a write.
        self.has_block_written = False
        # Whether the running statement may have reached an endpoint.
        self._may_have_run = False
        self._stream: TransactionStream | None = None
        self._daemons = StatementDaemons(context, session)
        self._routes = StatementRoutes(context, session, self._daemons)
        self._retries = StatementRetries(context, session, self._routes)

    @property
    def is_in_block(self) -> bool:
        """Whether a block is open at an endpoint."""
        return self._stream is not None

    def cancel(self):
        """Cancel the running statement."""
        if self._stream is not None:
            self._stream.cancel()

    async def close(self):
        """End the open transaction."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await stream.close()

    def interrupted_failure(
        self, statement: Statement, is_block: bool, interruption: Interruption
    ) -> Failure:
        """Return the failure of a statement whose run was interrupted."""
        may_commit = statement.is_write
        if is_block:
            is_commit = statement.verb is StatementVerb.COMMIT
            may_commit = is_commit and self.has_block_written
        progress = StatementProgress(
            is_sent=self._may_have_run,
            in_block=is_block,
            may_commit=may_commit,
        )
        failure = interrupted_failure(progress, interruption)
        self._context.request_log.write(
            "request interrupted",
            request_id=statement.request.decode("latin-1"),
            pool=self._session.table.pool,
            verb=statement.verb.value,
            verdict=failure.verdict.value,
            reason=failure.message,
        )
        self._context.metrics.incr(f"entry.interrupted.{interruption.value}")
        return failure

    async def run_single(self, statement: Statement) -> ExchangeEnd:
        """Run a statement outside of a block."""
        refusal = await self._find_quota_refusal(statement)
        if refusal is not None:
            return refusal
        access = self._access(statement.is_write)
        attempts = self._attempts(access, is_block=False)
        end = await self._run_attempts(statement, attempts)
        await self.close()
        self._give_back_quota(end)
        self._count_outcome(end)
        return end

    async def open_block(
        self, statement: Statement, is_read_block: bool
    ) -> ExchangeEnd:
        """Open a block and run its first statement."""
        refusal = await self._find_quota_refusal(statement)
        if refusal is not None:
            return refusal
        access = self._access(not is_read_block)
        attempts = self._attempts(access, is_block=True)
        self.has_block_written = statement.is_write
        end = await self._run_attempts(statement, attempts)
        self._give_back_quota(end)
        return await self._finish_in_block(statement, end)

    async def run_in_block(
        self, statement: Statement, settings: dict[str, str] | None
    ) -> ExchangeEnd:
        """Run a later statement of the open block.

        ``settings`` are the session's values, or None if unchanged.
        """
        self.has_block_written = self.has_block_written or statement.is_write
        self._may_have_run = True
        exchange = Exchange(b"", statement=statement, settings=settings)
        limit_ms = self._session.policy.statement_timeout_ms
        end = await self._run_with_timeout(exchange, limit_ms)
        return await self._finish_in_block(statement, end)

    async def _find_quota_refusal(self, statement):
        """Return the outcome if the workspace may start no operation now."""
        self._may_have_run = False
        session = self._session
        failure = await self._context.quota_gate.admit(session.workspace)
        if failure is None:
            return None
        self._context.request_log.write(
            "operation of a workspace refused",
            request_id=statement.request.decode("latin-1"),
            pool=session.table.pool,
            workspace=session.workspace,
            reason=failure.message,
            retry_after_ms=failure.retry_after_ms,
        )
        end = ExchangeEnd(failure=failure)
        self._count_outcome(end)
        return end

    def _give_back_quota(self, end):
        """Give back the right to an operation that has not run."""
        failure = end.failure
        if failure is not None and failure.verdict is Verdict.NOT_RUN:
            self._context.quota_gate.give_back(self._session.workspace)

    async def _finish_in_block(self, statement, end):
        end = self._block_outcome(statement, end)
        if end.failure is not None:
            self._context.request_log.write(
                "transaction ended",
                request_id=statement.request.decode("latin-1"),
                pool=self._session.table.pool,
                verb=statement.verb.value,
                verdict=end.failure.verdict.value,
                reason=end.failure.message,
                log_index=self._context.view.applied_index,
            )
        is_open = (
            end.failure is None
            and end.status is TransactionStatus.IN_TRANSACTION
        )
        if not is_open:
            await self.close()
        self._count_outcome(end)
        return end

    def _block_outcome(self, statement, end):
        """Return the outcome for the whole block after a failure in it.

        Before COMMIT is sent, nothing can be committed, and a block that has
        only read has nothing to commit.
        """
        failure = end.failure
        if failure is None:
            return end
        is_commit = statement.verb is StatementVerb.COMMIT
        is_outcome_unknown = failure.verdict is Verdict.MAY_HAVE_RUN
        if is_commit and is_outcome_unknown and self.has_block_written:
            return end
        if is_outcome_unknown or self._stream is not None:
            message = f"the transaction was ended: {failure.message}"
            aborted = not_run(
                FailureCode.ABORTED, message, failure.retry_after_ms
            )
            return dataclasses.replace(end, failure=aborted)
        return end

    def _access(self, is_write):
        policy = self._session.policy
        if is_write or policy.consistency is Consistency.PRIMARY:
            return Access.WRITE
        return Access.READ

    def _attempts(self, access, is_block):
        self._may_have_run = False
        now_ms = self._context.now_ms()
        limit_ms = self._session.policy.statement_timeout_ms
        self._context.retry_budget(self._session.table.pool).record_request()
        return StatementAttempts(access, now_ms, now_ms + limit_ms, is_block)

    async def _run_attempts(self, statement, attempts):
        while True:
            end, route = await self._attempt(statement, attempts)
            end = mark_retryable_error(statement, attempts, end)
            if end.failure is None:
                return end
            may_retry = await self._retries.prepare_retry(
                statement, attempts, end, route
            )
            self._log_failure(statement, attempts, end, route, may_retry)
            if not may_retry:
                return final_outcome(statement, attempts, end)

    def _log_failure(self, statement, attempts, end, route, may_retry):
        failure = end.failure
        now_ms = self._context.now_ms()
        self._context.request_log.write(
            "attempt failed, trying again" if may_retry else "request failed",
            request_id=statement.request.decode("latin-1"),
            pool=self._session.table.pool,
            rank=self._session.table.rows[0].rank,
            verb=statement.verb.value,
            verdict=failure.verdict.value,
            reason=failure.message,
            retry_after_ms=failure.retry_after_ms,
            attempts_count=attempts.count,
            elapsed_ms=round(now_ms - attempts.arrived_ms, 1),
            queue_wait_ms=round(end.queue_wait_ms, 1),
            endpoint=None if route is None else route.endpoint,
            owner=None if route is None else route.owner,
            term=None if route is None else route.term,
            log_index=self._context.view.applied_index,
            options=None if route is None else describe_options(route.options),
        )

    async def _attempt(self, statement, attempts):
        routed = self._routes.find(attempts)
        if isinstance(routed, Err):
            return ExchangeEnd(failure=routed.err_value), None
        route = routed.ok_value
        daemon, executor = self._daemons.choose(route, attempts)
        if executor is None:
            message = "no owner of the endpoint can be reached"
            failure = not_run(FailureCode.UNAVAILABLE, message)
            return ExchangeEnd(failure=failure), route
        attempts.count += 1
        await self.close()
        if route.catch_up_ms > 0:
            # The endpoint would refuse a read before it reaches the floor.
            await asyncio.sleep(route.catch_up_ms / 1000)
        self._may_have_run = True
        self._stream = executor.open(
            self._header(attempts, route, daemon != route.owner)
        )
        end = await self._run_and_record_stats(route, statement, attempts)
        self._daemons.record_outcome(end, route, daemon, attempts)
        if end.failure is not None:
            self._may_have_run = end.failure.verdict is not Verdict.NOT_RUN
            await self.close()
        return end, route

    async def _run_and_record_stats(self, route, statement, attempts):
        endpoint_stats = self._context.endpoint_stats(
            self._session.table.group
        )
        started_ms = self._context.now_ms()
        endpoint_stats.observe_start(route.endpoint, started_ms)
        limit_ms = attempts.deadline_ms - started_ms
        exchange = Exchange(b"", statement=statement)
        end = await self._run_with_timeout(exchange, limit_ms)
        now_ms = self._context.now_ms()
        if end.failure is None:
            endpoint_stats.observe_answer(
                route.endpoint,
                end.position,
                now_ms - started_ms,
                end.queue_wait_ms,
                now_ms,
            )
        else:
            endpoint_stats.observe_failure(
                route.endpoint,
                None if end.is_owner_unreachable else endpoint_failure(end),
                now_ms,
                end.failed_position,
            )
        return end

    async def _run_with_timeout(self, exchange, limit_ms):
        """Run an exchange; fail if the owner does not answer in time."""
        try:
            async with asyncio.timeout((limit_ms + _OWNER_GRACE_MS) / 1000):
                end = await self._stream.run(exchange, _ignore_data)
                self._context.loads.record(end.loads)
                return end
        except TimeoutError:
            message = "the endpoint's owner did not answer in time"
            return ExchangeEnd(
                failure=may_have_run(message), is_owner_unreachable=True
            )

    def _header(self, attempts, route: Route, to_standby: bool):
        session = self._session
        policy = session.policy
        is_read = attempts.access is Access.READ
        left_ms = max(0.0, attempts.deadline_ms - self._context.now_ms())
        return ExecuteHeader(
            endpoint=route.endpoint,
            group=session.table.group,
            epoch=route.epoch,
            term=route.term,
            pool=session.table.pool,
            rank=session.table.rows[0].rank,
            caller=session.caller,
            floor=session.floor if is_read else None,
            max_age_ms=policy.max_staleness_ms if is_read else 0,
            deadline_left_ms=math.ceil(left_ms),
            read_only=is_read,
            traceparent=current_traceparent(),
            settings=session.settings,
            applied_index=self._context.view.applied_index,
            in_block=attempts.is_block,
            to_standby=to_standby,
            statement_timeout_ms=policy.statement_timeout_ms,
            workspace=session.workspace,
        )

    def _count_outcome(self, end):
        metrics = self._context.metrics
        if end.failure is not None:
            metrics.incr(f"entry.failed.{end.failure.verdict.value}")
            return
        place = "replica" if end.served_by_replica else "primary"
        metrics.incr(f"entry.served.{place}")
