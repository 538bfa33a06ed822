"""Command `overload`: orders of an admission queue in a burst."""

import click

from waxwinglift_bench.request._overload_world import BURST_MS
from waxwinglift_bench.request._overload_world import count
from waxwinglift_bench.request._overload_world import run_burst

# Orders, each with whether the entry proxies keep the return times.
_VARIANTS = (("turns", False), ("turns", True), ("deadline", True))
_HEADER = (
    "load  order     return  use  served/s  refused/s  "
    "served of each kind             recovery"
)


@click.command("overload")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--ratio",
    "ratios",
    multiple=True,
    type=float,
    default=(0.8, 1.3, 2.0, 4.0),
    show_default=True,
    help="Offered work divided by what the slots can do.",
)
def overload(seed, ratios):
    """Overload one endpoint in virtual time, for each order."""
    click.echo(_HEADER)
    for ratio in ratios:
        for order, keeps_return_times in _VARIANTS:
            world = run_burst(ratio, order, keeps_return_times, seed=seed)
            returns = "kept" if keeps_return_times else "not"
            click.echo(f"{ratio:<4}  {order:9} {returns:6}  {_figures(world)}")


def _figures(world):
    # The first second belongs to the change of the load.
    begin_ms, end_ms = BURST_MS[0] + 1000, BURST_MS[1]
    seconds = (end_ms - begin_ms) / 1000
    served_per_s = world.served_count(begin_ms, end_ms) / seconds
    refused_per_s = count(world.refusals, begin_ms, end_ms) / seconds
    shares = " ".join(
        f"{name} {world.share(name, begin_ms, end_ms):.2f}"
        for name in world.kinds
    )
    recovery_ms = world.recovery_ms(end_ms)
    recovery = "none" if recovery_ms is None else f"{recovery_ms:.0f} ms"
    return (
        f"{world.use(begin_ms, end_ms):.2f}  {served_per_s:8.0f}  "
        f"{refused_per_s:9.0f}  {shares}  {recovery}"
    )
