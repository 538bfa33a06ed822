"""Part of an endpoint's slots that a rank can expect to get."""

import dataclasses
import math

from waxwinglift.request._queue_state import QueueState

# Smallest part that is assumed.  A rank without a floor share gets the slots
# that the urgent ranks leave, however few.
_LEAST_FRACTION = 0.05
# Part of the slots above which another rank counts as one in use.
_IN_USE_FRACTION = 0.01


def slots_fraction(state: QueueState, rank, now_ms: float) -> float:
    """Return the part of the slots that a rank can expect to get.

    The most urgent ranks go before the others.  The others share the rest by
    their weights and may use what the others leave.
    """
    limit = state.usable_slots_count(rank) / state.slots_count
    if rank.is_most_urgent:
        return limit
    left = 1.0
    used = 0.0
    weight_sum = rank.row.weight
    for other in state.ranks.values():
        if other is rank:
            continue
        fraction = other.usage.rate_per_ms(now_ms) / state.slots_count
        if other.is_most_urgent:
            left -= fraction
            continue
        used += fraction
        if len(other) or fraction > _IN_USE_FRACTION:
            weight_sum += other.row.weight
    by_weight = left * rank.row.weight / max(1, weight_sum)
    fraction = max(left - used, by_weight, rank.floor_share, _LEAST_FRACTION)
    return min(fraction, limit, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class RankPace:
    """Expected waits of the tickets of one rank at one moment.

    Its tickets start after the most urgent ranks, in the slots that it can
    expect, or in those of its floor share, which no other rank delays.

    Parameters
    ----------
    slots : float
        Slots that the rank can expect.
    floor_slots : float
        Those of its floor share; 0 without one.
    service_ms : float
        Mean service time, for which a rank may have to earn its floor share.
    before_ms, before_variance : float
        Work that comes before the rank's own, and its variance.
    """

    slots: float
    floor_slots: float
    service_ms: float
    before_ms: float
    before_variance: float

    def mean_wait_ms(self, ahead_ms: float) -> float:
        """Return the mean time until own work of ``ahead_ms`` has started."""
        wait_ms = (self.before_ms + ahead_ms) / self.slots
        if not self.floor_slots:
            return wait_ms
        return min(wait_ms, (self.service_ms + ahead_ms) / self.floor_slots)

    def high_wait_ms(self, ahead_ms: float, variance: float) -> float:
        """Return a high quantile of it: mean and standard deviation."""
        spread_ms = math.sqrt(max(0.0, variance + self.before_variance))
        wait_ms = (self.before_ms + ahead_ms + spread_ms) / self.slots
        if not self.floor_slots:
            return wait_ms
        own_ms = self.service_ms + ahead_ms + math.sqrt(max(0.0, variance))
        return min(wait_ms, own_ms / self.floor_slots)
