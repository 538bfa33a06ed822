"""Guards the age of the state that a proxy on the platform can serve."""

from waxwinglift.platform import _roles
from waxwinglift.process import _watch_lag

# ``configApplyMs`` of the users' sites.
IN_FORCE_LIMIT_MS = 3000
# Connection to the next relay in another region, and the first entries.
SWITCH_MS = 200
# Relays whose logs stand still at the same time: as many as disks that may
# fail together.
STUCK_RELAYS_COUNT = 2


def test_a_state_is_in_force_in_time_by_the_timers():
    """Relays that stand still must not use up the limit by themselves.

    The leader's index arrives with the next renewal, and the limit of the lag
    is checked at a renewal too.
    """
    renewal_ms = _roles._PROXY_TIMING.renew_interval_ms
    first_ms = renewal_ms + _watch_lag.LAG_LIMIT_MS + renewal_ms + SWITCH_MS
    assert first_ms <= IN_FORCE_LIMIT_MS
    # A switch renews at once.  A proxy that is refused, because its index is
    # too old for a lease, renews every 50 ms.
    next_ms = _watch_lag.LAG_LIMIT_MS + 50 + SWITCH_MS
    assert first_ms + (STUCK_RELAYS_COUNT - 1) * next_ms <= IN_FORCE_LIMIT_MS
