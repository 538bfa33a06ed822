"""Tests the choice of endpoints by many proxies, in virtual time.

The load is 106 proxies that read from 4 groups of 3 servers of unequal speed
with 6 slots each, for 9 s; the replicas of one group apply no commits for 4 s.
"""

import pytest

from waxwinglift_bench.process._balancing import measure
from waxwinglift_bench.process._balancing import Run


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", [0.6, 0.85])
def test_reported_load_balances_better_than_own_measurements(load, seed):
    """Proxies with few requests each know too little about the servers."""
    before = measure(Run("latency", seed, load))
    after = measure(Run("load", seed, load))
    best = measure(Run("complete information", seed, load))
    # Each proxy asked the replicas that were behind again and again.
    assert before.behind_count > 500
    assert after.behind_count < 25
    assert best.mean_ms < after.mean_ms < before.mean_ms
    assert after.idle_share < before.idle_share
    assert after.largest_queue <= before.largest_queue
    # The replicas must have their work again soon after the lag.
    assert after.return_ms < 1000.0


@pytest.mark.parametrize("exchange_ms", [250.0, 2000.0])
def test_old_records_do_not_herd_the_proxies(exchange_ms):
    """Proxies with the same records must not all choose the same server.

    The one that was best when the records were made gets a long queue.
    """
    spread = measure(Run("load", 1, 0.85, exchange_ms))
    herd = measure(Run("least cost", 1, 0.85, exchange_ms))
    assert spread.mean_ms < herd.mean_ms
    assert spread.idle_share < herd.idle_share
