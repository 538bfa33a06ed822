"""Waiting tickets of one rank of a pool, in turns of their callers."""

import collections
import heapq

from waxwinglift.request._rank_account import RankAccount

# The heap of deadlines is rebuilt when its size exceeds twice the number of
# waiting tickets by more than this; a small heap is not worth rebuilding.
_REBUILD_MARGIN_COUNT = 64


class RankQueue(RankAccount):
    """Queue of one rank: open blocks first, then round robin over callers.

    Parameters
    ----------
    row : RankRow
        Row of the pool's table.
    urgency_index : int
        Index of the rank in its table, 0 for the most urgent.
    """

    def __init__(self, row, urgency_index):
        super().__init__(row, urgency_index)
        self._by_caller = collections.OrderedDict()
        # Tickets of open blocks, in order of arrival.
        self._continued = {}
        # Number of turns that each waiting caller has taken in advance.
        self._turns_in_advance = collections.Counter()
        # Heap of (deadline, request, caller), including removed tickets.
        self._deadlines = []
        self._waiting_count = 0

    def __len__(self):
        return self._waiting_count

    def push(self, ticket):
        """Append a ticket to its caller's queue."""
        if ticket.is_continued:
            self._continued[ticket.request] = ticket
            self._waiting_count += 1
            return
        queue = self._by_caller.setdefault(ticket.caller, {})
        queue[ticket.request] = ticket
        self._waiting_count += 1
        heapq.heappush(self._deadlines, _deadline_entry(ticket))
        if (
            len(self._deadlines)
            > _REBUILD_MARGIN_COUNT + 2 * self._waiting_count
        ):
            self._rebuild_deadlines()

    def pop(self, now_ms=0.0, turn_ms=0.0, advance_limit_count=0):
        """Remove and return the first ticket of the next caller.

        A ticket that would miss its deadline in turn is taken in advance,
        the earliest deadline first, and its caller skips a later turn.

        Parameters
        ----------
        now_ms : float
        turn_ms : float
            Expected time between two starts of this rank; 0 if unknown.
        advance_limit_count : int
            Maximum number of turns that a caller may take in advance.
        """
        if self._continued:
            self._waiting_count -= 1
            return self._continued.pop(next(iter(self._continued)))
        caller = None
        if advance_limit_count:
            caller = self._find_late_caller(
                now_ms, turn_ms, advance_limit_count
            )
        if caller is None:
            caller = self._next_in_turn()
        else:
            self._turns_in_advance[caller] += 1
        queue = self._by_caller[caller]
        ticket = queue.pop(next(iter(queue)))
        self._waiting_count -= 1
        if not queue:
            self._remove_caller(caller)
        return ticket

    def remove(self, ticket):
        """Remove a ticket and return whether it was waiting."""
        if self._continued.pop(ticket.request, None) is not None:
            self._waiting_count -= 1
            return True
        queue = self._by_caller.get(ticket.caller, {})
        if ticket.request not in queue:
            return False
        del queue[ticket.request]
        self._waiting_count -= 1
        if not queue:
            self._remove_caller(ticket.caller)
        return True

    def ahead_count(self, caller, is_continued=False):
        """Return how many tickets of the rank start before a new one."""
        continued_count = len(self._continued)
        if is_continued:
            return continued_count
        turn_count = len(self._by_caller.get(caller, {})) + 1
        queues = self._by_caller.items()
        return continued_count + sum(
            min(len(queue), turn_count - (name == caller))
            for name, queue in queues
        )

    def tickets(self):
        """Return all waiting tickets, in no particular order."""
        return [
            *self._continued.values(),
            *(
                ticket
                for queue in self._by_caller.values()
                for ticket in queue.values()
            ),
        ]

    def _next_in_turn(self):
        while True:
            caller = next(iter(self._by_caller))
            self._by_caller.move_to_end(caller)
            if self._turns_in_advance[caller] <= 0:
                return caller
            self._turns_in_advance[caller] -= 1

    def _earliest_deadline_ms(self):
        """Return the earliest deadline of a waiting ticket.

        Entries of removed tickets before it are dropped from the heap.
        """
        while True:
            deadline_ms, request, caller = self._deadlines[0]
            if request in self._by_caller.get(caller, {}):
                return deadline_ms
            heapq.heappop(self._deadlines)

    def _rebuild_deadlines(self):
        """Rebuild the heap of deadlines from the waiting tickets.

        Removed tickets stay in the heap until they reach its top.  Without
        rebuilding, the heap of a rank that is never empty would keep growing.
        """
        self._deadlines = [
            _deadline_entry(ticket)
            for queue in self._by_caller.values()
            for ticket in queue.values()
        ]
        heapq.heapify(self._deadlines)

    def _find_late_caller(self, now_ms, turn_ms, advance_limit_count):
        """Return the caller whose ticket must start in advance, or None.

        It has the earliest deadline of all callers whose first ticket would
        expire before their turn.  Callers that have used all their turns in
        advance are skipped.
        """
        round_ms = turn_ms * len(self._by_caller)
        if self._earliest_deadline_ms() >= now_ms + round_ms:
            return None
        late = None
        late_deadline_ms = float("inf")
        turn_start_ms = now_ms
        for caller, queue in self._by_caller.items():
            deadline_ms = queue[next(iter(queue))].deadline_ms
            is_late = deadline_ms < min(turn_start_ms, late_deadline_ms)
            if (
                is_late
                and self._turns_in_advance[caller] < advance_limit_count
            ):
                late, late_deadline_ms = caller, deadline_ms
            turn_start_ms += turn_ms
        return late

    def _remove_caller(self, caller):
        del self._by_caller[caller]
        self._turns_in_advance.pop(caller, None)


def _deadline_entry(ticket):
    return ticket.deadline_ms, ticket.request, ticket.caller
