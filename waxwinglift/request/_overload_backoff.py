"""Owners that have refused a rank for lack of processor time."""

import collections
from collections.abc import Sequence
import random

from waxwinglift.process import DaemonId
from waxwinglift.version import EndpointId

# Limits of the random factor on the advised delay.  Without it, all proxies
# would return at the same time.
_SPREAD = (0.5, 1.5)


class OverloadBackoff:
    """Keeps the requests of an entry proxy from owners that refuse them.

    Even a refusal costs an owner nearly half of the processor time of a
    request that it serves.  After a refusal of one rank, the proxy sends
    neither this rank nor a less urgent one to the owner for a time.  The
    standby owner of the endpoint may serve it meanwhile.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        # Time at which each rank may be sent again, by urgency index.
        self._until_ms = collections.defaultdict(dict)

    def record(
        self,
        endpoint: EndpointId,
        daemon: DaemonId,
        urgency_index: int,
        now_ms: float,
        retry_after_ms: float,
    ):
        """Record that an owner or standby owner refused a request."""
        delay_ms = retry_after_ms * self._rng.uniform(*_SPREAD)
        until_ms = self._until_ms[endpoint, daemon]
        until_ms[urgency_index] = now_ms + delay_ms

    def left_ms(
        self,
        endpoint: EndpointId,
        daemon: DaemonId,
        urgency_index: int,
        now_ms: float,
    ) -> float:
        """Return for how long no request of a rank is sent; 0 for none."""
        until_ms = self._until_ms.get((endpoint, daemon))
        if until_ms is None:
            return 0.0
        ends_ms = [ms for i, ms in until_ms.items() if i <= urgency_index]
        return max(0.0, max(ends_ms, default=now_ms) - now_ms)

    def endpoint_left_ms(
        self,
        endpoint: EndpointId,
        daemons: Sequence[DaemonId],
        urgency_index: int,
        now_ms: float,
    ) -> float:
        """Return after which time a daemon takes requests of a rank.

        0 if one takes them now, or if ``daemons``, the owners of the endpoint
        that can be reached, is empty.
        """
        times_ms = [
            self.left_ms(endpoint, daemon, urgency_index, now_ms)
            for daemon in daemons
        ]
        return min(times_ms, default=0.0)
