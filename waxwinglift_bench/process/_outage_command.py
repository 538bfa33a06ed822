"""Command `outage`: loss of a data centre at the target size."""

import statistics

import click

from waxwinglift.process._control_link import ENTRY_RENEWAL_INTERVAL_MS
from waxwinglift.process._control_node import APPEND_INTERVAL_MS
from waxwinglift.version._action_queue import SESSIONS_LIMIT_COUNT
from waxwinglift_bench.process._outage import Outage
from waxwinglift_bench.process._outage_costs import OutageSettings
from waxwinglift_bench.process._outage_proxies import counts_by_kind
from waxwinglift_bench.process._outage_proxies import relay_core_percent

WRITES_BOUND_MS = 10_000
LINE = "{:44} {}"


def report(outage):
    """Yield the results of a finished run as pairs (name, text)."""
    settings = outage.settings
    run_s = settings.run_ms / 1000
    changed = sorted(outage.writes_resumed_ms.values()) or [float("inf")]
    median_ms = statistics.median(changed)
    yield "groups that changed their primary", len(outage.writes_resumed_ms)
    yield (
        "writes accepted again, median and last",
        f"{median_ms:.0f} and {changed[-1]:.0f} ms",
    )
    seconds = [outage.cpu_ms[n] / 10 for n in range(int(run_s))]
    yield (
        "leader, % of a core in each second",
        " ".join(f"{value:.0f}" for value in seconds),
    )
    for category, cpu_ms in outage.cpu_by_event_ms.most_common(8):
        yield f"  of that, {category}", f"{cpu_ms:.0f} ms"
    yield "longest step", f"{outage.longest_step_ms:.1f} ms"
    yield (
        "longest wait for the leader",
        f"{outage.longest_wait_ms:.0f} ms",
    )
    proxies = outage.proxies
    yield "leases lost by surviving proxies", proxies.lease_losses_count()
    yield (
        "least lease left at a renewal",
        f"{proxies.min_lease_left_ms:.0f} ms",
    )
    yield "renewals", proxies.renewals_count
    yield "entries", counts_by_kind(outage.entries)
    yield "appends to the log", outage.appends_count
    yield "log bytes per watch stream", outage.log_bytes
    yield "watch replies to all proxies", proxies.replies_count
    replies_per_s = proxies.replies_count / run_s / settings.members_count
    relay_percent = relay_core_percent(
        proxies.relays[-1], replies_per_s, run_s, settings
    )
    yield "relay, mean % of a core", f"{relay_percent:.0f}"
    servers = outage.servers
    yield (
        "SQL sessions, total and most at once",
        f"{servers.sessions_total_count}, {servers.max_sessions_count}",
    )


@click.command()
@click.option("--daemons", default=450, help="number of proxies")
@click.option("--groups", default=870, help="number of databases")
@click.option("--run-ms", default=10_000, help="virtual time after the loss")
@click.option(
    "--early-ms",
    default=float(ENTRY_RENEWAL_INTERVAL_MS),
    help="minimum time between a renewal and an early one",
)
@click.option(
    "--propose-ms",
    default=float(APPEND_INTERVAL_MS),
    help="time to collect proposals into one append",
)
@click.option(
    "--sessions", default=SESSIONS_LIMIT_COUNT, help="concurrent SQL sessions"
)
def outage(daemons, groups, run_ms, early_ms, propose_ms, sessions):
    """Simulate the loss of a data centre; print times and costs.

    Exits with 1 if a group that lost its primary does not accept writes again
    within 10 s, or if a surviving proxy loses its lease.
    """
    settings = OutageSettings(
        daemons_count=daemons,
        groups_count=groups,
        run_ms=run_ms,
        early_interval_ms=early_ms,
        propose_batch_ms=propose_ms,
        sessions_limit_count=sessions,
    )
    finished = Outage(settings).run()
    for name, text in report(finished):
        click.echo(LINE.format(name, text))
    is_met = (
        max(finished.writes_resumed_ms.values(), default=0) <= WRITES_BOUND_MS
    )
    # The lost data centre has the primary of every fourth group.
    is_met &= len(finished.writes_resumed_ms) == (groups + 3) // 4
    if not is_met or finished.proxies.lease_losses_count():
        raise click.exceptions.Exit(1)
