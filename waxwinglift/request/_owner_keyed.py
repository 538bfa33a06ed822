"""Transactions with an idempotency key, at the owner of the primary."""

from waxwinglift.connection._backend_packet import ExchangeSummary
from waxwinglift.connection._backend_packet import Packet
from waxwinglift.connection._backend_packet import PRIMARY_POSITION_SQL
from waxwinglift.connection._backend_packet import encode_replayed_answer
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import Sink
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._idempotency import CREATE_TABLE_SQL
from waxwinglift.request._idempotency import decide_on_insert
from waxwinglift.request._idempotency import insert_sql
from waxwinglift.request._idempotency import look_up_sql
from waxwinglift.request._idempotency import ReportFailure
from waxwinglift.request._idempotency import ReturnTag
from waxwinglift.request._idempotency import store_tag_sql
from waxwinglift.request._owner_slot import StatementFailed

_ROLLBACK = "ROLLBACK"


async def run_keyed_request(
    stream, exchange: Exchange, facts: ExchangeSummary, key: str, sink: Sink
) -> ExchangeEnd:
    """Run an autocommit request once, in a block with its key."""
    outcome = await _insert_key(stream, key, False)
    buffer = stream.held_buffer(sink)
    if isinstance(outcome, ReportFailure):
        return await _report_ran(stream, outcome.failure, buffer)
    if isinstance(outcome, ReturnTag):
        await buffer.take(
            encode_replayed_answer(exchange.messages, outcome.tag)
        )
        return await _release_read(stream, buffer)
    packet = stream.build(exchange)
    await stream.slot.send(packet, buffer)
    stream.slot.record_exchange(packet, facts)
    if any(step.error is not None for step in packet.steps):
        await _run_after(stream, _ROLLBACK)
        return await stream.release(None, buffer, True)
    tags = [step.tag for step in packet.forwarded_steps() if step.tag]
    return await _commit(stream, key, tags[-1] if tags else "", buffer)


async def run_keyed_block(
    stream, exchange: Exchange, facts: ExchangeSummary, key: str, sink: Sink
) -> ExchangeEnd:
    """Start a transaction block that writes its key first."""
    await _create_table(stream)
    buffer = stream.held_buffer(sink)
    packet = stream.build(exchange)
    await stream.slot.send(packet, buffer)
    stream.slot.record_exchange(packet, facts)
    if any(step.error is not None for step in packet.steps):
        return await stream.finish(packet, None, facts, buffer)
    outcome = await _insert_key(stream, key, True)
    if isinstance(outcome, ReportFailure):
        buffer.drop()
        return await _report_ran(stream, outcome.failure, buffer)
    return await stream.finish(packet, None, facts, buffer)


async def look_up_key(stream, key: str) -> ExchangeEnd:
    """Report whether a lost transaction with ``key`` committed.

    The insert waits for a transaction that still holds the key, so that a
    missing key proves that the transaction did not and will not commit.

    Returns
    -------
    ExchangeEnd
        With the failure RAN when it committed, without a failure when not.
    """
    outcome = await _insert_key(stream, key, False)
    if isinstance(outcome, ReturnTag):
        outcome = decide_on_insert(0, True, outcome.tag)
    if isinstance(outcome, ReportFailure):
        buffer = stream.held_buffer(_no_answer)
        return await _report_ran(stream, outcome.failure, buffer)
    await _run(stream, _ROLLBACK)
    stream.slot.release()
    return stream.end()


async def _insert_key(stream, key, is_block):
    """Insert the key; a used key ends the block with ROLLBACK."""
    if not is_block:
        await _create_table(stream)
        await _run(stream, "BEGIN")
    insert = await _run(stream, insert_sql(key))
    if insert.tag.endswith(" 1"):
        return decide_on_insert(1, is_block, None)
    stored = await _run_after(stream, look_up_sql(key))
    await _run_after(stream, _ROLLBACK)
    tag = stored.rows[0][0] if stored.rows else None
    return decide_on_insert(0, is_block, tag)


async def _create_table(stream):
    # Once per owner and term; the primary of a new term may lack it.
    if stream.owner.key_table_term == stream.header.term:
        return
    await _run(stream, CREATE_TABLE_SQL)
    stream.owner.key_table_term = stream.header.term


async def _commit(stream, key, tag, buffer):
    packet = Packet()
    packet.add_query(store_tag_sql(key, tag))
    commit = packet.add_query("COMMIT")
    position = packet.add_query(PRIMARY_POSITION_SQL)
    await stream.slot.send(packet, None)
    if commit.tag != "COMMIT":
        error = commit.error.message if commit.error else "rolled back"
        message = f"the transaction did not commit: {error}"
        raise StatementFailed(not_run(FailureCode.FAILED_BLOCK, message))
    end_position = stream.primary_position(position.rows[0][0])
    return await stream.release(end_position, buffer, False)


async def _report_ran(stream, failure, buffer):
    """Report that the work ran, once a quorum has the key.

    Until then a change of primary could still discard it.
    """
    end = await _release_read(stream, buffer)
    return end if end.failure is not None else stream.end(failure=failure)


async def _no_answer(data):
    """Sink of a look-up, which has no answer bytes."""


async def _release_read(stream, buffer):
    """End a request that only read the stored tag.

    The tag must be held like any other read on the primary.
    """
    step = await _run_after(stream, PRIMARY_POSITION_SQL)
    position = stream.primary_position(step.rows[0][0])
    return await stream.release(position, buffer, False)


async def _run(stream, text):
    packet = Packet()
    step = packet.add_query(text)
    await stream.slot.prepare(packet)
    if step.error is not None:
        message = f"idempotency key: {step.error.message}"
        raise StatementFailed(not_run(FailureCode.UNAVAILABLE, message))
    return step


async def _run_after(stream, text):
    """Run a statement after the caller's work may have run.

    A lost connection then leaves the outcome open.
    """
    packet = Packet()
    step = packet.add_query(text)
    await stream.slot.send(packet, None)
    return step
