"""Answers held until a quorum of the group has their position."""

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
    """Held answers of one group at the owner of its primary.

    A new object has no lease and term 0: call `on_term` and `on_lease`
    first.  Every method that returns a list returns `Release` and `Fail`
    actions, each request at most once.

    Parameters
    ----------
    quorum_count : int
        Servers that must hold a position, the primary included.
    settings : CommitWaitSettings, optional
    """

    def __init__(self, quorum_count, settings=None):
        self.quorum_count = quorum_count
        self.settings = settings or CommitWaitSettings()
        self._term = Term(0)
        self._is_live = False
        self._confirmed_lsn = Lsn(0)
        self._primary_lsn = Lsn(0)
        self._replica_lsns = {}
        self._waiting = {}
        self._by_lsn = []
        self._by_age = collections.deque()
        self._sequence = 0

    @property
    def held_count(self):
        """Answers that are waiting."""
        return len(self._waiting)

    @property
    def confirmed_lsn(self):
        """Highest offset of the current term that a quorum holds."""
        return self._confirmed_lsn

    def poll_interval_ms(self):
        """Return the time until the next poll of the group's positions."""
        if self._waiting:
            return self.settings.busy_poll_ms
        return self.settings.idle_poll_ms

    def hold(self, request, position, now_ms):
        """Hold the answer of ``request`` until a quorum has ``position``.

        Parameters
        ----------
        request : RequestId
        position : Position
            Position of the primary after the request.
        now_ms : float

        Returns
        -------
        list of Release or Fail
            Empty while the answer is held.
        """
        if not self._is_live:
            return [_fail(request, "the lease has expired")]
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
        """Forget a held answer, when its caller has gone."""
        self._waiting.pop(request, None)

    def on_positions(self, term, primary_lsn, replica_lsns):
        """Record one poll of the group's flushed offsets.

        Polls may arrive late or out of order: an offset never moves back
        within a term, and a poll of another term is ignored.

        Parameters
        ----------
        term : Term
        primary_lsn : Lsn
        replica_lsns : Mapping[EndpointId, Lsn]

        Returns
        -------
        list of Release or Fail
        """
        if term != self._term or not self._is_live:
            return []
        self._primary_lsn = max(self._primary_lsn, primary_lsn)
        for replica, lsn in replica_lsns.items():
            known_lsn = self._replica_lsns.get(replica, Lsn(0))
            self._replica_lsns[replica] = max(known_lsn, lsn)
        self._confirmed_lsn = self._quorum_lsn()
        return self._release_confirmed()

    def on_term(self, term):
        """Fail the answers of older terms and start ``term``.

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
        self._is_live = is_live
        if is_live:
            return []
        return self._fail_all("the lease has expired")

    def expire(self, now_ms):
        """Fail the answers that were held for the whole timeout.

        Returns
        -------
        list of Release or Fail
        """
        oldest_ms = now_ms - self.settings.timeout_ms
        actions = []
        while self._by_age and self._by_age[0][0] <= oldest_ms:
            _, sequence, request = self._by_age.popleft()
            if self._remove(request, sequence):
                actions.append(_fail(request, "no quorum in time"))
        return actions

    def _quorum_lsn(self):
        lsns = [self._primary_lsn, *self._replica_lsns.values()]
        if len(lsns) < self.quorum_count:
            return self._confirmed_lsn
        lsns.sort(reverse=True)
        # The primary must hold the position itself: its own offset may be
        # polled before a replica's.
        quorum_lsn = min(lsns[self.quorum_count - 1], self._primary_lsn)
        return max(self._confirmed_lsn, quorum_lsn)

    def _release_confirmed(self):
        actions = []
        while self._by_lsn and self._by_lsn[0][0] <= self._confirmed_lsn:
            _, sequence, request = heapq.heappop(self._by_lsn)
            if self._remove(request, sequence):
                actions.append(Release(request))
        self._trim_ages()
        return actions

    def _trim_ages(self):
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
    return Fail(request, may_have_run(f"answer not confirmed: {reason}"))
