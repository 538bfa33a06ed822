"""Which servers this control leader can reach itself."""

import math

from waxwinglift.version import _failover_messages as messages

SUCCESSES = (
    messages.ServerFenced,
    messages.PositionRead,
    messages.ServerPromoted,
    messages.ServerRepointed,
)


class ReachTable:
    """Outcomes of the actions on servers, whatever they were for.

    Parameters
    ----------
    limit_ms : int
        Time without any contact after which servers count as silent.
    """

    def __init__(self, limit_ms):
        self.limit_ms = limit_ms
        self._reached_ms = -math.inf
        # First and last failure of each server since the last contact.
        self._failures_ms = {}

    def note(self, event, now_ms):
        """Record the outcome of an action; other events change nothing."""
        is_failed = isinstance(event, messages.ActionFailed)
        if isinstance(event, SUCCESSES) or (is_failed and event.is_reached):
            self._reached_ms = now_ms
            self._failures_ms.clear()
        elif is_failed:
            endpoint = event.action.endpoint
            first_ms, _ = self._failures_ms.get(endpoint, (now_ms, now_ms))
            self._failures_ms[endpoint] = (first_ms, now_ms)

    def silent(self, now_ms):
        """Return the servers tried in vain while no other one answered."""
        oldest_ms = now_ms - self.limit_ms
        if self._reached_ms > oldest_ms:
            return set()
        return {
            endpoint
            for endpoint, (first_ms, last_ms) in self._failures_ms.items()
            if first_ms <= oldest_ms < last_ms
        }
