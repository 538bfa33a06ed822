"""Refuses the less urgent ranks while a process lacks processor time.

Requests that wait in the sockets of a process are in order of arrival, so that
its queues cannot put the urgent ones first.  The only way to serve the urgent
ranks in time is to spend less processor time on the others.
"""

import random

from waxwinglift.process._policy_settings import SheddingSettings


class LoadShedder:
    """Decides which requests a process refuses, by rank.

    ``level`` is the number of ranks that are refused, the least urgent first;
    its fraction is the refused share of the next rank.  The most urgent rank
    is never refused here, and the others keep their floor share.

    Parameters
    ----------
    settings : SheddingSettings
    rng : random.Random
    """

    def __init__(self, settings: SheddingSettings, rng: random.Random):
        self.settings = settings
        self.level = 0.0
        # Moving average of the observed lag.
        self.lag_ms = 0.0
        # Number of ranks of the pools that the process serves.
        self.ranks_count = 1
        self._rng = rng

    def observe_lag(self, lag_ms: float):
        """Adapt the level; called at regular intervals.

        Parameters
        ----------
        lag_ms : float
            Time for which work that is due waits for the process.
        """
        settings = self.settings
        self.lag_ms += settings.lag_weight * (lag_ms - self.lag_ms)
        target_ms = settings.target_lag_ms
        excess = (self.lag_ms - target_ms) / target_ms
        excess = min(max(excess, -1.0), settings.excess_limit)
        level = self.level + settings.gain * excess
        self.level = min(max(level, 0.0), float(self.ranks_count - 1))

    def refusal_ms(
        self, urgency_index: int, floor_share: float
    ) -> float | None:
        """Return after which time to repeat a refused request.

        None if the request is served.
        """
        if urgency_index == 0 or not self.level:
            return None
        less_urgent_count = max(0, self.ranks_count - 1 - urgency_index)
        share = min(max(self.level - less_urgent_count, 0.0), 1.0)
        if self._rng.random() >= share * (1 - floor_share):
            return None
        return self.settings.retry_after_ms
