"""Age of a proxy's copy of the control log's state."""

import collections
import math

from waxwinglift.version._types import LogIndex

# Grants whose commit index has not been applied yet.  At the usual interval
# of renewals this covers several seconds.
_PENDING_LIMIT_COUNT = 64


class ViewAge:
    """Tells how old a proxy's state may be.

    A leader that grants a lease has had a quorum within the check-quorum time
    and reports its commit index.  Once the proxy has applied that index, its
    state contains each entry that was committed until the renewal was sent,
    less the check-quorum time.
    """

    def __init__(self):
        self._pending = collections.deque(maxlen=_PENDING_LIMIT_COUNT)
        self._confirmed_ms = -math.inf

    def on_grant(
        self, sent_ms: float, commit_index: LogIndex, applied_index: LogIndex
    ):
        """Record the commit index of a grant.

        Parameters
        ----------
        sent_ms : float
            Time at which the renewal was sent.
        commit_index : LogIndex
            Commit index of the leader that granted it.
        applied_index : LogIndex
            Index that the proxy has applied by now.
        """
        self._pending.append((commit_index, sent_ms))
        self.on_applied(applied_index)

    def on_applied(self, applied_index: LogIndex):
        """Record that the proxy has applied the log up to an index."""
        pending = [one for one in self._pending if one[0] > applied_index]
        for commit_index, sent_ms in self._pending:
            if commit_index <= applied_index:
                self._confirmed_ms = max(self._confirmed_ms, sent_ms)
        self._pending.clear()
        self._pending.extend(pending)

    def age_ms(self, now_ms: float) -> float:
        """Return the age of the state; infinite before the first grant."""
        return now_ms - self._confirmed_ms
