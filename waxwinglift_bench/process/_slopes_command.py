"""Command `slopes`: fitted lines and the cost at the target size."""

import dataclasses

import click

from waxwinglift_bench.process import _slopes
from waxwinglift_bench.process import _slopes_control
from waxwinglift_bench.process import _slopes_proxy
from waxwinglift_bench.process import _slopes_requests
from waxwinglift_bench.process import _slopes_sessions
from waxwinglift_bench.process import _slopes_transport
from waxwinglift_bench.process import _slopes_watch

# Modules whose import fills the registry.
MEASUREMENT_MODULES = (
    _slopes_control,
    _slopes_proxy,
    _slopes_requests,
    _slopes_sessions,
    _slopes_transport,
    _slopes_watch,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Fleet size that the users expect in two years."""

    daemons_count: int = 450
    databases_count: int = 870
    callers_count: int = 2_200_000
    control_vms_count: int = 7
    renewals_per_s: float = 4.0
    ticks_per_s: float = 50.0
    relay_batches_per_s: float = 50.0
    announcements_per_s: float = 2.0
    edits_per_day: int = 310


# Bounds on the cost of control at one proxy.
CORE_BOUND_PERCENT = 3.3
MEMORY_BOUND_MB = 128.0
TRAFFIC_BOUND_KB_PER_S = 14.0

LINE = "{:44} {:>12} {}"


def proxy_costs(lines, target):
    """Yield the costs of control at one proxy: (name, value, unit, bound)."""
    call_us = lines["renewal call: processor"].per_unit
    call_bytes = lines["renewal call: bytes"].per_unit
    edits_per_s = target.edits_per_day / 86_400
    core_percent = target.renewals_per_s * call_us / 1e4
    state_bytes = lines["daemon: fleet state"].value_at(target.databases_count)
    by_daemons = lines["daemon: fleet state by daemons"]
    state_bytes += by_daemons.per_unit * target.daemons_count
    traffic_bytes_per_s = target.renewals_per_s * call_bytes
    traffic_bytes_per_s += edits_per_s * lines["edit entry"].value_at(3)
    yield "core", core_percent, "%", CORE_BOUND_PERCENT
    yield "memory of the fleet state", state_bytes / 1e6, "MB", MEMORY_BOUND_MB
    yield "traffic", traffic_bytes_per_s / 1e3, "KB/s", TRAFFIC_BOUND_KB_PER_S


def leader_core_percent(lines, target):
    """Return the control leader's processor time in percent of a core."""
    renewals_per_s = target.daemons_count * target.renewals_per_s
    endpoints_count = 3 * target.databases_count
    announcements_per_s = endpoints_count * target.announcements_per_s
    tick_us = lines["leader: tick, by databases"].value_at(
        target.databases_count
    )
    by_daemons = lines["leader: tick, by daemons"]
    tick_us += by_daemons.per_unit * target.daemons_count
    relay = lines["relay call: processor"]
    followers_count = target.control_vms_count - 1
    batches_per_s = target.relay_batches_per_s * followers_count
    total_us = (
        renewals_per_s
        * lines["leader: renewal"].value_at(target.daemons_count)
        + announcements_per_s
        * lines["leader: announcement"].value_at(target.databases_count)
        + target.ticks_per_s * tick_us
        + batches_per_s * relay.fixed
        + (renewals_per_s + announcements_per_s) * relay.per_unit
    )
    return total_us / 1e4


def follower_core_percent(lines, target):
    """Return a follower's processor time as a relay in percent of a core."""
    daemons_count = target.daemons_count / target.control_vms_count
    endpoints_count = 3 * target.databases_count / target.control_vms_count
    calls_per_s = daemons_count * target.renewals_per_s
    calls_per_s += endpoints_count * target.announcements_per_s
    call_us = lines["renewal call: processor"].per_unit
    batch_us = lines["relay call: processor"].fixed
    total_us = calls_per_s * call_us + target.relay_batches_per_s * batch_us
    return total_us / 1e4


@click.command()
@click.option(
    "--only", default="", help="run only measurements with this prefix"
)
def slopes(only):
    """Print the fitted lines and the cost at the target size.

    Processor times of calls include both ends, so they are an upper bound for
    each end.  Exits with 1 if a cost per proxy exceeds its bound.
    """
    lines = {}
    for name in _slopes.MEASUREMENTS:
        if not name.startswith(only):
            continue
        line = _slopes.fit_measurement(name)
        lines[name] = line
        click.echo(
            f"{name:36} {line.fixed:14.1f} + {line.per_unit:10.3f} "
            f"{line.unit} per {line.size_unit}"
        )
    if only:
        return
    target = Target()
    click.echo(
        f"\nat {target.daemons_count} daemons, cost of control per proxy:"
    )
    is_within = True
    for name, value, unit, bound in proxy_costs(lines, target):
        is_within &= value <= bound
        text = f"{value:.3f}"
        click.echo(LINE.format(name, text, f"{unit} (bound {bound})"))
    leader_percent = leader_core_percent(lines, target)
    follower_percent = follower_core_percent(lines, target)
    click.echo(
        LINE.format("control leader, core", f"{leader_percent:.1f}", "%")
    )
    click.echo(
        LINE.format("control follower, core", f"{follower_percent:.1f}", "%")
    )
    callers_count = target.callers_count / target.daemons_count
    callers_mb = lines["proxy: idle caller"].per_unit * callers_count / 1e6
    click.echo(
        LINE.format(
            f"callers' memory, {callers_count:.0f} per proxy",
            f"{callers_mb:.1f}",
            "MB",
        )
    )
    if not is_within:
        raise click.exceptions.Exit(1)
