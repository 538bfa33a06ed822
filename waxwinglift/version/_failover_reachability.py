"""Tracks whether this control leader reaches the servers directly."""

import math

from waxwinglift.version import _failover_messages as messages

SUCCESSES = (
    messages.ServerFenced,
    messages.PositionRead,
    messages.ServerPromoted,
    messages.ServerRepointed,
)


class ReachabilityTable:
    """Outcomes of all actions on servers, of any type.

    Parameters
    ----------
    limit_ms : int
        Time without an answer from any server after which the servers that
        were tried count as unresponsive.
    """

    def __init__(self, limit_ms):
        self.limit_ms = limit_ms
        self._reached_ms = -math.inf
        # Times of the first and last failure of each server since any
        # server last answered.
        self._failures_ms = {}

    def record(self, event, now_ms):
        """Record the outcome of an action; ignore other events."""
        is_failed = isinstance(event, messages.ActionFailed)
        if isinstance(event, SUCCESSES) or (is_failed and event.is_reached):
            self._reached_ms = now_ms
            self._failures_ms.clear()
        elif is_failed:
            endpoint = event.action.endpoint
            first_ms, _ = self._failures_ms.get(endpoint, (now_ms, now_ms))
            self._failures_ms[endpoint] = (first_ms, now_ms)

    def unresponsive_servers(self, now_ms):
        """Return the servers whose actions failed while no server answered.

        Empty if any server has answered within ``limit_ms``.  Otherwise the
        first failure of each returned server is at least that old, and the
        last one is more recent.
        """
        oldest_ms = now_ms - self.limit_ms
        if self._reached_ms > oldest_ms:
            return set()
        return {
            endpoint
            for endpoint, (first_ms, last_ms) in self._failures_ms.items()
            if first_ms <= oldest_ms < last_ms
        }
