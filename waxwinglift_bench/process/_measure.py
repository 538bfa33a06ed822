"""Command `measure`: policies under load and faults, in virtual time."""

from pathlib import Path
import time

import click

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.process._policy_settings import RetrySettings
from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift_bench.process._deployment import DEPLOYMENTS
from waxwinglift_bench.process._scenarios import SCENARIOS
from waxwinglift_bench.process._world import Variant
from waxwinglift_bench.process._world import World

# "split" is a baseline without ranks and owners, "first" has the settings of
# the first version of each policy, and "now" has the defaults.
VARIANTS = {
    v.name: v
    for v in (
        Variant(
            "split", RoutingSettings(), AdmissionSettings(), is_split=True
        ),
        Variant(
            "first",
            RoutingSettings(
                policy="two_choices",
                replica_wait_ms=100.0,
                prompt_wait_ms=100.0,
                lag_weight=0.2,
                is_spill_limited=False,
            ),
            AdmissionSettings(
                debt_window_ms=200.0,
                flood_depth=0,
                is_floor_expected=False,
                advance_limit_count=0,
            ),
            RetrySettings(rejected_limit_count=4),
        ),
        Variant("now", RoutingSettings(), AdmissionSettings()),
    )
}


def run_world(deployment, variant, scenario, duration_s, seed):
    """Simulate one scenario and return its World."""
    world = World(deployment, variant, duration_s * 1000.0, seed)
    SCENARIOS[scenario](world)
    world.run()
    return world


def format_header(deployment):
    """Return the header line of a deployment's table."""
    ranks = [load.row.rank for load in deployment.ranks]
    columns = " ".join(f"{rank + ' /s (share)':>20}" for rank in ranks)
    return (
        f"{'scenario':32} {'policy':6} {'repl%':>6} {'p50':>6} {'p99':>6} "
        f"{'miss%':>6} {columns} {'floor%':>7} {'early':>6} {'unkn':>5}"
    )


def format_row(scenario, variant, world):
    """Return the table row of one run."""
    run_statistics = world.statistics
    urgent = world.deployment.ranks[0].row.rank
    counts = run_statistics.ranks[urgent]
    columns = " ".join(
        f"{run_statistics.goodput_per_s(load.row.rank):10.1f} "
        f"({run_statistics.share_percent(load.row.rank):6.1f}%)"
        for load in world.deployment.ranks
    )
    received = min(
        run_statistics.floor_share_received_percent(
            load.row, world.deployment.slots_count
        )
        for load in world.deployment.ranks
    )
    unknown = sum(f.unknown_count for f in run_statistics.ranks.values())
    missed = 100.0 * counts.missed_count / max(1, counts.offered_count)
    return (
        f"{scenario:32} {variant:6} {run_statistics.replica_percent():6.1f} "
        f"{run_statistics.percentile_ms(urgent, 50):6.1f} "
        f"{run_statistics.percentile_ms(urgent, 99):6.1f} {missed:6.2f} "
        f"{columns} {received:7.1f} "
        f"{run_statistics.arrival_refusal_count:6} {unknown:5}"
    )


def save_plots(folder, worlds):
    """Save a plot of each flood scenario that was run."""
    # Importing matplotlib is slow and only plots need it.
    from waxwinglift_bench.process import _plots

    folder.mkdir(parents=True, exist_ok=True)
    low = {
        (name, f"{policy}, {scenario.replace('_', ' ')}"): world
        for (scenario, name, policy), world in worlds.items()
        if scenario == "low_flood" or (scenario, policy) == ("normal", "now")
    }
    if low:
        _plots.plot_low_flood(folder / "low_flood.png", low)
    urgent = {
        (name, policy): world
        for (scenario, name, policy), world in worlds.items()
        if scenario == "urgent_flood"
    }
    if urgent:
        _plots.plot_urgent_flood(folder / "urgent_flood.png", urgent)


@click.command()
@click.option(
    "--deployment",
    "deployments",
    multiple=True,
    help="Deployments to simulate; all by default.",
)
@click.option(
    "--scenario",
    "scenarios",
    multiple=True,
    help="Scenarios to run; all by default.",
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    help="Policy versions to compare; all by default.",
)
@click.option(
    "--duration-s",
    default=8.0,
    show_default=True,
    help="Virtual time in seconds that is measured after the warm-up.",
)
@click.option(
    "--seed",
    default=1,
    show_default=True,
    help="Random seed; the same seed gives the same results.",
)
@click.option(
    "--plots",
    "plot_folder",
    type=click.Path(path_type=Path),
    help="Folder in which to save plots of the flood scenarios.",
)
def measure(deployments, scenarios, policies, duration_s, seed, plot_folder):
    """Print a table with a row for each scenario and policy version.

    repl%: reads served by replicas; p50, p99 and miss%: latencies and missed
    deadlines of the most urgent rank; floor%: lowest percentage of its floor
    share that a rank received; early: requests refused on arrival; unkn:
    requests with an unknown outcome.
    """
    started_s = time.monotonic()
    worlds = {}
    for name in deployments or DEPLOYMENTS:
        deployment = DEPLOYMENTS[name]
        click.echo(f"\n{name}\n{format_header(deployment)}")
        for scenario in scenarios or SCENARIOS:
            for policy in policies or VARIANTS:
                world = run_world(
                    deployment, VARIANTS[policy], scenario, duration_s, seed
                )
                worlds[(scenario, name, policy)] = world
                click.echo(format_row(scenario, policy, world))
                violations = world.statistics.reads_below_floor_count
                if violations:
                    click.echo(f"  {violations} reads below their floor")
    if plot_folder:
        save_plots(plot_folder, worlds)
    click.echo(f"\n{time.monotonic() - started_s:.0f} s", err=True)
