"""Guards the repeatability of the rig and what it checks on the way."""

import pytest

from waxwinglift_bench.process._deployment import DEPLOYMENTS
from waxwinglift_bench.process._measure import row
from waxwinglift_bench.process._measure import run_world
from waxwinglift_bench.process._measure import VARIANTS


def run(scenario, policy="now", name="pilabrio", duration_s=0.5):
    return run_world(
        DEPLOYMENTS[name], VARIANTS[policy], scenario, duration_s, 1
    )


@pytest.mark.parametrize("policy", ["split", "now"])
def test_same_seed_gives_the_same_figures(policy):
    # Figures before and after a change are comparable only then.
    lines = [row("normal", policy, run("normal", policy)) for _ in range(2)]
    assert lines[0] == lines[1]


@pytest.mark.parametrize("scenario", ["proxy_cut+primary_change"])
def test_reads_keep_their_floor_during_faults(scenario):
    # A policy that is fast because it ignores floors must not pass.
    world = run(scenario, duration_s=4.0)
    assert world.statistics.floor_violation_count == 0
    figures = world.statistics.ranks.values()
    assert sum(f.answered_count for f in figures) > 1000
    assert world.fleet.groups["g0"].term == 2
