"""Positions of a primary with the times at which they were requested."""

import collections

from waxwinglift.version import Position

# Age after which positions are removed; a read that accepts older data gets
# a position of at most this age.
_MAX_AGE_MS = 60_000.0
# Maximum number of stored positions.  A new one is requested when the last
# one is older than a fifth of the age that a read accepts, so that a few
# positions cover this age.
_SAMPLE_LIMIT_COUNT = 64


class PositionHistory:
    """Finds the lowest position that a read with a maximum age must include.

    A position includes every commit that was acknowledged before the
    position was requested.  Of the positions that are recent enough, the
    oldest one excludes the fewest replicas.
    """

    def __init__(self):
        self._samples = collections.deque(maxlen=_SAMPLE_LIMIT_COUNT)

    @property
    def last_requested_ms(self) -> float:
        """Time of the last recorded request; minus infinity if none."""
        return self._samples[-1][0] if self._samples else float("-inf")

    @property
    def last(self) -> tuple[float, Position] | None:
        """Last recorded position, after the time of its request."""
        return self._samples[-1] if self._samples else None

    def record(self, requested_ms: float, position: Position):
        """Add the position that was requested at ``requested_ms``.

        A position requested before the last recorded one is ignored.
        """
        if requested_ms <= self.last_requested_ms:
            return
        self._samples.append((requested_ms, position))
        while requested_ms - self._samples[0][0] > _MAX_AGE_MS:
            self._samples.popleft()

    def find(self, now_ms: float, max_age_ms: float) -> Position | None:
        """Return the lowest position for a read of data at most this old.

        None if no position was requested recently enough.
        """
        oldest_ms = now_ms - max_age_ms
        for requested_ms, position in self._samples:
            if requested_ms >= oldest_ms:
                return position
        return None

    def clear(self):
        """Remove all positions, which a change of primary makes invalid."""
        self._samples.clear()
