"""Limit on the statements that an owner has in flight at an endpoint."""

# Maximum number of statements beyond the slots.  They may have to queue at the
# endpoint, which does not order them by rank.  Servers accept queues of at
# least twice this length.
_EXTRA_LIMIT_COUNT = 8
# Weight of a new sample in the moving average of the round trip.
_ROUND_TRIP_WEIGHT = 0.2
_MIN_EXECUTION_MS = 1.0


class InFlightLimit:
    """Limit on statements in flight that keeps all slots busy.

    For an owner, a statement occupies a slot during the network round trip
    as well.  Between regions the round trip takes longer than the execution,
    so an owner that sends one statement per slot would leave most slots
    idle.
    """

    def __init__(self):
        self._round_trip_ms = None

    def record_round_trip(self, elapsed_ms: float):
        """Record the duration of a command that needs no slot."""
        if self._round_trip_ms is None:
            self._round_trip_ms = elapsed_ms
            return
        self._round_trip_ms += _ROUND_TRIP_WEIGHT * (
            elapsed_ms - self._round_trip_ms
        )

    def limit_count(self, slots_count: int, service_ms: float) -> int:
        """Return how many statements may be in flight.

        Parameters
        ----------
        slots_count : int
            Number of statements that the endpoint executes concurrently.
        service_ms : float
            Mean duration of a statement, including the round trip.
        """
        round_trip_ms = self._round_trip_ms or 0.0
        execution_ms = max(_MIN_EXECUTION_MS, service_ms - round_trip_ms)
        extra_count = int(slots_count * round_trip_ms / execution_ms)
        return slots_count + min(extra_count, _EXTRA_LIMIT_COUNT)
