"""State of an admission queue that its order of tickets depends on."""

import dataclasses

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.request._rank_account import RankAccount
from waxwinglift.request._types import RequestId
from waxwinglift.version import PoolName
from waxwinglift.version import Rank


@dataclasses.dataclass(slots=True)
class QueueState:
    """Ranks, slots and running requests of one admission queue.

    Parameters
    ----------
    slots_count : int
        Number of statements that the endpoint executes concurrently.
    settings : AdmissionSettings
    service_ms : float
        Moving average of the time that a ticket occupies its slot.
    ranks : dict
    running_ms : dict
        Service time charged at the start, by running request.
    """

    slots_count: int
    settings: AdmissionSettings
    service_ms: float
    ranks: dict[tuple[PoolName, Rank], RankAccount] = dataclasses.field(
        default_factory=dict
    )
    running_ms: dict[RequestId, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def waiting_count(self) -> int:
        """Number of tickets that wait for a slot."""
        return sum(len(rank) for rank in self.ranks.values())

    def must_wait(self, rank: RankAccount) -> bool:
        """Return whether a new ticket of the rank would have to wait."""
        if len(self.running_ms) >= self.slots_count:
            return True
        return len(rank) > 0 or rank.is_at_limit

    def usable_slots_count(self, rank: RankAccount) -> int:
        """Return how many slots the rank may use at once."""
        limit_count = rank.row.limit_count or self.slots_count
        return min(limit_count, self.slots_count)
