"""Registry of the load and fault scenarios of the simulation."""

from waxwinglift.process import Registry
from waxwinglift_bench.process._world import WARM_UP_MS

# A scenario takes a World and schedules its load changes and faults.
SCENARIOS = Registry()
scenario = SCENARIOS.register
FLOOD_FACTOR = 10.0
# Time between the end of the warm-up and a fault.
FAULT_DELAY_MS = 2000.0
TAKEOVER_MS = 1300.0
WRITE_GAP_MS = 1500.0
SLOW_FACTOR = 5.0
SLOW_DURATION_MS = 4000.0
EXTRA_LAG_MS = 2000.0


@scenario("normal")
def normal(world):
    """Run normal load without faults."""


@scenario("low_flood")
def low_flood(world):
    """Multiply the arrivals of the lowest rank by ten."""
    _schedule_flood(world, world.deployment.ranks[-1])


@scenario("urgent_flood")
def urgent_flood(world):
    """Multiply the arrivals of the most urgent rank by ten."""
    _schedule_flood(world, world.deployment.ranks[0])


@scenario("replica_lagging")
def replica_lagging(world):
    """Delay one replica of each group by 2 s until the end."""
    for group in world.fleet.groups:
        lag = world.servers[f"{group}s1"].lag
        _schedule_fault(world, setattr, lag, "extra_ms", EXTRA_LAG_MS)


@scenario("replica_slow")
def replica_slow(world):
    """Slow one replica of each group down by a factor of five for 4 s."""
    for group in world.fleet.groups:
        server = world.servers[f"{group}s1"]
        _schedule_fault(world, setattr, server, "slow_factor", SLOW_FACTOR)
        end_ms = WARM_UP_MS + FAULT_DELAY_MS + SLOW_DURATION_MS
        world.simulation.call_at(end_ms, setattr, server, "slow_factor", 1.0)


@scenario("proxy_cut")
def proxy_cut(world):
    """Cut off a proxy that owns a primary."""
    proxy = world.fleet.owners["g0s0"].owner
    _schedule_fault(world, world.cut_proxy, proxy, TAKEOVER_MS)


@scenario("primary_change")
def primary_change(world):
    """Stop the primary of one group; writes resume after 1.5 s."""
    _schedule_fault(world, world.stop_primary, "g0", WRITE_GAP_MS)


def _register_pair(first, second):
    """Register a scenario that combines two others."""

    def prepare(world):
        SCENARIOS[first](world)
        SCENARIOS[second](world)

    scenario(f"{first}+{second}")(prepare)


_register_pair("low_flood", "replica_slow")
_register_pair("low_flood", "replica_lagging")
_register_pair("low_flood", "primary_change")
_register_pair("urgent_flood", "proxy_cut")
_register_pair("urgent_flood", "replica_slow")
_register_pair("replica_lagging", "replica_slow")
_register_pair("proxy_cut", "primary_change")


def _schedule_flood(world, load):
    world.simulation.call_at(
        WARM_UP_MS / 4,
        *(world.callers.set_rate_factor, load.row.rank, FLOOD_FACTOR),
    )


def _schedule_fault(world, function, *arguments):
    world.simulation.call_at(WARM_UP_MS + FAULT_DELAY_MS, function, *arguments)
