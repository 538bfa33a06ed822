"""Positions of a primary, by the time at which it was asked for them."""

import collections

from waxwinglift.version import Position

# Longest age of a position that any pool accepts; older ones are dropped.
_KEEP_MS = 60_000.0
# Positions kept; at the shortest interval they cover the accepted ages.
_SAMPLE_LIMIT_COUNT = 64


class PositionHistory:
    """Tells which position is the least that a read of some age must see.

    A position covers every commit that was acknowledged before the primary
    was asked for it.  The oldest one that is recent enough refuses the
    fewest replicas.
    """

    def __init__(self):
        self._samples = collections.deque(maxlen=_SAMPLE_LIMIT_COUNT)

    @property
    def last_requested_ms(self) -> float:
        """Time of the last question; minus infinity without one."""
        return self._samples[-1][0] if self._samples else float("-inf")

    def record(self, asked_ms: float, position: Position):
        """Add the answer to a question asked at ``asked_ms``.

        Answers that arrive out of order are left out.
        """
        if asked_ms <= self.last_requested_ms:
            return
        self._samples.append((asked_ms, position))
        while asked_ms - self._samples[0][0] > _KEEP_MS:
            self._samples.popleft()

    def find(self, now_ms: float, max_age_ms: float) -> Position | None:
        """Return the least position for reads of at most this age.

        None when the primary was not asked recently enough.
        """
        oldest_ms = now_ms - max_age_ms
        for asked_ms, position in self._samples:
            if asked_ms >= oldest_ms:
                return position
        return None

    def clear(self):
        """Forget everything, as after a change of primary."""
        self._samples.clear()
