"""Answers held until a quorum of the group has flushed their position."""

import collections
import dataclasses
import heapq

from waxwinglift.process._policy_settings import CommitWaitSettings
from waxwinglift.request._types import Failure
from waxwinglift.request._types import may_have_run
from waxwinglift.request._types import RequestId
from waxwinglift.version import Lsn
from waxwinglift.version import Term


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Send the held answer to the caller."""

    request: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Discard the held answer and report the failure instead."""

    request: RequestId
    failure: Failure


class CommitWait:
    """Held answers of one group, at the owner of its primary.

    A new instance has term 0 and no lease: call `on_term` and `on_lease`
    first.  Every method that returns a list returns `Release` and `Fail`
    actions, at most one for each request.

    Parameters
    ----------
    quorum_count : int
        Number of servers, including the primary, that must have flushed a
        position.
    settings : CommitWaitSettings, optional
    """

    def __init__(self, quorum_count, settings=None):
        self.quorum_count = quorum_count
        self.settings = settings or CommitWaitSettings()
        self._term = Term(0)
        self._is_lease_live = False
        self._confirmed_lsn = Lsn(0)
        self._primary_lsn = Lsn(0)
        self._replica_lsns = {}
        # Sequence number of each held answer, by request.
        self._waiting = {}
        # Entries of answers that are no longer held stay in the heap and the
        # deque until they come first.
        self._by_lsn = []
        self._by_age = collections.deque()
        self._sequence = 0

    @property
    def held_count(self):
        """Number of held answers."""
        return len(self._waiting)

    @property
    def confirmed_lsn(self):
        """Highest offset of the current term that a quorum has flushed."""
        return self._confirmed_lsn

    def poll_interval_ms(self):
        """Return the time until the next poll of the servers' positions."""
        if self._waiting:
            return self.settings.busy_poll_ms
        return self.settings.idle_poll_ms

    def hold(self, request, position, now_ms):
        """Hold an answer until a quorum has flushed ``position``.

        Parameters
        ----------
        request : RequestId
        position : Position
            Position of the primary after the request.
        now_ms : float

        Returns
        -------
        list of Release or Fail
            Empty if the answer is held.
        """
        if not self._is_lease_live:
            return [_fail(request, "the proxy's lease has expired")]
        if position.term != self._term:
            return [_fail(request, "the primary was replaced")]
        if position.lsn <= self._confirmed_lsn:
            return [Release(request)]
        self._sequence += 1
        self._waiting[request] = self._sequence
        entry = (position.lsn, self._sequence, request)
        heapq.heappush(self._by_lsn, entry)
        self._by_age.append((now_ms, self._sequence, request))
        return []

    def cancel(self, request):
        """Drop a held answer whose caller has disconnected."""
        self._waiting.pop(request, None)

    def on_positions(self, term, primary_lsn, replica_lsns):
        """Record one poll of the group's flushed offsets.

        Polls may arrive late or out of order, so a lower offset than known
        and a poll of another term are ignored.

        Parameters
        ----------
        term : Term
        primary_lsn : Lsn
        replica_lsns : Mapping[EndpointId, Lsn]

        Returns
        -------
        list of Release or Fail
        """
        if term != self._term or not self._is_lease_live:
            return []
        self._primary_lsn = max(self._primary_lsn, primary_lsn)
        for replica, lsn in replica_lsns.items():
            known_lsn = self._replica_lsns.get(replica, Lsn(0))
            self._replica_lsns[replica] = max(known_lsn, lsn)
        self._confirmed_lsn = self._quorum_lsn()
        return self._release_confirmed()

    def on_term(self, term):
        """Start ``term`` and fail the held answers of older terms.

        Returns
        -------
        list of Release or Fail
        """
        if term <= self._term:
            return []
        self._term = term
        self._primary_lsn = Lsn(0)
        self._replica_lsns = {}
        self._confirmed_lsn = Lsn(0)
        return self._fail_all("the primary was replaced")

    def on_lease(self, is_live):
        """Record the state of this proxy's lease.

        Returns
        -------
        list of Release or Fail
            All held answers fail when the lease is lost.
        """
        self._is_lease_live = is_live
        if is_live:
            return []
        return self._fail_all("the proxy's lease has expired")

    def expire(self, now_ms):
        """Fail the answers that have been held for ``timeout_ms``.

        Returns
        -------
        list of Release or Fail
        """
        oldest_ms = now_ms - self.settings.timeout_ms
        actions = []
        while self._by_age and self._by_age[0][0] <= oldest_ms:
            _, sequence, request = self._by_age.popleft()
            if self._remove(request, sequence):
                actions.append(_fail(request, "no confirmation in time"))
        return actions

    def _quorum_lsn(self):
        lsns = [self._primary_lsn, *self._replica_lsns.values()]
        if len(lsns) < self.quorum_count:
            return self._confirmed_lsn
        lsns.sort(reverse=True)
        # The primary must have flushed the position too: a replica polled
        # later than the primary may report a higher offset.
        quorum_lsn = min(lsns[self.quorum_count - 1], self._primary_lsn)
        return max(self._confirmed_lsn, quorum_lsn)

    def _release_confirmed(self):
        actions = []
        while self._by_lsn and self._by_lsn[0][0] <= self._confirmed_lsn:
            _, sequence, request = heapq.heappop(self._by_lsn)
            if self._remove(request, sequence):
                actions.append(Release(request))
        self._trim_by_age()
        return actions

    def _trim_by_age(self):
        """Remove the oldest entries whose answers are no longer held."""
        while self._by_age:
            _, sequence, request = self._by_age[0]
            if self._waiting.get(request) == sequence:
                return
            self._by_age.popleft()

    def _remove(self, request, sequence):
        if self._waiting.get(request) != sequence:
            return False
        del self._waiting[request]
        return True

    def _fail_all(self, reason):
        actions = [_fail(request, reason) for request in self._waiting]
        self._waiting = {}
        self._by_lsn = []
        self._by_age.clear()
        return actions


def _fail(request, reason):
    return Fail(
        request, may_have_run(f"answer not confirmed by a quorum: {reason}")
    )
