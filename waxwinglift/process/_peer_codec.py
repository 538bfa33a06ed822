"""Conversion between the data path's messages and protobuf."""

import dataclasses
import struct

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.connection._session_types import PreparedStatement
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._classify import classify
from waxwinglift.request._quota import QuotaAnswer
from waxwinglift.request._quota import QuotaOutcome
from waxwinglift.request._statements import EndpointError
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._statements import PreparedShape
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version import EndpointId
from waxwinglift.version import Epoch
from waxwinglift.version import GroupName
from waxwinglift.version import LogIndex
from waxwinglift.version import Lsn
from waxwinglift.version import PoolName
from waxwinglift.version import Position
from waxwinglift.version import Rank
from waxwinglift.version import Term
from waxwinglift.version._types import WorkspaceName

_US_PER_MS = 1000
# Process id, which precedes the secret of an encoded cancel key.
_PROCESS_ID_FORMAT = struct.Struct("!i")


def encode_position(wire, position: Position):
    """Fill a WirePosition."""
    wire.term = position.term
    wire.lsn = position.lsn


def decode_position(wire) -> Position:
    """Return the position of a WirePosition."""
    return Position(Term(wire.term), Lsn(wire.lsn))


def encode_failure(wire, failure: Failure):
    """Fill a WireFailure."""
    wire.verdict = failure.verdict.value
    wire.sqlstate = failure.code.value
    wire.message = failure.message
    if failure.retry_after_ms is not None:
        wire.retry_after_ms = failure.retry_after_ms


def decode_failure(wire) -> Failure:
    """Return the failure of a WireFailure."""
    return Failure(
        Verdict(wire.verdict),
        FailureCode(wire.sqlstate),
        wire.message,
        wire.retry_after_ms or None,
    )


def encode_quota_answer(answer: QuotaAnswer) -> peer_pb2.QuotaReply:
    """Return the message of an answer about a workspace's limit."""
    return peer_pb2.QuotaReply(
        outcome=answer.outcome.value, retry_after_ms=answer.retry_after_ms
    )


def decode_quota_answer(wire) -> QuotaAnswer:
    """Return the answer of a QuotaReply message.

    Raises
    ------
    ValueError
        The outcome is unknown.
    """
    return QuotaAnswer(QuotaOutcome(wire.outcome), wire.retry_after_ms)


def encode_cancel_key(key: CancelKey) -> peer_pb2.ExecuteFrame:
    """Return the frame of a cancel request."""
    packed = _PROCESS_ID_FORMAT.pack(key.process_id) + key.secret_key
    return peer_pb2.ExecuteFrame(cancel=True, messages=packed)


def decode_cancel_key(frame) -> CancelKey | None:
    """Return the key of a cancel request, or None if it is malformed."""
    if len(frame.messages) <= _PROCESS_ID_FORMAT.size:
        return None
    (process_id,) = _PROCESS_ID_FORMAT.unpack_from(frame.messages)
    return CancelKey(process_id, frame.messages[_PROCESS_ID_FORMAT.size :])


def encode_exchange(
    exchange: Exchange, header: ExecuteHeader | None
) -> peer_pb2.ExecuteFrame:
    """Return the frame of an exchange; the first one carries the header."""
    frame = peer_pb2.ExecuteFrame(messages=exchange.messages)
    for statement in exchange.prepared:
        frame.prepared.add(
            name=statement.endpoint_name,
            query=statement.query,
            param_types=statement.param_types,
        )
    if exchange.statement is not None:
        _encode_statement(frame.statement, exchange.statement)
    if exchange.settings is not None:
        frame.has_settings = True
        frame.settings.update(exchange.settings)
    if header is not None:
        _encode_header(frame.header, header)
    return frame


def decode_exchange(frame) -> Exchange:
    """Return the exchange of a frame."""
    prepared = tuple(
        PreparedStatement(
            wire.name,
            wire.query,
            tuple(wire.param_types),
            classify(wire.query),
        )
        for wire in frame.prepared
    )
    has_statement = frame.HasField("statement")
    return Exchange(
        frame.messages,
        prepared,
        _decode_statement(frame.statement) if has_statement else None,
        dict(frame.settings) if frame.has_settings else None,
    )


def _encode_statement(wire, statement: Statement):
    """Fill a Statement message.

    A prepared statement is sent as its shape and arguments, any other as its
    text, so that no data is sent twice.
    """
    wire.verb = statement.verb.value
    wire.request = statement.request
    if statement.shape is None:
        wire.text = statement.text
        return
    wire.arguments = statement.arguments
    wire.prepared_writes = statement.shape.is_write
    wire.prepared_shape = statement.shape.shape


def _decode_statement(wire) -> Statement:
    shape = None
    if wire.prepared_shape:
        shape = PreparedShape(wire.prepared_writes, wire.prepared_shape)
    return Statement(
        StatementVerb(wire.verb),
        wire.request,
        wire.text,
        arguments=wire.arguments,
        shape=shape,
    )


def encode_answer(wire, answer: StatementAnswer):
    """Fill a StatementAnswer message."""
    wire.rows.extend(answer.rows)
    wire.receipt = answer.receipt
    if answer.error is not None:
        wire.error = answer.error.code.value
        wire.error_text = answer.error.text


def decode_answer(wire) -> StatementAnswer:
    """Return the answer of a StatementAnswer message."""
    error = None
    if wire.error:
        error = EndpointError(EndpointErrorCode(wire.error), wire.error_text)
    return StatementAnswer(tuple(wire.rows), wire.receipt, error)


def decode_header(wire) -> ExecuteHeader:
    """Return the header of an ExecuteHeader message."""
    has_floor = wire.HasField("floor")
    return ExecuteHeader(
        endpoint=EndpointId(wire.endpoint),
        group=GroupName(wire.group),
        epoch=Epoch(wire.epoch),
        term=Term(wire.term),
        pool=PoolName(wire.pool),
        rank=Rank(wire.rank),
        caller=wire.caller,
        floor=decode_position(wire.floor) if has_floor else None,
        max_age_ms=wire.max_age_ms,
        deadline_left_ms=wire.deadline_left_ms,
        read_only=wire.read_only,
        idempotency_key=wire.idempotency_key,
        traceparent=wire.traceparent,
        settings=dict(wire.settings),
        applied_index=LogIndex(wire.applied_index),
        floor_wait_limit_ms=wire.floor_wait_limit_ms,
        in_block=wire.in_block,
        to_standby=wire.to_standby,
        statement_timeout_ms=wire.statement_timeout_ms,
        workspace=WorkspaceName(wire.workspace) if wire.workspace else None,
    )


def encode_end(wire, end: ExchangeEnd):
    """Fill an ExchangeEnd message."""
    wire.transaction_status = end.status.value
    wire.queue_wait_us = round(end.queue_wait_ms * _US_PER_MS)
    wire.held_us = round(end.replication_wait_ms * _US_PER_MS)
    wire.needs_primary = end.needs_primary
    wire.served_by_replica = end.served_by_replica
    wire.has_error = end.has_error
    if end.position is not None:
        encode_position(wire.position, end.position)
    if end.failure is None:
        return
    encode_failure(wire.failure, end.failure)
    wire.failure.stale_owner = end.is_stale_owner
    if end.failed_position is not None:
        encode_position(wire.failure.position, end.failed_position)


def decode_end(wire) -> ExchangeEnd:
    """Return the outcome of an ExchangeEnd message."""
    failure = wire.failure
    has_failure = wire.HasField("failure")
    has_failed_position = has_failure and failure.HasField("position")
    return ExchangeEnd(
        status=TransactionStatus(wire.transaction_status),
        position=(
            decode_position(wire.position)
            if wire.HasField("position")
            else None
        ),
        failure=decode_failure(failure) if has_failure else None,
        failed_position=(
            decode_position(failure.position) if has_failed_position else None
        ),
        is_stale_owner=failure.stale_owner,
        needs_primary=wire.needs_primary,
        has_error=wire.has_error,
        queue_wait_ms=wire.queue_wait_us / _US_PER_MS,
        replication_wait_ms=wire.held_us / _US_PER_MS,
        served_by_replica=wire.served_by_replica,
    )


def decode_result(frame) -> ExchangeEnd:
    """Return the outcome in a ResultFrame."""
    end = decode_end(frame.end)
    if not frame.HasField("answer"):
        return end
    return dataclasses.replace(end, answer=decode_answer(frame.answer))


def _encode_header(wire, header):
    wire.endpoint = header.endpoint
    wire.group = header.group
    wire.epoch = header.epoch
    wire.term = header.term
    wire.pool = header.pool
    wire.rank = header.rank
    wire.caller = header.caller
    if header.floor is not None:
        encode_position(wire.floor, header.floor)
    wire.max_age_ms = header.max_age_ms
    wire.deadline_left_ms = header.deadline_left_ms
    wire.read_only = header.read_only
    wire.idempotency_key = header.idempotency_key
    wire.traceparent = header.traceparent
    wire.settings.update(header.settings)
    wire.applied_index = header.applied_index
    wire.floor_wait_limit_ms = header.floor_wait_limit_ms
    wire.in_block = header.in_block
    wire.to_standby = header.to_standby
    wire.statement_timeout_ms = header.statement_timeout_ms
    wire.workspace = header.workspace or ""
