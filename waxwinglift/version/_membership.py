"""Decisions of the control leader on which control daemons vote.

The identity of a member is stored on its disk, like the votes that it gave.
A daemon that returns with an empty disk therefore gets a new name.  It starts
as a learner, like any other new member.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses


from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import Location
from waxwinglift.version._consensus_messages import MemberRole
from waxwinglift.version._control_settings import MembershipSettings
from waxwinglift.version._entries import Entry
from waxwinglift.version._entries import MemberAdded
from waxwinglift.version._entries import MemberPromoted
from waxwinglift.version._entries import MemberRemoved


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """A control daemon asks to become a member."""

    member: DaemonId
    address: Address
    location: Location | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ControlGroupView:
    """Members of the control group and their progress, as seen by the leader.

    Parameters
    ----------
    leader : DaemonId
    members : sequence of MemberRole
    addresses : mapping of DaemonId to Address
    time_since_answer_ms : mapping of DaemonId to float
        Time since each other member last answered.
    caught_up : frozenset of DaemonId
        Members that have all committed entries.
    """

    leader: DaemonId
    members: Sequence[MemberRole]
    addresses: Mapping[DaemonId, Address]
    time_since_answer_ms: Mapping[DaemonId, float]
    caught_up: frozenset[DaemonId]

    @property
    def voters(self):
        """Members that vote."""
        return [m.member for m in self.members if m.is_voter]

    @property
    def learners(self):
        """Members that do not vote."""
        return [m.member for m in self.members if not m.is_voter]


class MembershipPlanner:
    """Plans the changes of the control group, one at a time.

    Parameters
    ----------
    settings : MembershipSettings
    """

    def __init__(self, settings: MembershipSettings):
        self.settings = settings
        self._requests: dict[DaemonId, tuple[JoinRequest, float]] = {}

    def record_request(self, request: JoinRequest, now_ms: float):
        """Record that a daemon asks to join."""
        self._requests[request.member] = (request, now_ms)

    def plan(self, view: ControlGroupView, now_ms: float) -> Entry | None:
        """Return the next change, or None if no change is needed."""
        return (
            self._plan_join(view, now_ms)
            or self._plan_voter_change(view)
            or self._plan_learner_removal(view)
        )

    def _plan_join(self, view, now_ms):
        for request in self._fresh_requests(now_ms):
            if request.member in view.addresses:
                continue
            predecessor = _find_predecessor(view, request)
            if predecessor is not None:
                return MemberRemoved(predecessor)
            if len(view.members) < self.settings.members_limit_count:
                return MemberAdded(
                    request.member, request.address, request.location
                )
        return None

    def _fresh_requests(self, now_ms):
        oldest_ms = now_ms - self.settings.join_ttl_ms
        self._requests = {
            member: (request, received_ms)
            for member, (request, received_ms) in self._requests.items()
            if received_ms >= oldest_ms
        }
        return [request for request, _ in self._requests.values()]

    def _plan_voter_change(self, view):
        ready = [m for m in view.learners if m in view.caught_up]
        if not ready:
            return None
        if len(view.voters) < self.settings.voters_count:
            return MemberPromoted(min(ready))
        unresponsive = [
            member
            for member in view.voters
            if view.time_since_answer_ms.get(member, 0.0)
            >= self.settings.replace_after_ms
        ]
        if not unresponsive:
            return None
        longest_unresponsive = max(
            unresponsive, key=lambda m: (view.time_since_answer_ms[m], m)
        )
        return MemberRemoved(longest_unresponsive)

    def _plan_learner_removal(self, view):
        for member in view.learners:
            time_since_answer_ms = view.time_since_answer_ms.get(member, 0.0)
            if time_since_answer_ms >= self.settings.forget_learner_ms:
                return MemberRemoved(member)
        return None


def _find_predecessor(view, request):
    """Return the member that previously had the address of a new one.

    That member no longer runs, because two processes cannot listen at the
    same address.  The new name shows that its disk is lost.
    """
    for member, address in view.addresses.items():
        if address == request.address and member != view.leader:
            return member
    return None
