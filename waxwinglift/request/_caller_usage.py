"""Slot time that the callers of one rank have used recently."""

from waxwinglift.request._decayed_sum import DecayedSum

_TIME_CONSTANT_MS = 1000.0
# Usage below which a caller is forgotten.
_LEAST_USAGE_MS = 1.0
# A caller exceeds its share with this multiple of the mean usage.
_EXCESS_RATIO = 1.5
# Smallest share that counts as an excess.  Among many callers a single long
# statement is more than the multiple of the mean.
_LEAST_EXCESS_SHARE = 0.05


class CallerUsage:
    """Tells which callers have used more than their share of slot time."""

    def __init__(self):
        self._by_caller: dict[str, DecayedSum] = {}
        self._total = DecayedSum(_TIME_CONSTANT_MS)
        self._pruned_ms = 0.0

    def record(self, caller: str, service_ms: float, now_ms: float):
        """Record slot time that a caller has used."""
        self._total.add(service_ms, now_ms)
        usage = self._by_caller.get(caller)
        if usage is None:
            usage = self._by_caller[caller] = DecayedSum(_TIME_CONSTANT_MS)
        usage.add(service_ms, now_ms)
        if now_ms - self._pruned_ms >= _TIME_CONSTANT_MS:
            self._prune(now_ms)

    def exceeds_share(self, caller: str, now_ms: float) -> bool:
        """Return whether a caller has used more than its share."""
        usage = self._by_caller.get(caller)
        if usage is None:
            return False
        mean_share = 1 / len(self._by_caller)
        limit = max(_EXCESS_RATIO * mean_share, _LEAST_EXCESS_SHARE)
        return usage.value(now_ms) > limit * self._total.value(now_ms)

    def _prune(self, now_ms):
        self._pruned_ms = now_ms
        self._by_caller = {
            caller: usage
            for caller, usage in self._by_caller.items()
            if usage.value(now_ms) >= _LEAST_USAGE_MS
        }
