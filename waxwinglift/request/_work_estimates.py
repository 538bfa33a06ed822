"""Slot time of statements by kind of work, from statements that ran."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Mean and variance of a slot time, or of a sum of slot times.

    Parameters
    ----------
    mean_ms : float
    variance : float
        In square milliseconds.
    """

    mean_ms: float
    variance: float


class WorkEstimates:
    """Moving averages of the slot time by kind of work.

    A kind without a sample is assumed to take the mean of all kinds, with a
    standard deviation as large as the mean.

    Parameters
    ----------
    initial_ms : float
        Slot time assumed before the first sample.
    weight : float
        Weight of a new sample; the first samples have more.
    """

    def __init__(self, initial_ms: float, weight: float):
        self.mean_ms = initial_ms
        self._weight = weight
        self._estimates = {}
        self._counts = {}
        self._count = 0

    def find(self, kind) -> WorkEstimate:
        """Return the estimate for a kind of work."""
        found = self._estimates.get(kind)
        if found is None:
            return WorkEstimate(self.mean_ms, self.mean_ms**2)
        return found

    def record(self, kind, work_ms: float):
        """Record the slot time of a statement that ran."""
        self._count += 1
        weight = max(self._weight, 1 / (self._count + 1))
        self.mean_ms += weight * (work_ms - self.mean_ms)
        before = self.find(kind)
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        weight = max(self._weight, 1 / (count + 1))
        error_ms = work_ms - before.mean_ms
        self._estimates[kind] = WorkEstimate(
            before.mean_ms + weight * error_ms,
            (1 - weight) * (before.variance + weight * error_ms**2),
        )
