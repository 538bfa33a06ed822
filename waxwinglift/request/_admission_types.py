"""Tickets of the admission queue and the actions that it returns."""

import dataclasses

from waxwinglift.request._types import Failure
from waxwinglift.request._types import RequestId
from waxwinglift.version import PoolName
from waxwinglift.version import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A transaction that asks for a slot of an endpoint.

    Parameters
    ----------
    request : RequestId
        Identifies the ticket; unique within a queue.
    pool : PoolName
    rank : Rank
    caller : str
        Unit of fairness within a rank.
    arrival_ms : float
    deadline_ms : float
        Latest time to start, on the same clock as ``arrival_ms``.
    is_block : bool
        Whether the ticket covers a transaction block, which holds its slot
        until it ends.
    is_continued : bool
        Whether it is a later statement of an open block: it goes before the
        others of its rank, because the work done so far would be lost.
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
    """Give the ticket a slot now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the ticket with the failure; it did not run."""

    ticket: Ticket
    failure: Failure
