"""One transaction at the owner of an endpoint."""

import asyncio

from opentelemetry import trace

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._backend_packet import analyze_messages
from waxwinglift.connection._backend_packet import Packet
from waxwinglift.connection._backend_packet import PRIMARY_POSITION_SQL
from waxwinglift.connection._backend_packet import REPLICA_POSITION_SQL
from waxwinglift.connection._wire import parse_lsn
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Sink
from waxwinglift.process._trace_context import extract_context
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.request import RequestId
from waxwinglift.request import Verdict
from waxwinglift.request._idle_timer import IdleTimer
from waxwinglift.request._owner_answer import AnswerBuffer
from waxwinglift.request._owner_answer import AnswerTooLarge
from waxwinglift.request._owner_keyed import look_up_key
from waxwinglift.request._owner_keyed import run_keyed_block
from waxwinglift.request._owner_keyed import run_keyed_request
from waxwinglift.request._owner_slot import StatementFailed
from waxwinglift.request._owner_slot import TransactionSlot
from waxwinglift.version import Lsn
from waxwinglift.version import Position

READ_ONLY_SQLSTATE = "25006"


class OwnerStream:
    """Runs the exchanges of one transaction on one connection.

    Parameters
    ----------
    owner : EndpointOwner
    header : ExecuteHeader
    request : RequestId
        Unique among the requests of the owner.
    """

    def __init__(self, owner, header: ExecuteHeader, request: RequestId):
        self.header = header
        self.owner = owner
        self.slot = TransactionSlot(owner, header, request)
        self._is_cancelled = False
        self._task: asyncio.Task | None = None
        self._idle_timer = IdleTimer(self.slot.discard)

    async def run(self, exchange: Exchange, sink: Sink) -> ExchangeEnd:
        """Run one exchange and return its outcome."""
        context = extract_context(self.header.traceparent)
        span = self.owner.tracer.start_span("owner.execute", context)
        self._idle_timer.stop()
        self._task = asyncio.current_task()
        self.slot.is_running = True
        try:
            end = await self._run_or_fail(exchange, sink, span)
        finally:
            self._task = None
            self.slot.is_running = False
            span.end()
        if end.failure is not None:
            verdict = end.failure.verdict.value
            self.owner.metrics.incr(f"owner.failed.{verdict}")
        return end

    def cancel(self):
        """Cancel the running exchange."""
        if self._task is not None:
            self._is_cancelled = True
            self._task.cancel()

    async def close(self):
        """End the transaction; an open block is rolled back."""
        self._idle_timer.stop()
        self.slot.discard()

    async def _run_or_fail(self, exchange, sink, span):
        try:
            return await self._run(exchange, sink, span)
        except StatementFailed as error:
            self.slot.discard()
            return self.make_end(failure=error.failure)
        except EndpointConnectionLost as error:
            self.slot.cancel_and_discard()
            return self.make_end(
                failure=self._connection_lost_failure(str(error))
            )
        except AnswerTooLarge:
            self.slot.cancel_and_discard()
            message = (
                "the answer exceeds held_answer_limit_bytes and cannot wait "
                "for a quorum"
            )
            return self.make_end(failure=may_have_run(message))
        except asyncio.CancelledError:
            self.slot.cancel_and_discard()
            if not self._is_cancelled:
                raise
            asyncio.current_task().uncancel()
            return self.make_end(failure=self._cancelled_failure())
        except BaseException:
            self.slot.discard()
            raise

    async def _run(self, exchange, sink, span):
        self.slot.is_sent = False
        if self.slot.is_ended:
            message = "the transaction's connection was closed"
            raise StatementFailed(not_run(FailureCode.UNAVAILABLE, message))
        summary = analyze_messages(exchange.messages, exchange.prepared)
        is_first = self.slot.connection is None
        if is_first:
            refusal = await self.slot.begin(summary)
            if refusal is not None:
                self.slot.discard()
                return refusal
        context = trace.set_span_in_context(span)
        statement_span = self.owner.tracer.start_span(
            "endpoint.statement", context
        )
        try:
            return await self._execute(exchange, summary, is_first, sink)
        finally:
            statement_span.end()

    async def _execute(self, exchange, summary, is_first, sink):
        key = self.header.idempotency_key
        if key and is_first:
            return await self._execute_keyed(exchange, summary, key, sink)
        is_block = not is_first or summary.starts_block
        buffer = self._buffer(summary, is_block, sink)
        packet = self.build_packet(exchange)
        needs_position = not is_block or summary.may_commit
        position = self._add_position_query(packet) if needs_position else None
        await self.slot.send(packet, buffer)
        self.slot.record_exchange(packet, summary)
        if self._needs_primary(packet, buffer):
            return self._request_reroute(packet)
        return await self.finish(packet, position, summary, buffer)

    async def _execute_keyed(self, exchange, summary, key, sink):
        # An exchange without messages only looks up the key.
        if not exchange.messages:
            return await look_up_key(self, key)
        if summary.starts_block:
            return await run_keyed_block(self, exchange, summary, key, sink)
        return await run_keyed_request(self, exchange, summary, key, sink)

    def build_packet(self, exchange: Exchange) -> Packet:
        """Return the packet that sends a caller's exchange."""
        prepared_names = self.slot.connection.prepared
        packet = Packet()
        for prepared in exchange.prepared:
            name = prepared.endpoint_name
            if not name or name not in prepared_names:
                packet.add_parse(prepared)
        packet.add_exchange(exchange.messages, prepared_names)
        return packet

    async def finish(self, packet, position_step, summary, buffer):
        """End an exchange after the endpoint has answered completely."""
        has_error = any(
            step.error is not None
            for step in packet.steps
            if step is not position_step
        )
        status = last_status(packet)
        if status is not TransactionStatus.IDLE:
            await buffer.flush()
            self._idle_timer.start(self.owner.settings.idle_block_timeout_ms)
            return self.make_end(
                status=status,
                has_error=has_error,
                served_by_replica=self.slot.is_replica,
            )
        position = await self._read_position(position_step, summary)
        return await self.release_and_answer(position, buffer, has_error)

    async def release_and_answer(
        self, position: Position | None, buffer: AnswerBuffer, has_error: bool
    ) -> ExchangeEnd:
        """Free the slot and the connection, then pass the answer on.

        An answer of the primary is passed on only after a quorum has received
        ``position``.
        """
        is_replica = self.slot.is_replica
        self.slot.release()
        started_ms = self.owner.now_ms()
        if position is not None and not is_replica:
            failure = await self.owner.positions.wait_for_quorum(position)
            if failure is not None:
                buffer.discard()
                return self.make_end(failure=failure)
        quorum_wait_ms = self.owner.now_ms() - started_ms
        await buffer.flush()
        return self.make_end(
            position=position,
            has_error=has_error,
            replication_wait_ms=quorum_wait_ms + self.slot.floor_wait_ms,
            served_by_replica=is_replica,
        )

    def held_answer_buffer(self, sink: Sink) -> AnswerBuffer:
        """Return a buffer for an answer that waits for a quorum."""
        limit_bytes = self.owner.settings.held_answer_limit_bytes
        return AnswerBuffer(sink, limit_bytes, waits_for_flush=True)

    def make_end(self, **fields) -> ExchangeEnd:
        """Return the outcome of the exchange."""
        return ExchangeEnd(queue_wait_ms=self.slot.queue_wait_ms, **fields)

    def primary_position(self, lsn_text: str) -> Position:
        """Return the position for an LSN that the primary reported."""
        return Position(self.header.term, Lsn(parse_lsn(lsn_text)))

    async def _read_position(self, step, summary):
        """Return the position of the exchange from ``step`` or a new query.

        None after ROLLBACK, which writes nothing, or if the endpoint reports
        none.
        """
        if step is None and summary.is_rollback:
            return None
        if step is None or not step.rows:
            packet = Packet()
            step = self._add_position_query(packet)
            await self.slot.send(packet, None)
        if not step.rows or step.rows[0][0] is None:
            return None
        if self.slot.is_replica:
            lsn = parse_lsn(step.rows[0][0])
            return self.owner.positions.record_lsn(lsn)
        return self.primary_position(step.rows[0][0])

    def _add_position_query(self, packet):
        if self.slot.is_replica:
            return packet.add_query(REPLICA_POSITION_SQL)
        return packet.add_query(PRIMARY_POSITION_SQL)

    def _buffer(self, summary, is_block, sink):
        if self.slot.is_replica:
            limit_bytes = self.owner.settings.replica_buffer_bytes
            buffer_limit_bytes = 0 if is_block else limit_bytes
            return AnswerBuffer(
                sink, buffer_limit_bytes, waits_for_flush=False
            )
        if is_block and not summary.may_commit:
            return AnswerBuffer(sink, 0, waits_for_flush=False)
        return self.held_answer_buffer(sink)

    def _needs_primary(self, packet, buffer):
        if buffer.has_forwarded or not self.slot.is_replica:
            return False
        errors = [step.error for step in packet.forwarded_steps()]
        codes = {error.code for error in errors if error is not None}
        return READ_ONLY_SQLSTATE in codes

    def _request_reroute(self, packet):
        """Free the slot, and let the entry proxy use the primary instead."""
        if last_status(packet) is TransactionStatus.IDLE:
            self.slot.release()
        else:
            self.slot.discard()
        return self.make_end(needs_primary=True)

    def _connection_lost_failure(self, reason):
        if self._is_cancelled:
            return self._cancelled_failure()
        if not self.slot.is_sent:
            message = f"connection lost before the statement: {reason}"
            return not_run(FailureCode.UNAVAILABLE, message)
        return may_have_run(f"the endpoint's answer was lost: {reason}")

    def _cancelled_failure(self):
        is_sent = self.slot.is_sent
        verdict = Verdict.MAY_HAVE_RUN if is_sent else Verdict.NOT_RUN
        message = "the statement was cancelled"
        return Failure(verdict, FailureCode.CANCELLED, message)


def last_status(packet: Packet) -> TransactionStatus:
    """Return the status after the last answered message of the caller."""
    steps = packet.forwarded_steps()
    statuses = [step.status for step in steps if step.status]
    return TransactionStatus(statuses[-1])
