"""Ranks whose requests the queue of an endpoint has refused."""

import random

from waxwinglift.version import EndpointId

# Longest time for which one refusal keeps requests back.  Callers of the
# fastest routes wait for 500 to 1000 ms, so older news is of no use to them.
_LIMIT_MS = 1000.0
# Limits of the random factor on the advised delay.  Without it, all proxies
# would return at the same time.
_SPREAD = (1.0, 1.2)


class RejectionBackoff:
    """Keeps the requests of an entry proxy from queues that refuse them.

    Until the retry-after time of a refusal, requests of its rank, and those
    of less urgent ones without a floor share, are refused here or go to
    another endpoint.  A queue that is full of urgent work still serves the
    ranks with a floor share, so only their own refusals keep them back.  The
    refusal of a transaction block keeps back only blocks, which have a queue
    of their own besides that of the statements.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        # By endpoint: (time of the refusal, end) by urgency index and whether
        # the request was a block.
        self._refusals = {}

    def record(
        self,
        endpoint: EndpointId,
        urgency_index: int,
        is_block: bool,
        now_ms: float,
        retry_after_ms: float,
    ):
        """Record that the queue of an endpoint refused a request."""
        low, high = _SPREAD
        delay_ms = min(retry_after_ms, _LIMIT_MS / high)
        delay_ms *= self._rng.uniform(low, high)
        refusals = self._refusals.setdefault(endpoint, {})
        refusals[urgency_index, is_block] = (now_ms, now_ms + delay_ms)

    def lift(self, endpoint: EndpointId, observed_ms: float):
        """Remove the refusals of an endpoint that had free slots later.

        Parameters
        ----------
        endpoint : EndpointId
        observed_ms : float
            Time at which slots were free.
        """
        refusals = self._refusals.get(endpoint, {})
        for key, (refused_ms, _) in list(refusals.items()):
            if refused_ms < observed_ms:
                del refusals[key]

    def left_ms(
        self,
        endpoint: EndpointId,
        urgency_index: int,
        is_block: bool,
        now_ms: float,
        has_floor_share: bool = False,
    ) -> float:
        """Return for how long no request of a rank is sent; 0 for none."""
        first_index = urgency_index if has_floor_share else 0
        ends_ms = [
            end_ms
            for (index, of_block), (_, end_ms) in self._refusals.get(
                endpoint, {}
            ).items()
            if first_index <= index <= urgency_index
            and (is_block or not of_block)
        ]
        return max(0.0, max(ends_ms, default=now_ms) - now_ms)
