"""Decides how many connections a proxy may have to one server."""

import enum
import math

from waxwinglift.process._fleet_view import FleetView
from waxwinglift.version import EndpointId
from waxwinglift.version._connection_shares import ConnectionShares
from waxwinglift.version._connection_shares import PROBE_COUNT

# Age of the fleet's state from which another proxy may have been assigned.
# Renewals confirm the state every 400 ms; elections take less than 1 s.
_VIEW_AGE_LIMIT_MS = 3000.0
# Age from which an owner leaves most connections to a possible successor.  The
# transition share costs requests, so this is longer than control usually has
# no leader: a leader that was frozen for 6.6 s was the longest case measured.
_LONG_VIEW_AGE_LIMIT_MS = 20_000.0
# Time after which a server drops a connection whose peer is unreachable.
LOST_CONNECTION_MS = 3000.0
# Time after which a proxy that was replaced knows it, or considers its state
# too old, and the server has dropped the connections that it has lost.
SETTLING_MS = _VIEW_AGE_LIMIT_MS + LOST_CONNECTION_MS
# The same for a state that is much too old.
LONG_SETTLING_MS = _LONG_VIEW_AGE_LIMIT_MS + LOST_CONNECTION_MS
# Time for which a proxy keeps to the number of connections that a server had
# accepted from it when the server refused a further one.
_FULL_MS = 3000.0


class ConnectionRole(enum.Enum):
    """What a proxy may do at an endpoint."""

    OWNER = "owner"
    STANDBY = "standby"
    TEMPORARY = "temporary"
    NONE = "none"


class FormerOwner(enum.Enum):
    """What is known of the connections of an endpoint's former owner."""

    # There was none.
    ABSENT = "absent"
    # It is live and has not released the endpoint.
    NAMED = "named"
    RELEASED = "released"
    # It may still have connections that it has not reported.
    LOST = "lost"


class _Level(enum.IntEnum):
    """Part of its share that a proxy may take."""

    TRANSITION = 0
    HALF = 1
    FULL = 2


# Times after which an owner may take half and all of its share.
_OWNER_SETTLING_MS = {
    FormerOwner.ABSENT: (0.0, 0.0),
    FormerOwner.NAMED: (math.inf, math.inf),
    # The server may still count connections that the former owner closed.
    FormerOwner.RELEASED: (LOST_CONNECTION_MS, LOST_CONNECTION_MS),
    FormerOwner.LOST: (SETTLING_MS, LONG_SETTLING_MS),
}


class ConnectionBudget:
    """Number of connections that one proxy may have to one server.

    The proxies don't agree on it with each other: each takes the share of its
    role, and a larger one only when those that had it before have reduced
    theirs.
    """

    def __init__(self):
        self.role = ConnectionRole.NONE
        self._level = _Level.TRANSITION
        self._is_promoted = False
        self._since_ms = math.inf
        # What the age of the state permits, and whether it has been lowered.
        self._ceiling = _Level.TRANSITION
        self._is_lowered = False
        self._lowered_until_ms = -math.inf
        self._full_count = 0
        self._full_until_ms = -math.inf

    @property
    def is_lowered(self) -> bool:
        """Whether an owner's share is lowered because its state is too old."""
        is_owner = self.role is ConnectionRole.OWNER
        return is_owner and self._ceiling < self._level

    def update(
        self,
        role: ConnectionRole,
        now_ms: float,
        *,
        view_age_ms: float = 0.0,
        former_owner: FormerOwner = FormerOwner.LOST,
        has_missed_changes: bool = False,
    ):
        """Set the present role.

        Parameters
        ----------
        role : ConnectionRole
        now_ms : float
        view_age_ms : float
            Age of the fleet's state by which this is the role.
        former_owner : FormerOwner
        has_missed_changes : bool
            Whether the assignment has changed more than once since the last
            update, so that another proxy may have had the role.
        """
        was_old = self._ceiling < _Level.FULL
        self._set_ceiling(_find_ceiling(view_age_ms), now_ms)
        if role is not self.role or (was_old and has_missed_changes):
            self._is_promoted = (
                role is ConnectionRole.OWNER
                and self.role is ConnectionRole.STANDBY
                and self._level is _Level.FULL
                and self._ceiling is _Level.FULL
            )
            self.role = role
            self._level = _Level.TRANSITION
            self._since_ms = now_ms
        if self._level is _Level.FULL:
            return
        if former_owner is FormerOwner.NAMED:
            self._since_ms = now_ms
        self._settle(former_owner, now_ms)

    def _set_ceiling(self, ceiling, now_ms):
        """Apply what the age of the state permits.

        The server may still count connections that were closed because of the
        age, so the ceiling rises only when it has dropped them.
        """
        if ceiling <= self._ceiling:
            self._is_lowered = self._is_lowered or ceiling < self._ceiling
            self._ceiling = ceiling
            if self._is_lowered:
                self._lowered_until_ms = now_ms + LOST_CONNECTION_MS
        elif now_ms >= self._lowered_until_ms:
            self._ceiling = ceiling
            self._is_lowered = False

    def _settle(self, former_owner, now_ms):
        half_ms, full_ms = _OWNER_SETTLING_MS[former_owner]
        if self.role is ConnectionRole.STANDBY:
            # Another standby owner may have been replaced at the same time.
            is_first = former_owner is FormerOwner.ABSENT
            half_ms = full_ms = 0.0 if is_first else SETTLING_MS
        elapsed_ms = now_ms - self._since_ms
        if elapsed_ms >= full_ms:
            self._level = _Level.FULL
        elif elapsed_ms >= half_ms:
            self._level = _Level.HALF

    def record_full(self, connection_count: int, now_ms: float) -> bool:
        """Record that the server refused one more than these connections.

        Return whether it had accepted all for some time before.
        """
        is_new = now_ms >= self._full_until_ms
        self._full_count = max(1, connection_count)
        self._full_until_ms = now_ms + _FULL_MS
        return is_new

    def limit_count(self, shares: ConnectionShares, now_ms: float) -> int:
        """Return how many connections this proxy may have now."""
        limit_count = self._share(shares)
        if now_ms < self._full_until_ms:
            return min(limit_count, self._full_count)
        return limit_count

    def _share(self, shares):
        level = min(self._level, self._ceiling)
        if self.role is ConnectionRole.OWNER:
            return self._owner_share(shares, level)
        if self.role is ConnectionRole.STANDBY:
            is_settled = level is _Level.FULL
            return shares.standby_count if is_settled else PROBE_COUNT
        if self.role is ConnectionRole.TEMPORARY:
            return shares.temporary_count
        return 0

    def _owner_share(self, shares, level):
        if level is _Level.FULL:
            return shares.owner_count
        if level is _Level.HALF:
            return shares.half_count
        if self._is_promoted and self._ceiling is _Level.FULL:
            return shares.standby_count + shares.transition_count
        return shares.transition_count


def _find_ceiling(view_age_ms):
    """Return what the age of a proxy's state permits."""
    if view_age_ms > _LONG_VIEW_AGE_LIMIT_MS:
        return _Level.TRANSITION
    if view_age_ms > _VIEW_AGE_LIMIT_MS:
        return _Level.HALF
    return _Level.FULL


def find_role(
    view: FleetView, endpoint: EndpointId, is_temporary: bool
) -> ConnectionRole:
    """Return this proxy's role at an endpoint.

    Parameters
    ----------
    view : FleetView
    endpoint : EndpointId
    is_temporary : bool
        Whether this proxy serves the endpoint without an assignment.
    """
    assignment = view.assignment(endpoint)
    if assignment is not None and assignment.owner == view.daemon:
        return ConnectionRole.OWNER
    if assignment is not None and assignment.standby == view.daemon:
        return ConnectionRole.STANDBY
    if is_temporary:
        return ConnectionRole.TEMPORARY
    return ConnectionRole.NONE
