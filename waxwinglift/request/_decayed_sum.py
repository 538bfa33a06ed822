"""Sum whose older parts count less."""

import math


class DecayedSum:
    """Sum of values that decay exponentially with their age.

    At a constant rate the sum is the rate times the time constant.

    Parameters
    ----------
    time_constant_ms : float
    """

    def __init__(self, time_constant_ms: float):
        self.time_constant_ms = time_constant_ms
        self._value = 0.0
        self._updated_ms = 0.0

    def add(self, value: float, now_ms: float):
        """Add a value."""
        self._value = self.value(now_ms) + value
        self._updated_ms = max(now_ms, self._updated_ms)

    def value(self, now_ms: float) -> float:
        """Return the present sum."""
        age_ms = max(0.0, now_ms - self._updated_ms)
        return self._value * math.exp(-age_ms / self.time_constant_ms)

    def rate_per_ms(self, now_ms: float) -> float:
        """Return the recent sum per millisecond."""
        return self.value(now_ms) / self.time_constant_ms
