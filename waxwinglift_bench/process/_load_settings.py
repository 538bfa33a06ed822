"""Settings of the load generator."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.version import PoolName
from waxwinglift.version import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Settings of one load run.

    Parameters
    ----------
    proxies : tuple of Address
        Proxies that each caller uses in turn.
    pool : PoolName
        Database name of the callers' connections.
    rank_callers : tuple of (Rank, int)
        Number of callers of each rank.
    statements_count : int
        Number of statements of all callers together.
    write_percent : int
        Percentage of writes, 0 to 100.
    roam_every_count : int
        Number of statements after which a caller switches to the next proxy.
    time_limit_s : float
        Time in seconds after which the run is stopped.
    seed : int
        Random seed of the statement mix.
    """

    proxies: tuple[Address, ...]
    pool: PoolName
    rank_callers: tuple[tuple[Rank, int], ...]
    statements_count: int
    write_percent: int = 40
    roam_every_count: int = 50
    time_limit_s: float = 60.0
    seed: int = 1
