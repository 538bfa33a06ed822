"""Tickets of the admission queue and the actions that it returns."""

import dataclasses
from typing import NewType

from waxwinglift.request._types import Failure
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import not_run
from waxwinglift.request._types import RequestId
from waxwinglift.version import PoolName
from waxwinglift.version import Rank

# Statements of one kind take a similar time: a pool, and what they do there.
WorkKind = NewType("WorkKind", str)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Request of a statement or transaction block for a slot.

    Parameters
    ----------
    request : RequestId
        Identifies the ticket; unique within a queue.
    pool : PoolName
    rank : Rank
    caller : str
        Slots are shared fairly among the callers of a rank.
    arrival_ms : float
    deadline_ms : float
        Latest time to start, on the same clock as ``arrival_ms``.
    is_block : bool
        Whether the ticket is for a transaction block as a whole, which
        occupies its slot until it ends.
    is_continued : bool
        Where each statement of a block needs a slot of its own: whether the
        ticket is for a later statement of an open block.  It precedes the
        other tickets of its rank, because a refusal would discard the work
        of the block.
    is_admitted : bool
        Whether `AdmissionQueue.find_refusal` has accepted the request
        before; it is not refused at random again.
    work : WorkKind
        Kind of work, for estimates of its slot time; empty if unknown.
    target_ms : float
        Time within which the caller expects the answer; 0 if not specified.
    """

    request: RequestId
    pool: PoolName
    rank: Rank
    caller: str
    arrival_ms: float
    deadline_ms: float
    is_block: bool = False
    is_continued: bool = False
    is_admitted: bool = False
    work: WorkKind = WorkKind("")
    target_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The ticket has been given a slot: run its request."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The ticket was refused: report the failure; nothing has run."""

    ticket: Ticket
    failure: Failure


def make_refusal(
    ticket: Ticket,
    code: FailureCode,
    message: str,
    retry_after_ms: int | None = None,
) -> Refuse:
    """Return the refusal of a ticket that has not run."""
    return Refuse(ticket, not_run(code, message, retry_after_ms))
