"""Waiting tickets and accounts of one rank of one pool."""

import collections
import heapq

# Size below which the heap of deadlines is not worth rebuilding.
_MIN_HEAP_COUNT = 64


class RankQueue:
    """Tickets of one rank: those of open blocks, then round robin.

    The others take turns by caller.

    Parameters
    ----------
    row : RankRow
        Row of the pool's table.
    urgency_index : int
        Place of the rank in its table, 0 for the most urgent.

    Attributes
    ----------
    floor_share : float
        Share of the endpoint's capacity that the rank keeps, 0 to 1.
    credit_ms : float
        Slot time earned at the floor share and not yet used.
    virtual_ms : float
        Slot time used, divided by the weight.
    running_count : int
    is_retired : bool
        Whether the rank has left its table and only serves what it holds.
    """

    def __init__(self, row, urgency_index):
        self.row = row
        self.urgency_index = urgency_index
        self.floor_share = 0.0
        self.credit_ms = 0.0
        self.virtual_ms = 0.0
        self.running_count = 0
        self.is_retired = False
        self._by_caller = collections.OrderedDict()
        # Statements of open blocks, in order of arrival.
        self._continued = {}
        # Turns that a caller with waiting tickets has taken in advance.
        self._advances = collections.Counter()
        # Heap of (deadline, request, caller), also of tickets that have left.
        self._deadlines = []
        self._waiting_count = 0

    def __len__(self):
        return self._waiting_count

    @property
    def is_most_urgent(self):
        """Whether this is the first rank of its pool's table."""
        return self.urgency_index == 0

    @property
    def is_at_limit(self):
        """Whether the rank uses as many slots as its limit allows."""
        limit_count = self.row.limit_count
        return 0 < limit_count <= self.running_count

    def push(self, ticket):
        """Append a ticket to its caller's line."""
        if ticket.is_continued:
            self._continued[ticket.request] = ticket
            self._waiting_count += 1
            return
        line = self._by_caller.setdefault(ticket.caller, {})
        line[ticket.request] = ticket
        self._waiting_count += 1
        heapq.heappush(self._deadlines, _deadline_entry(ticket))
        if len(self._deadlines) > _MIN_HEAP_COUNT + 2 * self._waiting_count:
            self._forget_left()

    def pop(self, now_ms=0.0, turn_ms=0.0, advance_limit_count=0):
        """Take the first ticket of the next caller in turn.

        A ticket that would miss its deadline in its turn goes first, the
        earliest deadline before others, and its caller skips a later turn.

        Parameters
        ----------
        now_ms : float
        turn_ms : float
            Expected time between two starts of this rank.
        advance_limit_count : int
            Most turns that a caller may be ahead of the others.
        """
        if self._continued:
            self._waiting_count -= 1
            return self._continued.pop(next(iter(self._continued)))
        caller = None
        if advance_limit_count:
            caller = self._late_caller(now_ms, turn_ms, advance_limit_count)
        if caller is None:
            caller = self._take_turn()
        else:
            self._advances[caller] += 1
        line = self._by_caller[caller]
        ticket = line.pop(next(iter(line)))
        self._waiting_count -= 1
        if not line:
            self._drop(caller)
        return ticket

    def remove(self, ticket):
        """Remove a waiting ticket; False when it is not waiting."""
        if self._continued.pop(ticket.request, None) is not None:
            self._waiting_count -= 1
            return True
        line = self._by_caller.get(ticket.caller, {})
        if ticket.request not in line:
            return False
        del line[ticket.request]
        self._waiting_count -= 1
        if not line:
            self._drop(ticket.caller)
        return True

    def ahead_count(self, caller, is_continued=False):
        """Return how many tickets of this rank a new one would wait for."""
        continued_count = len(self._continued)
        if is_continued:
            return continued_count
        turn_count = len(self._by_caller.get(caller, {})) + 1
        lines = self._by_caller.items()
        return continued_count + sum(
            min(len(line), turn_count - (name == caller))
            for name, line in lines
        )

    def tickets(self):
        """Return all waiting tickets, in no particular order."""
        return [
            *self._continued.values(),
            *(
                ticket
                for line in self._by_caller.values()
                for ticket in line.values()
            ),
        ]

    def charge(self, used_ms, debt_cap_ms):
        """Account for slot time; a negative amount corrects an estimate."""
        self.virtual_ms += used_ms / max(1, self.row.weight)
        self.credit_ms = max(self.credit_ms - used_ms, -debt_cap_ms)

    def _take_turn(self):
        while True:
            caller = next(iter(self._by_caller))
            self._by_caller.move_to_end(caller)
            if self._advances[caller] <= 0:
                return caller
            self._advances[caller] -= 1

    def _earliest_deadline_ms(self):
        while True:
            deadline_ms, request, caller = self._deadlines[0]
            if request in self._by_caller.get(caller, {}):
                return deadline_ms
            heapq.heappop(self._deadlines)

    def _forget_left(self):
        """Rebuild the heap from the tickets that wait.

        Tickets that leave stay in the heap until they are its first: without
        this a rank that always has work would keep those of each deadline.
        """
        self._deadlines = [
            _deadline_entry(ticket)
            for line in self._by_caller.values()
            for ticket in line.values()
        ]
        heapq.heapify(self._deadlines)

    def _late_caller(self, now_ms, turn_ms, advance_limit_count):
        round_ms = turn_ms * len(self._by_caller)
        if self._earliest_deadline_ms() >= now_ms + round_ms:
            return None
        late = None
        late_deadline_ms = float("inf")
        turn_start_ms = now_ms
        for caller, line in self._by_caller.items():
            deadline_ms = line[next(iter(line))].deadline_ms
            is_late = deadline_ms < min(turn_start_ms, late_deadline_ms)
            if is_late and self._advances[caller] < advance_limit_count:
                late, late_deadline_ms = caller, deadline_ms
            turn_start_ms += turn_ms
        return late

    def _drop(self, caller):
        del self._by_caller[caller]
        self._advances.pop(caller, None)


def _deadline_entry(ticket):
    return ticket.deadline_ms, ticket.request, ticket.caller
