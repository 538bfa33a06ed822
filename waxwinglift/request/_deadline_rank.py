"""Waiting tickets of one rank, ordered by their latest start."""

import bisect
import dataclasses

from waxwinglift.request._admission_types import Ticket
from waxwinglift.request._caller_usage import CallerUsage
from waxwinglift.request._decayed_sum import DecayedSum
from waxwinglift.request._rank_account import RankAccount
from waxwinglift.request._work_estimates import WorkEstimate

# Time over which the used slot time of a rank is measured.
_USAGE_TIME_CONSTANT_MS = 1000.0
# Weight of a new ticket in the means of the offered tickets.
_OFFER_WEIGHT = 0.05

# Whether the caller has exceeded its share, latest start, request.
TicketKey = tuple[bool, float, int]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingTicket:
    """A waiting ticket, its place in the order and its expected work."""

    ticket: Ticket
    key: TicketKey
    work: WorkEstimate


class DeadlineRank(RankAccount):
    """Queue of one rank: open blocks first, then by latest start.

    Tickets of callers that have exceeded their share come after the others.

    Attributes
    ----------
    usage : DecayedSum
        Slot time that the rank has used.
    callers : CallerUsage
    acceptable_ms : float
        Mean acceptable wait of the offered tickets; 0 before the first.
    offered_work_ms : float
        Mean expected work of the offered tickets.
    waiting_ms, waiting_variance : float
        Expected work of all waiting tickets.
    """

    def __init__(self, row, urgency_index):
        super().__init__(row, urgency_index)
        self.usage = DecayedSum(_USAGE_TIME_CONSTANT_MS)
        self.callers = CallerUsage()
        self.acceptable_ms = 0.0
        self.offered_work_ms = 0.0
        self.waiting_ms = 0.0
        self.waiting_variance = 0.0
        # Tickets of open blocks, in order of arrival.
        self._continued: dict[int, WaitingTicket] = {}
        self._ordered: dict[int, WaitingTicket] = {}
        self._keys: list[TicketKey] = []

    def __len__(self):
        return len(self._keys) + len(self._continued)

    def record_offer(self, acceptable_ms: float, work_ms: float):
        """Record the acceptable wait and expected work of a new ticket."""
        if not self.acceptable_ms:
            self.acceptable_ms = acceptable_ms
            self.offered_work_ms = work_ms
        error_ms = acceptable_ms - self.acceptable_ms
        self.acceptable_ms += _OFFER_WEIGHT * error_ms
        error_ms = work_ms - self.offered_work_ms
        self.offered_work_ms += _OFFER_WEIGHT * error_ms

    def push(self, waiting: WaitingTicket):
        """Add a ticket at its place."""
        ticket = waiting.ticket
        if ticket.is_continued:
            self._continued[ticket.request] = waiting
        else:
            self._ordered[ticket.request] = waiting
            bisect.insort(self._keys, waiting.key)
        self.waiting_ms += waiting.work.mean_ms
        self.waiting_variance += waiting.work.variance

    def pop(self) -> Ticket:
        """Remove and return the first ticket."""
        if self._continued:
            request = next(iter(self._continued))
            waiting = self._continued.pop(request)
        else:
            _, _, request = self._keys.pop(0)
            waiting = self._ordered.pop(request)
        self._subtract(waiting.work)
        return waiting.ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket and return whether it was waiting."""
        waiting = self._continued.pop(ticket.request, None)
        if waiting is None:
            waiting = self._ordered.pop(ticket.request, None)
            if waiting is None:
                return False
            del self._keys[bisect.bisect_left(self._keys, waiting.key)]
        self._subtract(waiting.work)
        return True

    def tickets(self) -> list[Ticket]:
        """Return all waiting tickets, in their order."""
        return [waiting.ticket for waiting in self.in_order()]

    def in_order(self) -> list[WaitingTicket]:
        """Return all waiting tickets with their work, in their order."""
        ordered = [self._ordered[request] for _, _, request in self._keys]
        return [*self._continued.values(), *ordered]

    def work_ahead(self, key: TicketKey | None) -> WorkEstimate:
        """Return the work before a new ticket; None if it is continued."""
        ahead = list(self._continued.values())
        if key is not None:
            count = bisect.bisect_left(self._keys, key)
            before = self._keys[:count]
            ahead += [self._ordered[request] for _, _, request in before]
        return WorkEstimate(
            sum([waiting.work.mean_ms for waiting in ahead]),
            sum([waiting.work.variance for waiting in ahead]),
        )

    def _subtract(self, work):
        self.waiting_ms -= work.mean_ms
        self.waiting_variance -= work.variance
        if not len(self):
            # Rounding errors must not add up.
            self.waiting_ms = self.waiting_variance = 0.0
