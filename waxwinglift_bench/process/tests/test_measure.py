"""Tests of the simulation's repeatability, its checks and its plots."""

import pytest

from waxwinglift_bench.process._deployment import DEPLOYMENTS
from waxwinglift_bench.process._measure import format_row
from waxwinglift_bench.process._measure import run_world
from waxwinglift_bench.process._measure import save_plots
from waxwinglift_bench.process._measure import VARIANTS


def run(scenario, policy="now", name="pilabrio", duration_s=0.5):
    return run_world(
        DEPLOYMENTS[name], VARIANTS[policy], scenario, duration_s, 1
    )


@pytest.mark.parametrize("policy", ["split", "now"])
def test_same_seed_gives_the_same_results(policy):
    # Otherwise results before and after a change could not be compared.
    lines = [
        format_row("normal", policy, run("normal", policy)) for _ in range(2)
    ]
    assert lines[0] == lines[1]


@pytest.mark.parametrize("scenario", ["proxy_cut+primary_change"])
def test_no_read_is_below_its_floor_during_faults(scenario):
    # Guards against a policy that is fast because it ignores session floors.
    world = run(scenario, duration_s=4.0)
    assert world.statistics.reads_below_floor_count == 0
    rank_statistics = world.statistics.ranks.values()
    assert sum(f.answered_count for f in rank_statistics) > 1000
    assert world.fleet.groups["g0"].term == 2


@pytest.fixture(scope="module")
def short_world():
    return run("normal", duration_s=0.1)


@pytest.mark.parametrize(
    ("scenarios", "plots"),
    [
        (["normal"], ["low_flood.png"]),
        (["urgent_flood"], ["urgent_flood.png"]),
        (["low_flood", "urgent_flood"], ["low_flood.png", "urgent_flood.png"]),
    ],
)
def test_only_floods_that_were_run_are_plotted(
    scenarios, plots, short_world, tmp_path
):
    # A plot without runs has no axes, which made the command fail.
    worlds = {(name, "pilabrio", "now"): short_world for name in scenarios}
    save_plots(tmp_path, worlds)
    assert sorted(path.name for path in tmp_path.iterdir()) == plots
