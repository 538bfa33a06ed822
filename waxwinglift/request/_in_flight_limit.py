"""Limit on the statements that an owner has in flight at an endpoint."""

import math

from waxwinglift.process._policy_settings import AdmissionSettings

# Maximum number of statements beyond the slots.  They may have to queue at the
# endpoint, which does not order them by rank.  Servers accept queues of at
# least twice this length.
_EXTRA_LIMIT_COUNT = 8
# The shortest round trip is that of the last one to two windows.  A window
# longer than a burst still contains round trips of its beginning, when the
# process had spare processor time.
_WINDOW_MS = 10_000.0
_MIN_EXECUTION_MS = 1.0


class InFlightLimit:
    """Limit on statements in flight that keeps all slots busy.

    For an owner, a statement occupies a slot during the network round trip
    as well.  Between regions the round trip takes longer than the execution,
    so an owner that sends one statement per slot would leave most slots
    idle.  The time that the owner itself takes between an answer and the next
    statement leaves slots idle too; ``spare_in_flight_ratio`` covers it.

    Parameters
    ----------
    settings : AdmissionSettings, optional
    """

    def __init__(self, settings: AdmissionSettings | None = None):
        self._settings = settings or AdmissionSettings()
        self._window_start_ms = 0.0
        # Shortest round trips of the current window and of the one before.
        self._current_ms: float | None = None
        self._previous_ms: float | None = None

    def record_round_trip(self, elapsed_ms: float, now_ms: float):
        """Record the duration of a command that needs no slot.

        Only the shortest one counts: the others include delays of this
        process, which more statements in flight would increase.
        """
        if now_ms - self._window_start_ms >= _WINDOW_MS:
            self._window_start_ms = now_ms
            self._previous_ms = self._current_ms
            self._current_ms = None
        if self._current_ms is None or elapsed_ms < self._current_ms:
            self._current_ms = elapsed_ms

    def limit_count(self, slots_count: int, service_ms: float) -> int:
        """Return how many statements may be in flight.

        Parameters
        ----------
        slots_count : int
            Number of statements that the endpoint executes concurrently.
        service_ms : float
            Mean duration of a statement, including the round trip.
        """
        round_trip_ms = self._shortest_ms()
        execution_ms = max(_MIN_EXECUTION_MS, service_ms - round_trip_ms)
        extra_count = int(slots_count * round_trip_ms / execution_ms)
        spare_ratio = self._settings.spare_in_flight_ratio
        extra_count += math.ceil(spare_ratio * slots_count)
        return slots_count + min(extra_count, _EXTRA_LIMIT_COUNT)

    def _shortest_ms(self):
        found = [
            shortest_ms
            for shortest_ms in (self._current_ms, self._previous_ms)
            if shortest_ms is not None
        ]
        return min(found, default=0.0)
