"""How many statements an owner keeps on the way to an endpoint."""

# Statements beyond the slots that may wait at the endpoint itself, where
# ranks no longer count; servers queue at least twice as many.
_EXTRA_LIMIT_COUNT = 8
# Weight of a new sample in the moving average of the way.
_ROUND_TRIP_WEIGHT = 0.2
_MIN_WORK_MS = 1.0


class InFlightLimit:
    """Keeps the slots of a distant endpoint busy.

    A slot that an owner counts is taken for the way there and back as well.
    From another region that is longer than the work, and an owner that sends
    no more statements than there are slots leaves most of them idle.
    """

    def __init__(self):
        self._round_trip_ms = None

    def record_round_trip(self, elapsed_ms: float):
        """Record how long something took that needs no slot."""
        if self._round_trip_ms is None:
            self._round_trip_ms = elapsed_ms
            return
        self._round_trip_ms += _ROUND_TRIP_WEIGHT * (
            elapsed_ms - self._round_trip_ms
        )

    def limit_count(self, slots_count: int, service_ms: float) -> int:
        """Return how many statements may be on their way at once.

        Parameters
        ----------
        slots_count : int
            Statements that the endpoint runs at once.
        service_ms : float
            Mean time of a statement, the way included.
        """
        round_trip_ms = self._round_trip_ms or 0.0
        work_ms = max(_MIN_WORK_MS, service_ms - round_trip_ms)
        extra_count = int(slots_count * round_trip_ms / work_ms)
        return slots_count + min(extra_count, _EXTRA_LIMIT_COUNT)
