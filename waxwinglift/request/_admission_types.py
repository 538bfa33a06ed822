"""Tickets of the admission queue and the actions that it returns."""

import dataclasses

from waxwinglift.request._types import Failure
from waxwinglift.request._types import RequestId
from waxwinglift.version import PoolName
from waxwinglift.version import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Request of a transaction for a slot of an endpoint.

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
        Whether the ticket is for a transaction block, which occupies its
        slot until it ends.
    is_continued : bool
        Whether the ticket is for a later statement of an open block.  It
        precedes the other tickets of its rank, because a refusal would
        discard the work of the block.
    """

    request: RequestId
    pool: PoolName
    rank: Rank
    caller: str
    arrival_ms: float
    deadline_ms: float
    is_block: bool = False
    is_continued: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start the ticket; it has a slot now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the ticket with the failure; it did not run."""

    ticket: Ticket
    failure: Failure
