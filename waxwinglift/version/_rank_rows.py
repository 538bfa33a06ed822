"""Rows of the ranks that a whole desired state only orders by urgency."""

from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._entries import RankRow
from waxwinglift.version._types import Rank

# Each rank gets half the weight of the next more urgent one.
_HIGHEST_WEIGHT = 64
# Share of the slots that a less urgent rank keeps in a flood of others.
_FLOOR_PERCENT = 10
# Requests that wait at one endpoint before further ones are refused.
_QUEUE_LIMIT_COUNT = 256


def rank_name(urgency_index: int) -> Rank:
    """Return the name of the rank with this urgency."""
    return Rank(f"rank{urgency_index}")


def rank_row(policy: PoolPolicy) -> RankRow:
    """Return the row of a pool's only rank."""
    index = policy.urgency_index
    return RankRow(
        rank=rank_name(index),
        weight=max(1, _HIGHEST_WEIGHT >> min(index, 10)),
        floor_percent=0 if index == 0 else _FLOOR_PERCENT,
        limit_count=0,
        queue_limit_count=_QUEUE_LIMIT_COUNT,
        deadline_ms=policy.statement_timeout_ms,
    )
