"""Guards the figures that the report states."""

import pytest

from waxwinglift.version import RankRow
from waxwinglift_bench.request._statistics import RunStatistics

ROW = RankRow("low", 1, 10, 0, 100, 1000)


@pytest.mark.parametrize(
    ("used_ms", "lost_ms", "kept"),
    [
        # 2 slots for 1 s at 10% are 200 ms.
        (200.0, 500.0, 100.0),
        (100.0, 500.0, 50.0),
        # A rank that asks for less than its floor is owed what it asks.
        (90.0, 10.0, 90.0),
        (500.0, 500.0, 100.0),
        (50.0, 0.0, 100.0),
    ],
)
def test_floor_kept(used_ms, lost_ms, kept):
    statistics = RunStatistics(0.0, 1000.0)
    statistics.record_run("e", "low", used_ms, 10.0)
    statistics.record_loss("e", "low", lost_ms, 10.0)
    statistics.record_loss("e", "low", 1e6, 2000.0)
    assert statistics.floor_kept_percent(ROW, 2) == pytest.approx(kept)
