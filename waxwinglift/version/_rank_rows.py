"""Table rows for pools of a desired state, which ranks them by urgency."""

from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._entries import RankRow
from waxwinglift.version._types import Rank

# Weight of the most urgent rank; each further rank gets half of the weight
# before it.
_HIGHEST_WEIGHT = 64
# Share of slots reserved for each less urgent rank while the requests of
# other ranks exceed the capacity.
_FLOOR_PERCENT = 10
# Requests that may wait at one endpoint before further ones are refused.
_QUEUE_LIMIT_COUNT = 256


def rank_name(urgency_index: int) -> Rank:
    """Return the name of the rank with this urgency; 0 is the most urgent."""
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
