"""Times after which refused requests may return."""

import math

_STEPS_COUNT = 20


class ReturnSchedule:
    """Spreads the return of refused requests over the expected capacity.

    An entry proxy sends nothing of a rank until the return time of its last
    refusal.  A return causes about one new refusal at most, so the number of
    returns in each step of the schedule bounds the refusals per second.

    Parameters
    ----------
    refusal_share : float
        Refusals per served request that the schedule allows.
    limit_ms : float
        Longest time until a return.
    rng : random.Random
    """

    def __init__(self, refusal_share: float, limit_ms: float, rng):
        self._refusal_share = refusal_share
        self._step_ms = limit_ms / _STEPS_COUNT
        self._rng = rng
        # Returns per step, the first one for the step ``_first_step``.
        self._counts = [0] * _STEPS_COUNT
        self._first_step = 0

    def book_ms(
        self,
        now_ms: float,
        shortest_ms: float,
        served_per_ms: float,
        urgency: float,
    ) -> int:
        """Return after which time a refused request may return.

        It is the first step that has room.  Without one it is the step with
        the fewest returns, so that requests that were refused together do not
        return together.

        Parameters
        ----------
        now_ms : float
        shortest_ms : float
            Time before which a return would be of no use.
        served_per_ms : float
            Recent throughput of the endpoint.
        urgency : float
            0 for the least urgent rank to 1 for the most urgent one, which
            may fill each step; the least urgent one may fill half of it.
        """
        self._advance(now_ms)
        first = min(int(shortest_ms / self._step_ms), _STEPS_COUNT - 1)
        room = self._refusal_share * served_per_ms * self._step_ms
        room *= (1 + urgency) / 2
        step = self._find_step(first, room)
        self._counts[step] += 1
        after_ms = (step + self._rng.random()) * self._step_ms
        return max(1, math.ceil(after_ms))

    def _advance(self, now_ms):
        """Drop the steps that have passed."""
        step = int(now_ms / self._step_ms)
        passed_count = min(max(step - self._first_step, 0), _STEPS_COUNT)
        self._first_step = max(step, self._first_step)
        self._counts = self._counts[passed_count:] + [0] * passed_count

    def _find_step(self, first, room):
        steps = range(first, _STEPS_COUNT)
        for step in steps:
            if self._counts[step] + 1 <= room:
                return step
        # The latest of the steps with the fewest returns.
        return min(steps, key=lambda step: (self._counts[step], -step))
