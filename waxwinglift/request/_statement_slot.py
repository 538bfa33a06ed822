"""Waits for the slot and the connection of one statement at an owner."""

import dataclasses

from result import Err
from result import Ok
from result import Result

from waxwinglift.connection._pool_records import ConnectionNeed
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.request._admission import Ticket
from waxwinglift.request._transaction_connection import TransactionConnection
from waxwinglift.request._types import Failure
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import not_run

# Longest wait for a running statement of the workspace before a connection is
# opened, about the duration of one statement.
_PATIENCE_MS = 50.0


def find_need(owner, header: ExecuteHeader) -> ConnectionNeed:
    """Return the connection that a transaction needs."""
    return ConnectionNeed(
        workspace=header.workspace,
        urgency_index=owner.urgency_index(header.rank),
        is_block=header.in_block,
    )


async def acquire_connection(
    owner, connection: TransactionConnection, deadline_ms: float
) -> Failure | None:
    """Wait for a connection; return the failure if none is free in time.

    The request is refused at once if connections cannot be opened in time for
    all that wait.
    """
    left_ms = max(0.0, deadline_ms - owner.now_ms())
    wait_ms = connection.expected_wait_ms
    if wait_ms > owner.settings.admission.wait_fraction * left_ms:
        message = (
            f"expected wait of {wait_ms:.0f} ms for a connection to the"
            " endpoint exceeds the deadline"
        )
        owner.metrics.incr("owner.connection_refused")
        # No retry-after time: an entry proxy would keep back the whole rank,
        # also the workspaces that have a connection.
        return not_run(FailureCode.REJECTED, message)
    if await connection.acquire(left_ms):
        return None
    message = "no connection to the endpoint was free in time"
    return not_run(FailureCode.UNAVAILABLE, message)


async def enter_slot(
    owner,
    connection: TransactionConnection,
    ticket: Ticket,
    in_block: bool,
) -> Result[Ticket, Failure]:
    """Wait until a statement has both a slot and a connection.

    A statement of a block only waits for the slot: its block has a connection,
    and would be lost with it.

    A statement whose turn comes while no connection of its workspace is idle
    gives the slot back, because an opening takes longer than many statements.
    Once it has a connection, it precedes the others of its rank, so that the
    connection is not idle for long.

    Returns
    -------
    result.Result
        The ticket that has the slot.  After a failure, the statement has
        neither slot nor connection.
    """
    if in_block:
        failure = await owner.slots.enter(ticket)
        return Ok(ticket) if failure is None else Err(failure)
    with connection.expecting():
        failure = await owner.slots.enter(ticket)
        while failure is None:
            if connection.is_ready or connection.take_idle():
                return Ok(ticket)
            owner.slots.leave(ticket, None)
            # A connection that ended while the statement waited for the slot.
            connection.discard()
            failure = await _acquire_outside_of_slot(owner, connection, ticket)
            if failure is not None:
                break
            request = owner.next_request()
            ticket = dataclasses.replace(
                ticket, request=request, is_continued=True, is_admitted=True
            )
            failure = await owner.slots.enter(ticket)
    # Nothing was sent on a connection that it may have.
    connection.release()
    return Err(failure)


async def _acquire_outside_of_slot(owner, connection, ticket):
    owner.metrics.incr("owner.connection_missing")
    started_ms = owner.now_ms()
    queue = owner.slots.queue
    is_busy = queue.running_count >= queue.slots_count
    if is_busy and owner.urgency_index(ticket.rank) > 0:
        connection.wait_until(started_ms + _PATIENCE_MS)
    failure = await acquire_connection(owner, connection, ticket.deadline_ms)
    waited_ms = owner.now_ms() - started_ms
    owner.metrics.timing("owner.connection_wait", waited_ms)
    return failure
