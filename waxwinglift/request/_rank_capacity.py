"""Part of an endpoint's slots that a rank can expect to get."""

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
