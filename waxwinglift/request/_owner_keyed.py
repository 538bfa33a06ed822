"""Transactions with an idempotency key, run by the owner of the primary."""

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
    stream, exchange: Exchange, summary: ExchangeSummary, key: str, sink: Sink
) -> ExchangeEnd:
    """Run an autocommit request in the same transaction as its key.

    The key ensures that the request commits at most once.
    """
    outcome = await _insert_key(stream, key, False)
    buffer = stream.held_answer_buffer(sink)
    if isinstance(outcome, ReportFailure):
        return await _report_already_ran(stream, outcome.failure, buffer)
    if isinstance(outcome, ReturnTag):
        await buffer.write(
            encode_replayed_answer(exchange.messages, outcome.tag)
        )
        return await _finish_read(stream, buffer)
    packet = stream.build_packet(exchange)
    await stream.slot.send(packet, buffer)
    stream.slot.record_exchange(packet, summary)
    if any(step.error is not None for step in packet.steps):
        await _query_or_outcome_unknown(stream, _ROLLBACK)
        return await stream.release_and_answer(None, buffer, True)
    tags = [step.tag for step in packet.forwarded_steps() if step.tag]
    return await _commit(stream, key, tags[-1] if tags else "", buffer)


async def run_keyed_block(
    stream, exchange: Exchange, summary: ExchangeSummary, key: str, sink: Sink
) -> ExchangeEnd:
    """Open the caller's transaction block, then insert its key.

    The key is inserted before any later statement of the block.
    """
    await _create_table(stream)
    buffer = stream.held_answer_buffer(sink)
    packet = stream.build_packet(exchange)
    await stream.slot.send(packet, buffer)
    stream.slot.record_exchange(packet, summary)
    if any(step.error is not None for step in packet.steps):
        return await stream.finish(packet, None, summary, buffer)
    outcome = await _insert_key(stream, key, True)
    if isinstance(outcome, ReportFailure):
        buffer.discard()
        return await _report_already_ran(stream, outcome.failure, buffer)
    return await stream.finish(packet, None, summary, buffer)


async def look_up_key(stream, key: str) -> ExchangeEnd:
    """Find out whether a transaction with ``key`` has committed.

    Used after the answer of the transaction was lost.  The insert of the key
    waits for an open transaction that has inserted it; if the key is new
    after that, the lost transaction did not commit and never will.

    Returns
    -------
    ExchangeEnd
        With a failure of verdict RAN if it has committed, without a failure
        if not.  Any other failure means that the outcome is still unknown.
    """
    outcome = await _insert_key(stream, key, False)
    if isinstance(outcome, ReturnTag):
        outcome = decide_on_insert(0, True, outcome.tag)
    if isinstance(outcome, ReportFailure):
        buffer = stream.held_answer_buffer(_ignore_data)
        return await _report_already_ran(stream, outcome.failure, buffer)
    await _query_or_not_run(stream, _ROLLBACK)
    stream.slot.release()
    return stream.make_end()


async def _insert_key(stream, key, is_block):
    """Insert the key; roll back if it has been used before."""
    if not is_block:
        await _create_table(stream)
        await _query_or_not_run(stream, "BEGIN")
    insert = await _query_or_not_run(stream, insert_sql(key))
    if insert.tag.endswith(" 1"):
        return decide_on_insert(1, is_block, None)
    stored = await _query_or_outcome_unknown(stream, look_up_sql(key))
    await _query_or_outcome_unknown(stream, _ROLLBACK)
    tag = stored.rows[0][0] if stored.rows else None
    return decide_on_insert(0, is_block, tag)


async def _create_table(stream):
    # Once for each owner and term: the primary of a new term may lack it.
    if stream.owner.key_table_term == stream.header.term:
        return
    await _query_or_not_run(stream, CREATE_TABLE_SQL)
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
    return await stream.release_and_answer(end_position, buffer, False)


async def _report_already_ran(stream, failure, buffer):
    """Report that the transaction ran, once a quorum has received its key.

    Until a quorum of the group's servers has received the key, a change of
    primary could still discard the transaction.
    """
    end = await _finish_read(stream, buffer)
    return end if end.failure is not None else stream.make_end(failure=failure)


async def _ignore_data(data):
    """Sink of a look-up, which returns no answer to the caller."""


async def _finish_read(stream, buffer):
    """End a request that only read the stored tag.

    The answer is passed on only after a quorum has received the position that
    the primary reports here, as for any other read at the primary.
    """
    step = await _query_or_outcome_unknown(stream, PRIMARY_POSITION_SQL)
    position = stream.primary_position(step.rows[0][0])
    return await stream.release_and_answer(position, buffer, False)


async def _query_or_not_run(stream, text):
    """Run a statement of the proxy while the request has not run.

    If it fails, the failure says that the request has not run.
    """
    packet = Packet()
    step = packet.add_query(text)
    await stream.slot.run_setup(packet)
    if step.error is not None:
        message = f"idempotency key statement failed: {step.error.message}"
        raise StatementFailed(not_run(FailureCode.UNAVAILABLE, message))
    return step


async def _query_or_outcome_unknown(stream, text):
    """Run a statement of the proxy when the request may have run.

    The request may have run in this attempt or in an earlier one; if the
    connection is lost, its outcome is unknown.
    """
    packet = Packet()
    step = packet.add_query(text)
    await stream.slot.send(packet, None)
    return step
