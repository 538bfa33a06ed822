"""Order of an admission queue: callers of a rank take turns."""

import math

from waxwinglift.request._admission_order import admission_order
from waxwinglift.request._admission_order import AdmissionOrder
from waxwinglift.request._admission_types import make_refusal
from waxwinglift.request._rank_queue import RankQueue
from waxwinglift.request._types import FailureCode


@admission_order("turns")
class TurnOrder(AdmissionOrder):
    """Round robin over callers; refusals by the mean expected wait."""

    def make_rank(self, row, urgency_index):
        """Return the empty queue of a rank."""
        return RankQueue(row, urgency_index)

    def find_refusal(self, ticket, rank, now_ms):
        """Refuse a ticket whose expected wait exceeds its time."""
        state = self.state
        if not state.must_wait(rank):
            return None
        wait_ms = self.expected_wait_ms(ticket, now_ms)
        if len(rank) >= rank.row.queue_limit_count:
            message = f"queue of rank {ticket.rank} is full ({len(rank)} wait)"
            return _refuse(ticket, message, wait_ms)
        left_ms = ticket.deadline_ms - now_ms
        if wait_ms > state.settings.wait_fraction * left_ms:
            message = f"expected wait of {wait_ms:.0f} ms exceeds the deadline"
            return _refuse(ticket, message, wait_ms)
        return None

    def find_early_refusal(self, ticket, rank, now_ms):
        """Return None: requests are refused when they are offered."""
        return None

    def push(self, ticket, rank, now_ms):
        """Append a ticket to its caller's queue."""
        rank.push(ticket)

    def pop(self, rank, now_ms):
        """Remove and return the ticket of the rank that starts next."""
        # Without a floor share the time between two starts is unknown: only
        # tickets whose deadline has passed are late.
        turn_ms = 0.0
        if rank.floor_share > 0:
            floor_slots = rank.floor_share * self.state.slots_count
            turn_ms = self.state.service_ms / floor_slots
        limit_count = self.state.settings.advance_limit_count
        return rank.pop(now_ms, turn_ms, limit_count)

    def latest_start_ms(self, ticket):
        """Return when it is too late to start, although time is left."""
        limit_ms = ticket.deadline_ms - ticket.arrival_ms
        reserve_ms = (1 - self.state.settings.wait_fraction) / 2 * limit_ms
        return ticket.deadline_ms - reserve_ms

    def refuse_late(self, ticket, rank, now_ms):
        """Return the refusal of a ticket that can no longer start in time."""
        message = "deadline passed in queue"
        return make_refusal(ticket, FailureCode.REJECTED, message)

    def find_late(self, now_ms):
        """Return no ticket: only the latest start of each one counts."""
        return ()

    def charged_ms(self, ticket):
        """Return the service time expected of a ticket that starts."""
        return self.state.service_ms

    def record(self, ticket, rank, now_ms, service_ms, work_ms):
        """Update the mean service time."""
        state = self.state
        error_ms = service_ms - state.service_ms
        state.service_ms += state.settings.service_weight * error_ms

    def expected_wait_ms(self, ticket, now_ms):
        """Return the expected time until a new ticket would start."""
        state = self.state
        rank = state.ranks[(ticket.pool, ticket.rank)]
        if not state.must_wait(rank):
            return 0.0
        own_count = rank.ahead_count(ticket.caller, ticket.is_continued) + 1
        ahead_count = own_count
        for other in state.ranks.values():
            if other is not rank:
                ahead_count += _served_before_count(other, rank, own_count)
        slots_count = state.usable_slots_count(rank)
        wait_ms = ahead_count * state.service_ms / slots_count
        if state.settings.is_floor_expected and rank.floor_share > 0:
            # The floor share limits the wait, however long the queues of
            # higher ranks are.
            floor_slots = rank.floor_share * state.slots_count
            return min(wait_ms, own_count * state.service_ms / floor_slots)
        return wait_ms

    def new_wait_ms(self):
        """Return the expected wait of a new read of the least urgent rank."""
        state = self.state
        waiting_count = state.waiting_count
        if waiting_count or len(state.running_ms) >= state.slots_count:
            return (waiting_count + 1) * state.service_ms / state.slots_count
        return 0.0


def _served_before_count(other, rank, own_count):
    """Return how many waiting tickets of another rank are served first."""
    if other.is_most_urgent and not rank.is_most_urgent:
        return len(other)
    if rank.is_most_urgent and not other.is_most_urgent:
        return 0
    ratio = other.row.weight / max(1, rank.row.weight)
    return min(len(other), round(own_count * ratio))


def _refuse(ticket, message, wait_ms):
    """Return a refusal that suggests a retry after ``wait_ms``."""
    retry_after_ms = math.ceil(wait_ms)
    return make_refusal(ticket, FailureCode.REJECTED, message, retry_after_ms)
