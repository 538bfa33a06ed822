"""Order of an admission queue: by the latest start of each ticket."""

from waxwinglift.request._admission_order import admission_order
from waxwinglift.request._admission_order import AdmissionOrder
from waxwinglift.request._admission_types import make_refusal
from waxwinglift.request._deadline_rank import DeadlineRank
from waxwinglift.request._deadline_rank import WaitingTicket
from waxwinglift.request._decayed_sum import DecayedSum
from waxwinglift.request._rank_capacity import RankPace
from waxwinglift.request._rank_capacity import slots_fraction
from waxwinglift.request._return_schedule import ReturnSchedule
from waxwinglift.request._types import FailureCode
from waxwinglift.request._work_estimates import WorkEstimates

# Time over which the throughput is measured.
_SERVED_TIME_CONSTANT_MS = 1000.0
# The band of refusals begins earlier by up to this factor for work that costs
# more than the mean of its rank, and by this factor for callers that exceed
# their share.
_COST_FACTOR_LIMIT = 2.0
_EXCESS_FACTOR = 2.0
# A refused request returns when this part of the wait has passed, so that it
# finds a shorter queue.
_RETURN_WAIT_FRACTION = 0.5


@admission_order("deadline")
class DeadlineOrder(AdmissionOrder):
    """Earliest latest start first; refusals by the ratio of the waits.

    A rank refuses all its kinds of work by one measure: the expected wait
    divided by the acceptable one.  From ``refusal_start_ratio`` to 1 the
    probability of a refusal rises to 1, so that the queue keeps a length at
    which it accepts as much as the slots serve.
    """

    def __init__(self, state, rng):
        super().__init__(state, rng)
        settings = state.settings
        self._estimates = WorkEstimates(
            settings.initial_service_ms, settings.service_weight
        )
        self._served = DecayedSum(_SERVED_TIME_CONSTANT_MS)
        self._returns = ReturnSchedule(
            settings.refusal_share, settings.return_limit_ms, rng
        )

    def make_rank(self, row, urgency_index):
        """Return the empty queue of a rank."""
        return DeadlineRank(row, urgency_index)

    def find_refusal(self, ticket, rank, now_ms):
        """Refuse a ticket by the ratio of its expected and acceptable wait."""
        acceptable_ms = self._acceptable_ms(ticket)
        if not ticket.is_continued and not ticket.is_admitted:
            work_ms = self._estimates.find(ticket.work).mean_ms
            rank.record_offer(acceptable_ms, work_ms)
        if not self.state.must_wait(rank) or not len(rank):
            # One ticket of each rank may always wait: without tickets that
            # run, a wrong estimate would never be corrected.
            return None
        pace = self._find_pace(rank, now_ms)
        rank_wait_ms = pace.high_wait_ms(
            rank.waiting_ms, rank.waiting_variance
        )
        if len(rank) >= rank.row.queue_limit_count:
            message = f"queue of rank {ticket.rank} is full ({len(rank)} wait)"
            return self._refuse(ticket, rank, now_ms, message, rank_wait_ms)
        wait_ms = self._ticket_wait_ms(ticket, rank, pace, now_ms)
        ratio = wait_ms / max(1.0, acceptable_ms)
        if not ticket.is_continued:
            # The mean of the rank bounds the queue for all kinds of work
            # alike: by their own ratios alone, a kind with much time would
            # keep the queue too long for the others.
            rank_ratio = rank_wait_ms / max(1.0, rank.acceptable_ms)
            ratio = max(ratio, rank_ratio)
        if not self._is_refused(ticket, rank, ratio, now_ms):
            return None
        message = (
            f"expected wait of {wait_ms:.0f} ms is {ratio:.2f} of the "
            "acceptable wait"
        )
        return self._refuse(ticket, rank, now_ms, message, wait_ms)

    def find_early_refusal(self, ticket, rank, now_ms):
        """Refuse a request as if its ticket were offered."""
        return self.find_refusal(ticket, rank, now_ms)

    def push(self, ticket, rank, now_ms):
        """Add an accepted ticket at its place."""
        key = self._key(ticket, rank, now_ms)
        work = self._estimates.find(ticket.work)
        rank.push(WaitingTicket(ticket, key, work))

    def pop(self, rank, now_ms):
        """Remove and return the ticket of the rank that starts next."""
        return rank.pop()

    def latest_start_ms(self, ticket):
        """Return when it is too late to start, although time is left."""
        fraction = (1 + self.state.settings.wait_fraction) / 2
        return ticket.arrival_ms + fraction * _limit_ms(ticket)

    def refuse_late(self, ticket, rank, now_ms):
        """Return the refusal of a ticket that can no longer start in time."""
        message = "deadline passed in queue"
        pace = self._find_pace(rank, now_ms)
        wait_ms = pace.high_wait_ms(rank.waiting_ms, rank.waiting_variance)
        return self._refuse(ticket, rank, now_ms, message, wait_ms)

    def find_late(self, now_ms):
        """Return waiting tickets whose expected start is too late."""
        late = []
        for rank in self.state.ranks.values():
            if not len(rank):
                continue
            pace = self._find_pace(rank, now_ms)
            ahead_ms = 0.0
            for waiting in rank.in_order():
                ticket = waiting.ticket
                start_ms = now_ms + pace.mean_wait_ms(ahead_ms)
                latest_ms = self.latest_start_ms(ticket)
                if start_ms > latest_ms and not ticket.is_continued:
                    late.append(ticket)
                else:
                    ahead_ms += waiting.work.mean_ms
        return late

    def charged_ms(self, ticket):
        """Return the service time expected of a ticket that starts."""
        return self._estimates.find(ticket.work).mean_ms

    def record(self, ticket, rank, now_ms, service_ms, work_ms):
        """Record a ticket that has ended."""
        rank.usage.add(service_ms, now_ms)
        rank.callers.record(ticket.caller, service_ms, now_ms)
        if work_ms is None:
            return
        self._served.add(1, now_ms)
        self._estimates.record(ticket.work, work_ms)
        self.state.service_ms = self._estimates.mean_ms

    def expected_wait_ms(self, ticket, now_ms):
        """Return the expected time until a new ticket would start.

        It is a high quantile: the mean and the standard deviation.
        """
        rank = self.state.ranks[(ticket.pool, ticket.rank)]
        if not self.state.must_wait(rank):
            return 0.0
        pace = self._find_pace(rank, now_ms)
        return self._ticket_wait_ms(ticket, rank, pace, now_ms)

    def new_wait_ms(self):
        """Return the expected wait of a new read of the least urgent rank."""
        state = self.state
        is_full = len(state.running_ms) >= state.slots_count
        if not is_full and not state.waiting_count:
            return 0.0
        waiting_ms = sum(rank.waiting_ms for rank in state.ranks.values())
        return (waiting_ms + self._running_left_ms()) / state.slots_count

    def _acceptable_ms(self, ticket):
        return self.state.settings.wait_fraction * _limit_ms(ticket)

    def _key(self, ticket, rank, now_ms):
        is_excess = rank.callers.exceeds_share(ticket.caller, now_ms)
        return is_excess, self.latest_start_ms(ticket), ticket.request

    def _ticket_wait_ms(self, ticket, rank, pace, now_ms):
        """Return the expected time until a new ticket would start."""
        key = None
        if not ticket.is_continued:
            key = self._key(ticket, rank, now_ms)
        ahead = rank.work_ahead(key)
        return pace.high_wait_ms(ahead.mean_ms, ahead.variance)

    def _find_pace(self, rank, now_ms):
        """Return the RankPace of a rank."""
        state = self.state
        slots_count = state.slots_count
        before_ms, before_variance = self._work_before(rank)
        floor_slots = 0.0
        if state.settings.is_floor_expected:
            floor_slots = slots_count * rank.floor_share
        return RankPace(
            slots=slots_count * slots_fraction(state, rank, now_ms),
            floor_slots=floor_slots,
            service_ms=state.service_ms,
            before_ms=before_ms,
            before_variance=before_variance,
        )

    def _work_before(self, rank):
        """Return the work before a rank's own tickets, and its variance."""
        work_ms = self._running_left_ms()
        variance = 0.0
        if rank.is_most_urgent:
            return work_ms, variance
        for other in self.state.ranks.values():
            if other.is_most_urgent:
                work_ms += other.waiting_ms
                variance += other.waiting_variance
        return work_ms, variance

    def _running_left_ms(self):
        """Return the expected rest of the running work: half of it."""
        return sum(self.state.running_ms.values()) / 2

    def _is_refused(self, ticket, rank, ratio, now_ms):
        if ratio >= 1:
            return True
        if ticket.is_continued or ticket.is_admitted:
            return False
        mean_ms = self._estimates.find(ticket.work).mean_ms
        factor = mean_ms / max(0.001, rank.offered_work_ms)
        factor = min(max(factor, 1.0), _COST_FACTOR_LIMIT)
        if rank.callers.exceeds_share(ticket.caller, now_ms):
            factor *= _EXCESS_FACTOR
        start = self.state.settings.refusal_start_ratio / factor
        return self.rng.random() < (ratio - start) / (1 - start)

    def _refuse(self, ticket, rank, now_ms, message, wait_ms):
        ranks = self.state.ranks.values()
        last_index = max(other.urgency_index for other in ranks)
        retry_after_ms = self._returns.book_ms(
            now_ms,
            _RETURN_WAIT_FRACTION * wait_ms,
            self._served.rate_per_ms(now_ms),
            1 - rank.urgency_index / max(1, last_index),
        )
        return make_refusal(
            ticket, FailureCode.REJECTED, message, retry_after_ms
        )


def _limit_ms(ticket):
    """Return the time from the arrival within which the ticket is served."""
    left_ms = ticket.deadline_ms - ticket.arrival_ms
    if ticket.is_continued or not ticket.target_ms:
        return left_ms
    return min(ticket.target_ms, left_ms)
