"""Endpoints whose owner has refused a rank for lack of processor time."""

import collections
import random

from waxwinglift.version import EndpointId

# Limits of the random factor on the advised delay.  Without it, all proxies
# would return at the same time.
_SPREAD = (0.5, 1.5)


class OverloadBackoff:
    """Keeps the requests of an entry proxy from owners that refuse them.

    Even a refusal costs an owner nearly half of the processor time of a
    request that it serves.  After a refusal of one rank, the proxy sends
    neither this rank nor a less urgent one to the endpoint for a time.

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
        urgency_index: int,
        now_ms: float,
        retry_after_ms: float,
    ):
        """Record that the owner of an endpoint refused a request."""
        delay_ms = retry_after_ms * self._rng.uniform(*_SPREAD)
        self._until_ms[endpoint][urgency_index] = now_ms + delay_ms

    def left_ms(
        self, endpoint: EndpointId, urgency_index: int, now_ms: float
    ) -> float:
        """Return for how long no request of a rank is sent; 0 for none."""
        until_ms = self._until_ms.get(endpoint)
        if until_ms is None:
            return 0.0
        ends_ms = [ms for i, ms in until_ms.items() if i <= urgency_index]
        return max(0.0, max(ends_ms, default=now_ms) - now_ms)

    def endpoints(self, urgency_index: int, now_ms: float) -> set[EndpointId]:
        """Return the endpoints that must not get requests of a rank."""
        return {
            endpoint
            for endpoint in self._until_ms
            if self.left_ms(endpoint, urgency_index, now_ms) > 0
        }
