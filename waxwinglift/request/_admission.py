"""Admission queue of one endpoint: order, limits and early refusal.

The floor of a rank is its guaranteed share of the slots in a flood; it has
no relation to the floor of a session.
"""

import heapq
import random

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.request import _deadline_order  # noqa: F401, as the next
from waxwinglift.request import _turn_order  # noqa: F401, registers an order
from waxwinglift.request._admission_order import ADMISSION_ORDERS
from waxwinglift.request._admission_types import make_refusal
from waxwinglift.request._admission_types import Refuse
from waxwinglift.request._admission_types import Start
from waxwinglift.request._admission_types import Ticket
from waxwinglift.request._queue_load import QueueLoad
from waxwinglift.request._queue_state import QueueState
from waxwinglift.request._types import FailureCode

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
    rng : random.Random, optional
        For orders that refuse at random.
    """

    def __init__(self, slots_count, settings=None, rng=None):
        self.settings = settings or AdmissionSettings()
        self._state = QueueState(
            slots_count, self.settings, self.settings.initial_service_ms
        )
        self._order = ADMISSION_ORDERS[self.settings.order](
            self._state, rng or random.Random()
        )
        # Both are changed here only.
        self._ranks = self._state.ranks
        self._running = self._state.running_ms
        self._expiries = []
        # Virtual time of the last started rank.  A rank that was idle starts
        # from it and cannot claim the slots of its idle time.
        self._virtual_ms = 0.0
        self._last_accrual_ms = None
        self._is_in_flood = False

    @property
    def slots_count(self):
        """Number of statements that may run at once."""
        return self._state.slots_count

    @slots_count.setter
    def slots_count(self, slots_count):
        self._state.slots_count = slots_count

    @property
    def running_count(self):
        """Number of slots in use."""
        return len(self._running)

    @property
    def service_ms(self):
        """Moving average of the time that a ticket occupies its slot."""
        return self._state.service_ms

    @property
    def waiting_count(self):
        """Number of tickets that wait for a slot."""
        return self._state.waiting_count

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
            # An existing rank is false while no ticket waits in it.
            ranks[key] = self._ranks.get(key)
            if ranks[key] is None:
                ranks[key] = self._order.make_rank(row, index)
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

    def find_refusal(self, ticket, now_ms):
        """Return the refusal of a request before its ticket is offered.

        For requests that take other resources before a slot.

        Returns
        -------
        Refuse or None
        """
        rank = self._ranks.get((ticket.pool, ticket.rank))
        if rank is None:
            return None
        return self._order.find_early_refusal(ticket, rank, now_ms)

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
                make_refusal(
                    ticket,
                    FailureCode.BAD_PARAMETER,
                    f"pool {ticket.pool!r} has no rank {ticket.rank!r}",
                )
            ]
        if ticket.deadline_ms <= now_ms:
            return [
                make_refusal(ticket, FailureCode.REJECTED, "deadline passed")
            ]
        refusal = self._order.find_refusal(ticket, rank, now_ms)
        if refusal is not None:
            return [refusal]
        if not len(rank):
            rank.virtual_ms = max(rank.virtual_ms, self._virtual_ms)
        self._order.push(ticket, rank, now_ms)
        latest_ms = self._order.latest_start_ms(ticket)
        expiry = (latest_ms, ticket.request, ticket)
        heapq.heappush(self._expiries, expiry)
        return self._start_next(now_ms)

    def finish(self, ticket, now_ms, service_ms, work_ms=None):
        """Free the slot of a started ticket and start the next one.

        Parameters
        ----------
        ticket : Ticket
        now_ms : float
        service_ms : float or None
            Time that the ticket occupied its slot; None if the slot was not
            used, which is no sample of the service time.
        work_ms : float, optional
            Part of it that the endpoint took for its work; None if it
            refused the work.

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
            self._order.record(ticket, rank, now_ms, service_ms, work_ms)
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
            actions += self._refuse_late(ticket, now_ms)
        for ticket in self._order.find_late(now_ms):
            actions += self._refuse_late(ticket, now_ms)
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

    def expected_wait_ms(self, ticket, now_ms=0.0):
        """Return the expected time until a new ticket would start."""
        return self._order.expected_wait_ms(ticket, now_ms)

    def load(self) -> QueueLoad:
        """Return the present load of the queue."""
        return QueueLoad(
            self.slots_count,
            self.running_count,
            self.waiting_count,
            self._order.new_wait_ms(),
        )

    def _refuse_late(self, ticket, now_ms):
        rank = self._ranks.get((ticket.pool, ticket.rank))
        if rank is None or not rank.remove(ticket):
            return []
        return [self._order.refuse_late(ticket, rank, now_ms)]

    def _start_next(self, now_ms):
        actions = []
        while len(self._running) < self.slots_count:
            rank = self._choose_rank()
            if rank is None:
                break
            actions.append(self._start(rank, now_ms))
        return actions

    def _start(self, rank, now_ms):
        ticket = self._order.pop(rank, now_ms)
        rank.running_count += 1
        self._virtual_ms = max(self._virtual_ms, rank.virtual_ms)
        charged_ms = self._order.charged_ms(ticket)
        self._running[ticket.request] = charged_ms
        rank.charge(charged_ms, self._debt_cap_ms(rank))
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
        min_credit_ms = 0.0 if self._is_in_flood else self._state.service_ms
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
        return max(2 * self._state.service_ms, window_ms * rank.floor_share)

    def _debt_cap_ms(self, rank):
        window_ms = self.settings.debt_window_ms * self.slots_count
        return max(self._state.service_ms, window_ms * rank.floor_share)

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
