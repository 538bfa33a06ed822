"""Token bucket whose rate and size may change at any time."""

import math


class TokenBucket:
    """Tokens that accumulate at a rate up to a capacity.

    Parameters
    ----------
    level_count : float
        Tokens at the start.
    now_ms : float
    """

    def __init__(self, level_count: float, now_ms: float):
        self.level_count = level_count
        self._filled_ms = now_ms

    def take(
        self, rate_per_s: float, capacity_count: float, now_ms: float
    ) -> float:
        """Take one token.

        Returns
        -------
        float
            0 if there was one, else the time in ms until the next one.
        """
        elapsed_s = max(0.0, now_ms - self._filled_ms) / 1000
        self._filled_ms = now_ms
        self.level_count = min(
            capacity_count, self.level_count + rate_per_s * elapsed_s
        )
        if self.level_count >= 1:
            self.level_count -= 1
            return 0.0
        if rate_per_s <= 0 or capacity_count < 1:
            return math.inf
        return 1000 * (1 - self.level_count) / rate_per_s
