"""Age of a replica's data, from the positions of the primary over time."""

import collections

from waxwinglift.version import Position

# 400 samples, at most one each 100 ms, cover 40 s: longer than replicas stay
# behind after a time in which they applied commits late.
_SAMPLE_LIMIT_COUNT = 400
_SAMPLE_INTERVAL_MS = 100.0
# Age of data that has not reached the first known position.  Its owner refuses
# all reads of data with a limited age, and a replica that applies commits
# reaches the position within its usual lag.
_UNKNOWN_AGE_MS = 60_000.0


class PrimaryProgress:
    """Estimates the age of data from reported positions of the primary.

    The positions need not cover all commits of their time, so the estimate
    serves the choice of an endpoint only, and never the check of a floor.
    """

    def __init__(self):
        self._samples = collections.deque(maxlen=_SAMPLE_LIMIT_COUNT)

    def record(self, observed_ms: float, position: Position):
        """Add a position; one that is below the last one is ignored.

        An unchanged position is moved to the later time, because data at it
        lacks nothing until then.
        """
        if self._samples:
            last_ms, last = self._samples[-1]
            if position < last or observed_ms <= last_ms:
                return
            if position == last:
                self._samples.pop()
            elif observed_ms < last_ms + _SAMPLE_INTERVAL_MS:
                return
        self._samples.append((observed_ms, position))

    def age_ms(self, position: Position | None, now_ms: float) -> float:
        """Return the age of data at ``position``; 0 if nothing is missing.

        The data contains all commits up to the last sample that it includes.
        """
        if not self._samples or position is None:
            return 0.0
        if position >= self._samples[-1][1]:
            return 0.0
        for observed_ms, sample in reversed(self._samples):
            if sample <= position:
                return max(0.0, now_ms - observed_ms)
        return _UNKNOWN_AGE_MS
