"""Decides how fast connections to one endpoint may be opened."""

import math

from waxwinglift.process._policy_settings import EndpointPoolSettings

# Connections opened at a time after a failure, until one succeeds.  An
# endpoint that refuses connections would refuse all missing ones too.
_RETRY_LIMIT_COUNT = 2
# Weight of a new sample in the moving average of opening times.
_OPENING_WEIGHT = 0.2


class OpeningPace:
    """Limits the openings in progress, and delays them after failures.

    ``after_ms`` is the time of the next attempt after a failed one.

    Parameters
    ----------
    settings : EndpointPoolSettings
    """

    def __init__(self, settings: EndpointPoolSettings):
        self._settings = settings
        self.after_ms = -math.inf
        self._failure_count = 0
        self._opening_ms = 0.0

    def record_success(self, opening_ms: float):
        """Record that a connection was opened in ``opening_ms``."""
        self._failure_count = 0
        self.after_ms = -math.inf
        error_ms = opening_ms - self._opening_ms
        weight = _OPENING_WEIGHT if self._opening_ms else 1.0
        self._opening_ms += weight * error_ms

    def record_failure(self, now_ms: float):
        """Delay the next opening; the delay doubles with each failure."""
        settings = self._settings
        delay_ms = settings.open_backoff_ms * 2**self._failure_count
        delay_ms = min(delay_ms, settings.open_backoff_limit_ms)
        self._failure_count = min(self._failure_count + 1, 16)
        self.after_ms = now_ms + delay_ms

    def limit_count(self, connection_limit_count: int) -> int:
        """Return how many connections may open at the same time.

        Parameters
        ----------
        connection_limit_count : int
            Number of connections that the pool may have.
        """
        limits = [connection_limit_count]
        if self._failure_count:
            limits.append(_RETRY_LIMIT_COUNT)
        if self._settings.opening_limit_count:
            limits.append(self._settings.opening_limit_count)
        return min(limits)

    def expected_wait_ms(
        self, missing_count: int, connection_limit_count: int
    ) -> float:
        """Return the expected time until all missing connections are open.

        Infinite if none may be opened, and 0 for a single one: it is always
        tried, because a long opening time is only corrected by the next one.
        """
        limit_count = self.limit_count(connection_limit_count)
        if limit_count <= 0:
            return math.inf
        if missing_count <= 1:
            return 0.0
        return math.ceil(missing_count / limit_count) * self._opening_ms
