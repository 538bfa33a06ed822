"""Age of a replica's data, from the positions of the primary over time."""

import collections
import dataclasses

from waxwinglift.version import Position

# 400 samples, at most one each 100 ms, cover 40 s: longer than replicas stay
# behind after a time in which they applied commits late.
_SAMPLE_LIMIT_COUNT = 400
_SAMPLE_INTERVAL_MS = 100.0
# Usual interval of the queries for the primary's position, a fifth of the age
# that reads accept.  Rare samples must not make the data seem older.
_USUAL_INTERVAL_MS = 300.0


@dataclasses.dataclass(slots=True)
class _Sample:
    """Position of the primary, and when it was first and last seen there."""

    position: Position
    first_ms: float
    last_ms: float


class PrimaryProgress:
    """Estimates the age of data from reported positions of the primary.

    The positions need not cover all commits of their time, so the estimate
    serves the choice of an endpoint only, and never the check of a floor.
    """

    def __init__(self):
        self._samples = collections.deque(maxlen=_SAMPLE_LIMIT_COUNT)

    def record(self, observed_ms: float, position: Position):
        """Add a position; one that is below the last one is ignored."""
        if not self._samples:
            self._add(observed_ms, position)
            return
        last = self._samples[-1]
        if position < last.position or observed_ms <= last.last_ms:
            return
        if position == last.position:
            last.last_ms = observed_ms
        elif observed_ms >= last.first_ms + _SAMPLE_INTERVAL_MS:
            self._add(observed_ms, position)

    def age_ms(self, position: Position | None, now_ms: float) -> float:
        """Return the age of data at ``position``; 0 if nothing is missing.

        The data contains all commits up to the last sample that it includes,
        and lacks one that the next sample contains.
        """
        if not self._samples or position is None:
            return 0.0
        missing = None
        for sample in reversed(self._samples):
            if sample.position <= position:
                break
            missing = sample
        else:
            sample = None
        if missing is None:
            return 0.0
        age_ms = now_ms - missing.first_ms + _USUAL_INTERVAL_MS
        if sample is not None:
            age_ms = min(age_ms, now_ms - sample.last_ms)
        return max(0.0, age_ms)

    def _add(self, observed_ms, position):
        self._samples.append(_Sample(position, observed_ms, observed_ms))
