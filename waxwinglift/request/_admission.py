"""Admission queue of one endpoint: order, limits and early refusal.

The floor of a rank is its guaranteed share of the slots in a flood; it has
no relation to the floor of a session.
"""

import heapq
import math

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.request._admission_types import Refuse
from waxwinglift.request._admission_types import Start
from waxwinglift.request._admission_types import Ticket
from waxwinglift.request._queue_load import QueueLoad
from waxwinglift.request._rank_queue import RankQueue
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import not_run

__all__ = ["AdmissionQueue", "Refuse", "Start", "Ticket"]


class AdmissionQueue:
    """Admission queue of an endpoint, at its owner.

    Every method that returns a list returns `Start` and `Refuse` actions.
    A started ticket occupies a slot until `finish` is called for it, after
    success or failure; the ticket of a transaction block is finished when
    the block ends.  A flood lasts while at least ``flood_depth`` tickets per
    slot wait in one of the most urgent ranks.

    Parameters
    ----------
    slots_count : int
        Number of statements that the endpoint executes concurrently.
    settings : AdmissionSettings, optional
    """

    def __init__(self, slots_count, settings=None):
        self.slots_count = slots_count
        self.settings = settings or AdmissionSettings()
        self._ranks = {}
        # Service time charged at the start, by running request.
        self._running = {}
        self._expiries = []
        self._service_ms = self.settings.initial_service_ms
        # Virtual time of the last started rank.  A rank that was idle starts
        # from it and cannot claim the slots of its idle time.
        self._virtual_ms = 0.0
        self._last_accrual_ms = None
        self._is_in_flood = False

    @property
    def running_count(self):
        """Number of slots in use."""
        return len(self._running)

    @property
    def service_ms(self):
        """Moving average of the time that a ticket occupies its slot."""
        return self._service_ms

    @property
    def waiting_count(self):
        """Number of tickets that wait for a slot."""
        return sum(len(rank) for rank in self._ranks.values())

    def set_tables(self, pool_tables):
        """Replace the rank tables of all pools of the endpoint's group."""
        current = {table.pool for table in pool_tables}
        for pool in {pool for pool, _ in self._ranks} - current:
            self.remove_table(pool)
        for table in pool_tables:
            self.set_table(table)

    def set_table(self, pool_table):
        """Add or replace the rank table of a pool of the endpoint's group.

        Waiting tickets stay in their rank.  A rank that is missing in the
        new table accepts no new tickets; its waiting tickets are served.
        """
        ranks = {}
        for index, row in enumerate(pool_table.rows):
            key = (pool_table.pool, row.rank)
            ranks[key] = self._ranks.get(key) or RankQueue(row, index)
            ranks[key].row = row
            ranks[key].urgency_index = index
            ranks[key].is_retired = False
        self._retire_ranks(pool_table.pool, ranks)
        self._ranks.update(ranks)
        self._update_floor_shares()

    def remove_table(self, pool):
        """Stop accepting tickets of a deleted pool."""
        self._retire_ranks(pool, {})
        self._update_floor_shares()

    def offer(self, ticket, now_ms):
        """Start, queue or refuse a new ticket.

        Parameters
        ----------
        ticket : Ticket
        now_ms : float

        Returns
        -------
        list of Start or Refuse
            Empty if the ticket has to wait.
        """
        self._accrue(now_ms)
        rank = self._ranks.get((ticket.pool, ticket.rank))
        if rank is None or rank.is_retired:
            return [
                _refuse(
                    ticket,
                    FailureCode.BAD_PARAMETER,
                    f"pool {ticket.pool!r} has no rank {ticket.rank!r}",
                )
            ]
        if ticket.deadline_ms <= now_ms:
            return [_refuse(ticket, FailureCode.REJECTED, "deadline passed")]
        if self._must_wait(rank):
            refusals = self._refuse_long_wait(ticket, rank, now_ms)
            if refusals:
                return refusals
        if not len(rank):
            rank.virtual_ms = max(rank.virtual_ms, self._virtual_ms)
        rank.push(ticket)
        expiry = (self._latest_start_ms(ticket), ticket.request, ticket)
        heapq.heappush(self._expiries, expiry)
        return self._start_next(now_ms)

    def finish(self, ticket, now_ms, service_ms):
        """Free the slot of a started ticket and start the next one.

        Parameters
        ----------
        ticket : Ticket
        now_ms : float
        service_ms : float or None
            Time that the ticket occupied its slot; None if the slot was not
            used, which is no sample of the service time.

        Returns
        -------
        list of Start or Refuse
        """
        estimate_ms = self._running.pop(ticket.request, None)
        if estimate_ms is None:
            return []
        self._accrue(now_ms)
        rank = self._ranks[(ticket.pool, ticket.rank)]
        rank.running_count -= 1
        charged_ms = (service_ms or 0.0) - estimate_ms
        rank.charge(charged_ms, self._debt_cap_ms(rank))
        if service_ms is not None:
            error_ms = service_ms - self._service_ms
            self._service_ms += self.settings.service_weight * error_ms
        return self._start_next(now_ms)

    def cancel(self, ticket):
        """Remove a waiting ticket without a refusal.

        A running ticket is not affected: its slot is freed by `finish`, once
        the endpoint has stopped executing the statement.

        Returns
        -------
        list of Start or Refuse
            Always empty; removing a waiting ticket frees no slot.
        """
        rank = self._ranks.get((ticket.pool, ticket.rank))
        if rank is not None:
            rank.remove(ticket)
        return []

    def expire(self, now_ms):
        """Refuse the waiting tickets that would start too late.

        Returns
        -------
        list of Refuse
        """
        actions = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, _, ticket = heapq.heappop(self._expiries)
            rank = self._ranks.get((ticket.pool, ticket.rank))
            if rank is not None and rank.remove(ticket):
                refusal = _refuse(
                    ticket, FailureCode.REJECTED, "deadline passed in queue"
                )
                actions.append(refusal)
        return actions

    def next_expiry_ms(self):
        """Return the earliest recorded deadline, or None if there is none.

        Its ticket may have started already; `expire` then ignores it.
        """
        return self._expiries[0][0] if self._expiries else None

    def refuse_all(self, failure):
        """Refuse all waiting tickets after loss of ownership or the lease.

        Parameters
        ----------
        failure : Failure
            Must have the verdict NOT_RUN.

        Returns
        -------
        list of Refuse
        """
        actions = []
        for rank in self._ranks.values():
            for ticket in rank.tickets():
                rank.remove(ticket)
                actions.append(Refuse(ticket, failure))
        self._expiries = []
        return actions

    def expected_wait_ms(self, ticket):
        """Return the expected time until a new ticket would start."""
        rank = self._ranks[(ticket.pool, ticket.rank)]
        if not self._must_wait(rank):
            return 0.0
        own_count = rank.ahead_count(ticket.caller, ticket.is_continued) + 1
        ahead_count = own_count
        for other in self._ranks.values():
            if other is not rank:
                ahead_count += _served_before_count(other, rank, own_count)
        slots_count = self._usable_slots_count(rank)
        wait_ms = ahead_count * self._service_ms / slots_count
        if self.settings.is_floor_expected and rank.floor_share > 0:
            # The floor share limits the wait, however long the queues of
            # higher ranks are.
            floor_slots = rank.floor_share * self.slots_count
            return min(wait_ms, own_count * self._service_ms / floor_slots)
        return wait_ms

    def load(self) -> QueueLoad:
        """Return the present load of the queue."""
        waiting_count = self.waiting_count
        wait_ms = 0.0
        if waiting_count or self.running_count >= self.slots_count:
            wait_ms = (waiting_count + 1) * self._service_ms / self.slots_count
        return QueueLoad(
            self.slots_count, self.running_count, waiting_count, wait_ms
        )

    def _must_wait(self, rank):
        if len(self._running) >= self.slots_count:
            return True
        return len(rank) > 0 or rank.is_at_limit

    def _refuse_long_wait(self, ticket, rank, now_ms):
        if len(rank) >= rank.row.queue_limit_count:
            wait_ms = self.expected_wait_ms(ticket)
            message = f"queue of rank {ticket.rank} is full ({len(rank)} wait)"
            return [_refuse(ticket, FailureCode.REJECTED, message, wait_ms)]
        wait_ms = self.expected_wait_ms(ticket)
        left_ms = ticket.deadline_ms - now_ms
        if wait_ms > self.settings.wait_fraction * left_ms:
            message = f"expected wait of {wait_ms:.0f} ms exceeds the deadline"
            return [_refuse(ticket, FailureCode.REJECTED, message, wait_ms)]
        return []

    def _latest_start_ms(self, ticket):
        """Return when it is too late to start, although time is left."""
        limit_ms = ticket.deadline_ms - ticket.arrival_ms
        reserve_ms = (1 - self.settings.wait_fraction) / 2 * limit_ms
        return ticket.deadline_ms - reserve_ms

    def _usable_slots_count(self, rank):
        limit_count = rank.row.limit_count or self.slots_count
        return min(limit_count, self.slots_count)

    def _start_next(self, now_ms):
        actions = []
        while len(self._running) < self.slots_count:
            rank = self._choose_rank()
            if rank is None:
                break
            actions.append(self._start(rank, now_ms))
        return actions

    def _start(self, rank, now_ms):
        # Without a floor share the time between two starts is unknown: only
        # tickets whose deadline has passed are late.
        turn_ms = 0.0
        if rank.floor_share > 0:
            floor_slots = rank.floor_share * self.slots_count
            turn_ms = self._service_ms / floor_slots
        limit_count = self.settings.advance_limit_count
        ticket = rank.pop(now_ms, turn_ms, limit_count)
        rank.running_count += 1
        self._virtual_ms = max(self._virtual_ms, rank.virtual_ms)
        self._running[ticket.request] = self._service_ms
        rank.charge(self._service_ms, self._debt_cap_ms(rank))
        return Start(ticket)

    def _choose_rank(self):
        ready = [
            rank
            for rank in self._ranks.values()
            if len(rank) and not rank.is_at_limit
        ]
        if not ready:
            return None
        # In a flood a rank is served as soon as its credit is not negative.
        # Having to earn the time of a whole statement first would keep it
        # below its floor share during the whole flood.
        min_credit_ms = 0.0 if self._is_in_flood else self._service_ms
        below_floor_share = [
            rank
            for rank in ready
            if rank.floor_share > 0 and rank.credit_ms >= min_credit_ms
        ]
        if below_floor_share:
            return max(below_floor_share, key=lambda rank: rank.credit_ms)
        urgent = [rank for rank in ready if rank.is_most_urgent]
        return min(urgent or ready, key=lambda rank: rank.virtual_ms)

    def _accrue(self, now_ms):
        """Add the credit that the ranks have earned since the last call."""
        last_ms = (
            now_ms if self._last_accrual_ms is None else self._last_accrual_ms
        )
        self._last_accrual_ms = max(now_ms, last_ms)
        capacity_ms = (self._last_accrual_ms - last_ms) * self.slots_count
        self._is_in_flood = self._is_flooded()
        for rank in self._ranks.values():
            # An idle rank earns credit only in a flood of urgent work: credit
            # earned at other times would delay single urgent requests.
            if len(rank) or self._is_in_flood:
                earned_ms = rank.credit_ms + rank.floor_share * capacity_ms
                rank.credit_ms = min(earned_ms, self._credit_cap_ms(rank))

    def _is_flooded(self):
        limit_count = self.settings.flood_depth * self.slots_count
        return limit_count > 0 and any(
            len(rank) >= limit_count
            for rank in self._ranks.values()
            if rank.is_most_urgent
        )

    def _credit_cap_ms(self, rank):
        window_ms = self.settings.floor_window_ms * self.slots_count
        return max(2 * self._service_ms, window_ms * rank.floor_share)

    def _debt_cap_ms(self, rank):
        window_ms = self.settings.debt_window_ms * self.slots_count
        return max(self._service_ms, window_ms * rank.floor_share)

    def _update_floor_shares(self):
        """Set the floor shares, scaled down if their total exceeds 100%."""
        ranks = self._ranks.values()
        total = sum(rank.row.floor_percent for rank in ranks)
        for rank in ranks:
            rank.floor_share = rank.row.floor_percent / max(100, total)

    def _retire_ranks(self, pool, kept_ranks):
        for key, rank in list(self._ranks.items()):
            if key[0] != pool or key in kept_ranks:
                continue
            if len(rank) or rank.running_count:
                rank.is_retired = True
            else:
                del self._ranks[key]


def _served_before_count(other, rank, own_count):
    """Return how many waiting tickets of another rank are served first."""
    if other.is_most_urgent and not rank.is_most_urgent:
        return len(other)
    if rank.is_most_urgent and not other.is_most_urgent:
        return 0
    ratio = other.row.weight / max(1, rank.row.weight)
    return min(len(other), round(own_count * ratio))


def _refuse(ticket, code, message, wait_ms=None):
    """Return a refusal that suggests a retry after ``wait_ms``."""
    retry_after_ms = None if wait_ms is None else math.ceil(wait_ms)
    return Refuse(ticket, not_run(code, message, retry_after_ms))
