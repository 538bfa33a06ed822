"""Settings of the load tool."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.version import PoolName
from waxwinglift.version import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Bounds of one load run.

    Parameters
    ----------
    proxies : tuple of Address
        Proxies that the callers roam between.
    pool : PoolName
        Database name of the callers' connections.
    rank_callers : tuple of (Rank, int)
        Callers of each rank.
    statements_count : int
        Statements of the whole run.
    write_percent : int
        Share of writes, 0 to 100.
    roam_every_count : int
        Statements after which a caller moves to the next proxy.
    time_limit_s : float
        The run stops by itself after this time.
    seed : int
        Seed of the statement mix.
    """

    proxies: tuple[Address, ...]
    pool: PoolName
    rank_callers: tuple[tuple[Rank, int], ...]
    statements_count: int
    write_percent: int = 40
    roam_every_count: int = 50
    time_limit_s: float = 60.0
    seed: int = 1
