"""One transaction of typed statements (`_statements.py`) at an owner."""

import asyncio
import contextlib

from opentelemetry import trace
from result import Err

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Sink
from waxwinglift.process._trace_context import extract_context
from waxwinglift.request import _statement_failures as failures
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request import RequestId
from waxwinglift.request._block_place import BlockPlace
from waxwinglift.request._idle_timer import IdleTimer
from waxwinglift.request._read_floor import find_read_floor
from waxwinglift.request._statement_failures import StreamFailed
from waxwinglift.request._statement_slot import acquire_connection
from waxwinglift.request._statement_slot import enter_slot
from waxwinglift.request._statement_slot import find_need
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import StatementVerb
from waxwinglift.request._statement_ticket import make_ticket
from waxwinglift.request._statement_ticket import work_kind
from waxwinglift.request._statement_ticket import WorkSample
from waxwinglift.request._transaction_connection import TransactionConnection

_ROLLBACK = Command(CommandKind.ROLLBACK)


class StatementStream:
    """Runs one statement, or the statements of one transaction block.

    A read at the primary runs in a transaction that the proxy opens.  Only
    the current primary accepts one, so the read cannot miss a commit that a
    later primary has acknowledged.  A read at a replica is sent with the
    lowest position that the replica must have reached.

    Parameters
    ----------
    owner : StatementOwner
    header : ExecuteHeader
    request : RequestId
        Unique among the requests of the owner.
    """

    def __init__(self, owner, header: ExecuteHeader, request: RequestId):
        self.header = header
        self._owner = owner
        self._request = request
        self._task: asyncio.Task | None = None
        self._is_cancelled = False
        self._statements_count = 0
        self._is_ended = False
        self._is_sent = False
        self._connection = TransactionConnection(
            owner, request, find_need(owner, header)
        )
        self._block_place = BlockPlace(owner, self)
        self._idle_timer = IdleTimer(self.end_if_idle)
        self._queue_wait_ms = 0.0
        self._work_sample = WorkSample(owner.awake_ms)
        self._is_at_primary = False
        self._connection.set_values(header.settings)

    async def run(self, exchange: Exchange, sink: Sink) -> ExchangeEnd:
        """Run one statement and return its outcome."""
        context = extract_context(self.header.traceparent)
        span = self._owner.tracer.start_span("owner.execute", context)
        self._idle_timer.stop()
        if exchange.settings is not None:
            self._connection.set_values(exchange.settings)
        self._task = asyncio.current_task()
        try:
            end = await self._run_or_fail(exchange.statement, span)
        finally:
            self._task = None
            span.end()
        if end.failure is not None:
            verdict = end.failure.verdict.value
            self._owner.metrics.incr(f"owner.failed.{verdict}")
        return end

    def cancel(self):
        """Cancel the running statement."""
        if self._task is not None:
            self._is_cancelled = True
            self._task.cancel()

    async def close(self):
        """End the transaction; an open block is rolled back."""
        self._idle_timer.stop()
        self._end_block()

    async def _run_or_fail(self, statement, span):
        try:
            return await self._run(statement, span)
        except StreamFailed as failed:
            self._end_block()
            return failed.end
        except EndpointConnectionLost as error:
            self._abort()
            failure = failures.connection_lost_failure(
                self._progress(statement), str(error)
            )
            return self._make_end(failure=failure)
        except TimeoutError:
            # The endpoint may still run the statement: close the connection.
            self._connection.record_timeout()
            self._abort()
            failure = failures.timeout_failure(self._progress(statement))
            return self._make_end(failure=failure)
        except asyncio.CancelledError:
            self._end_block()
            if not self._is_cancelled:
                raise
            asyncio.current_task().uncancel()
            failure = failures.cancelled_failure(self._progress(statement))
            return self._make_end(failure=failure)
        except BaseException:
            self._abort()
            raise

    async def _run(self, statement, span):
        self._is_sent = False
        if self._is_ended:
            message = "the transaction block has ended"
            self._fail(not_run(FailureCode.ABORTED, message))
        self._statements_count += 1
        is_first = self._statements_count == 1
        limit_ms = self._limit_ms(is_first)
        deadline_ms = self._owner.now_ms() + limit_ms
        context = trace.set_span_in_context(span)
        child = self._owner.tracer.start_span("endpoint.statement", context)
        try:
            if not self.header.in_block:
                return await self._run_single(statement, deadline_ms)
            if is_first:
                await self._begin_block(statement, deadline_ms)
            return await self._run_in_block(statement, deadline_ms)
        finally:
            child.end()

    def _limit_ms(self, is_first):
        if is_first or not self.header.statement_timeout_ms:
            return self.header.deadline_left_ms
        return self.header.statement_timeout_ms

    async def _run_single(self, statement, deadline_ms):
        self._raise_if_refused(is_new=True)
        after = await self._find_floor(deadline_ms)
        async with self._slot(statement, deadline_ms):
            # The assignment and the role may have changed during the waits.
            self._raise_if_refused()
            if self._is_at_primary and not statement.is_write:
                reply = await self._run_read_at_primary(statement, deadline_ms)
            else:
                commands = self._connection.build_commands(statement, after)
                reply = (await self._send(commands, deadline_ms))[-1]
            self._raise_if_retryable(reply)
            self._connection.release()
        return self._answered_end(reply)

    async def _run_read_at_primary(self, statement, deadline_ms):
        """Run a read in a transaction that only the primary accepts."""
        commands = self._connection.build_commands(statement, None)
        setup, read = commands[:-1], commands[-1]
        begin = [*setup, Command(CommandKind.BEGIN)]
        begun = (await self._send(begin, deadline_ms, is_setup=True))[-1]
        self._raise_if_not_begun(begun)
        reply, ended = await self._send([read, _ROLLBACK], deadline_ms)
        if ended.status is not TransactionStatus.IDLE:
            raise EndpointConnectionLost("ROLLBACK left a transaction open")
        return Reply(reply.answer, ended.status, reply.position)

    async def _begin_block(self, statement, deadline_ms):
        self._raise_if_refused(is_new=True)
        self._raise_if_queue_refuses(statement, deadline_ms)
        after = await self._find_floor(deadline_ms)
        ticket = self._ticket(statement, deadline_ms, is_block=True)
        failure = await self._block_place.enter(ticket)
        if failure is not None:
            self._fail(failure)
        self._raise_if_refused()
        failure = await acquire_connection(
            self._owner, self._connection, deadline_ms
        )
        if failure is not None:
            self._fail(failure)
        is_read = self.header.read_only and not self._is_at_primary
        kind = CommandKind.BEGIN_READ if is_read else CommandKind.BEGIN
        begin = Command(kind, after=after)
        (reply,) = await self._send([begin], deadline_ms, is_setup=True)
        self._raise_if_not_begun(reply)

    async def _run_in_block(self, statement, deadline_ms):
        async with self._slot(statement, deadline_ms):
            commands = self._connection.build_commands(statement, None)
            reply = (await self._send(commands, deadline_ms))[-1]
        self._record_error(reply)
        if reply.status is not TransactionStatus.IN_TRANSACTION:
            # The block has ended, or it can only be rolled back.
            self._end_block(is_idle=reply.status is TransactionStatus.IDLE)
        else:
            self._idle_timer.start(self._owner.idle_block_ms)
        return self._answered_end(reply)

    async def _find_floor(self, deadline_ms):
        """Record the role; return a replica read's lowest position or None."""
        self._is_at_primary = self._owner.positions.is_primary
        if self._is_at_primary or not self.header.read_only:
            return None
        found = await find_read_floor(self._owner, self.header, deadline_ms)
        if isinstance(found, Err):
            self._fail(found.err_value)
        return found.ok_value

    @contextlib.asynccontextmanager
    async def _slot(self, statement, deadline_ms):
        """Occupy a slot, with a connection, while the context is open."""
        queued_ms = self._owner.now_ms()
        ticket = self._ticket(statement, deadline_ms)
        entered = await enter_slot(
            self._owner, self._connection, ticket, self.header.in_block
        )
        if isinstance(entered, Err):
            self._fail_refused(ticket, entered.err_value)
        ticket = entered.ok_value
        started_ms = self._owner.now_ms()
        self._work_sample.start()
        self._queue_wait_ms = started_ms - queued_ms
        self._owner.metrics.timing("owner.queue_wait", self._queue_wait_ms)
        self._owner.add_running(self)
        try:
            yield
        finally:
            service_ms = self._owner.now_ms() - started_ms
            work_ms = self._work_sample.elapsed_ms()
            self._owner.slots.leave(ticket, service_ms, work_ms)
            if not self._block_place.is_open:
                self._owner.remove_running(self)

    def _ticket(self, statement, deadline_ms, is_block=False):
        return make_ticket(
            self.header,
            self._request,
            self._owner.now_ms(),
            deadline_ms=deadline_ms,
            is_block=is_block,
            is_continued=self._statements_count > 1,
            is_admitted=self._block_place.is_open,
            work=work_kind(self.header.pool, statement),
            target_ms=self._owner.target_latency_ms(self.header.pool),
        )

    async def _send(self, commands, deadline_ms, is_setup=False):
        """Send commands and return their replies.

        With ``is_setup``, no command contains a statement of the caller.

        Raises
        ------
        EndpointConnectionLost, TimeoutError
            Not all replies arrived.
        """
        left_ms = deadline_ms - self._owner.now_ms()
        if left_ms <= 0:
            message = "the time limit of the statement has passed"
            self._fail(not_run(FailureCode.REJECTED, message))
        self._is_sent = not is_setup
        try:
            async with asyncio.timeout(left_ms / 1000):
                replies = await self._connection.run(commands)
        except TimeoutError:
            self._work_sample.record_timeout()
            raise
        if not is_setup:
            self._work_sample.record_replies(replies)
        self._owner.monitor.record_response()
        return replies

    def _raise_if_refused(self, is_new=False):
        """Raise StreamFailed if the owner refuses the request.

        With ``is_new``, also if it lacks processor time for new work.
        """
        owner = self._owner
        find = owner.find_admission_refusal if is_new else owner.find_refusal
        refusal = find(self.header)
        if refusal is not None:
            raise StreamFailed(refusal)

    def _raise_if_queue_refuses(self, statement, deadline_ms):
        """Raise StreamFailed if the first statement would get no slot.

        The endpoint then need not begin and roll back the block.
        """
        ticket = self._ticket(statement, deadline_ms)
        refusal = self._owner.slots.find_refusal(ticket)
        if refusal is not None:
            self._fail_refused(ticket, refusal)

    def _raise_if_not_begun(self, reply):
        """Raise StreamFailed unless BEGIN has opened a transaction.

        A statement that is sent without one would commit by itself.
        """
        self._raise_if_retryable(reply)
        if reply.status is TransactionStatus.IN_TRANSACTION:
            return
        message = "the endpoint has not opened a transaction"
        self._fail(not_run(FailureCode.UNAVAILABLE, message))

    def _raise_if_retryable(self, reply):
        """Raise StreamFailed if another endpoint may serve the request."""
        self._record_error(reply)
        error = reply.answer.error
        failure = failures.retryable_failure(error)
        if failure is None:
            return
        if reply.status is TransactionStatus.IDLE:
            self._connection.release()
        else:
            self._connection.discard()
        is_behind = failure.code is FailureCode.BEHIND
        end = self._make_end(
            failure=failure,
            failed_position=reply.position if is_behind else None,
            is_stale_owner=error.code is EndpointErrorCode.READ_ONLY,
        )
        raise StreamFailed(end)

    def _record_error(self, reply):
        """Count an error; record a demotion or lost prepared statements."""
        error = reply.answer.error
        if error is None:
            return
        self._owner.metrics.incr(f"endpoint.{error.code.value}")
        if error.code is EndpointErrorCode.READ_ONLY and self._is_at_primary:
            self._owner.record_demotion()
        if error.code is EndpointErrorCode.UNKNOWN_STATEMENT:
            self._connection.clear_prepared()

    def _answered_end(self, reply):
        return self._make_end(
            status=reply.status,
            position=reply.position,
            answer=reply.answer,
            has_error=reply.answer.error is not None,
            served_by_replica=not self._is_at_primary,
        )

    def _end_block(self, is_idle=False):
        """End the block; roll its connection back unless ``is_idle``."""
        self._is_ended = True
        if is_idle:
            self._connection.release()
        else:
            self._connection.roll_back()
        self._block_place.leave()

    def _abort(self):
        """End the stream and close its connection, whose state is unknown."""
        self._is_ended = True
        self._connection.discard()
        self._block_place.leave()

    def _fail(self, failure: Failure):
        raise StreamFailed(self._make_end(failure=failure))

    def _fail_refused(self, ticket, failure):
        """Raise StreamFailed for a refusal of the queue of slots."""
        self._owner.admission_report.record_refusal(ticket.rank, failure)
        self._fail(failure)

    def _make_end(self, **fields):
        return ExchangeEnd(queue_wait_ms=self._queue_wait_ms, **fields)

    def _progress(self, statement):
        return failures.StatementProgress(
            is_sent=self._is_sent,
            in_block=self.header.in_block,
            may_commit=statement.verb is StatementVerb.COMMIT,
        )

    def end_if_idle(self):
        """End an open block that waits for its caller."""
        if self._task is None and not self._is_ended:
            self._owner.metrics.incr("owner.idle_block_ended")
            self._end_block()
