"""Leases of the proxies: the leader's table and the proxy's own view.

A daemon is a proxy here, as in DaemonJoined and DaemonLeft.  It counts a lease
from the time at which it sent the renewal.  The leader counts from the time of
receipt and adds a margin for clock drift, so that the lease expires at the
daemon first.
"""

import collections
import dataclasses

import pydantic

from waxwinglift.version._types import LogIndex


class LeaseSettings(pydantic.BaseModel):
    """Lease timing, which must be the same for control and the daemons.

    Parameters
    ----------
    lease_ms : int
        Duration of a granted lease.
    renew_interval_ms : int
        Time between two renewals of a daemon.
    drift_margin_percent : int
        Percentage of ``lease_ms`` that the leader waits in addition, for
        clock drift.
    """

    model_config = pydantic.ConfigDict(defer_build=True, frozen=True)

    lease_ms: int = 1000
    renew_interval_ms: int = 250
    drift_margin_percent: int = 10

    @property
    def leader_wait_ms(self):
        """Time in ms after which the leader treats a lease as expired."""
        return self.lease_ms * (100 + self.drift_margin_percent) / 100


@dataclasses.dataclass(slots=True)
class Lease:
    """Lease of one daemon as the leader sees it."""

    expires_ms: float
    applied_index: LogIndex


class LeaseTable:
    """Leases that may be in force, as seen by the control leader.

    Parameters
    ----------
    settings : LeaseSettings
    """

    def __init__(self, settings):
        self.settings = settings
        self.required_index = LogIndex(0)
        self._leases = {}

    def start_leadership(self, daemons, now_ms):
        """Assume that each of ``daemons`` has just been granted a lease.

        An earlier leader may have granted one just before this member was
        elected.
        """
        self._leases = {}
        for daemon in daemons:
            self.assume(daemon, now_ms)

    def assume(self, daemon, now_ms):
        """Assume a lease of ``daemon`` from now, with nothing applied."""
        expires_ms = now_ms + self.settings.leader_wait_ms
        self._leases[daemon] = Lease(expires_ms, LogIndex(0))

    def require(self, index):
        """Require ``index``.

        From now on, only leases of daemons that have applied it are extended.
        """
        self.required_index = max(self.required_index, index)

    def renew(self, daemon, applied_index, now_ms):
        """Record a renewal; return whether the lease was extended."""
        lease = self._leases.get(daemon)
        if lease is not None:
            lease.applied_index = applied_index
        if applied_index < self.required_index:
            return False
        expires_ms = now_ms + self.settings.leader_wait_ms
        self._leases[daemon] = Lease(expires_ms, applied_index)
        return True

    def drop(self, daemon):
        """Remove a daemon that stopped or whose lease has expired."""
        self._leases.pop(daemon, None)

    def is_live(self, daemon, now_ms):
        """Return whether ``daemon`` may still act on a lease."""
        lease = self._leases.get(daemon)
        return lease is not None and now_ms < lease.expires_ms

    def live_daemons(self, now_ms):
        """Return the daemons that may still act on a lease."""
        return frozenset(d for d in self._leases if self.is_live(d, now_ms))

    def expired_daemons(self, now_ms):
        """Return the daemons in the table whose leases have expired."""
        return [d for d in self._leases if not self.is_live(d, now_ms)]

    def applied_index(self, daemon):
        """Return the index that ``daemon`` last reported; 0 if unknown."""
        lease = self._leases.get(daemon)
        return LogIndex(0) if lease is None else lease.applied_index

    def min_applied_index(self, now_ms):
        """Return the lowest applied index of the live leases, or None."""
        return min(
            (
                lease.applied_index
                for lease in self._leases.values()
                if now_ms < lease.expires_ms
            ),
            default=None,
        )

    def all_applied(self, index, now_ms):
        """Return whether no daemon can act on a state older than ``index``."""
        lowest_index = self.min_applied_index(now_ms)
        return lowest_index is None or lowest_index >= index


# Renewals whose send time a daemon keeps.  At the default interval this
# covers 16 s, far longer than a lease.
SENT_LIMIT_COUNT = 64


class DaemonLease:
    """A daemon's own lease, counted from the send time of the renewal."""

    def __init__(self):
        self._sent_ms = collections.OrderedDict()
        self._expires_ms = None

    def on_sent(self, sequence, now_ms):
        """Record the send time of the renewal ``sequence``."""
        self._sent_ms.setdefault(sequence, now_ms)
        while len(self._sent_ms) > SENT_LIMIT_COUNT:
            self._sent_ms.popitem(last=False)

    def sent_ms(self, sequence):
        """Return the send time of a renewal, None if it is not known."""
        return self._sent_ms.get(sequence)

    def on_grant(self, sequence, lease_ms):
        """Extend the lease to ``lease_ms`` after the renewal was sent."""
        sent_ms = self.sent_ms(sequence)
        if sent_ms is None:
            return
        expires_ms = sent_ms + lease_ms
        if self._expires_ms is None or expires_ms > self._expires_ms:
            self._expires_ms = expires_ms

    def is_live(self, now_ms):
        """Return whether the daemon may serve requests."""
        return self._expires_ms is not None and now_ms < self._expires_ms

    def left_ms(self, now_ms):
        """Return the time in ms until the lease expires, 0 if it has."""
        if self._expires_ms is None:
            return 0.0
        return max(0.0, self._expires_ms - now_ms)
