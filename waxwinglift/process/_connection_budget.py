"""Decides how many connections a proxy may have to one server."""

import enum
import math

from waxwinglift.process._fleet_view import FleetView
from waxwinglift.version import EndpointId
from waxwinglift.version._connection_shares import ConnectionShares
from waxwinglift.version._connection_shares import divide_connections
from waxwinglift.version._connection_shares import find_temporary_owners
from waxwinglift.version._connection_shares import PROBE_COUNT

# Age of the fleet's state from which another proxy may have been assigned.
# Renewals confirm the state every 400 ms; elections take less than 1 s.
_VIEW_AGE_LIMIT_MS = 3000.0
# Time after which a server drops a connection whose peer is unreachable.
LOST_CONNECTION_MS = 3000.0
# Time after which a proxy that was replaced knows it, or considers its state
# too old, and the server has dropped the connections that it has lost.
SETTLING_MS = _VIEW_AGE_LIMIT_MS + LOST_CONNECTION_MS
# Time for which a proxy keeps to the number of connections that a server had
# accepted from it when the server refused a further one.
_FULL_MS = 3000.0


class ConnectionRole(enum.Enum):
    """What a proxy may do at an endpoint."""

    OWNER = "owner"
    STANDBY = "standby"
    TEMPORARY = "temporary"
    NONE = "none"


class ConnectionBudget:
    """Number of connections that one proxy may have to one server.

    The proxies don't agree on it with each other: each takes the share of its
    role, and a larger one only when those that had it before have reduced
    theirs.
    """

    def __init__(self):
        self.role = ConnectionRole.NONE
        self._is_settled = False
        self._is_promoted = False
        self._since_ms = math.inf
        self._full_count = 0
        self._full_until_ms = -math.inf

    def update(
        self,
        role: ConnectionRole,
        now_ms: float,
        *,
        view_age_ms: float = 0.0,
        has_former_owner: bool = False,
        is_first: bool = False,
    ):
        """Set the present role.

        Parameters
        ----------
        role : ConnectionRole
        now_ms : float
        view_age_ms : float
            Age of the fleet's state by which this is the role.
        has_former_owner : bool
            Whether a live former owner has not released the endpoint.
        is_first : bool
            Whether the endpoint had no other owners before.
        """
        is_recent = view_age_ms <= _VIEW_AGE_LIMIT_MS
        if role is not self.role or not is_recent:
            self._is_promoted = (
                role is ConnectionRole.OWNER
                and self.role is ConnectionRole.STANDBY
                and self._is_settled
                and is_recent
            )
            self.role = role
            self._is_settled = is_first and is_recent
            self._since_ms = now_ms
        if self._is_settled:
            return
        if has_former_owner:
            self._since_ms = now_ms
        self._is_settled = now_ms - self._since_ms >= SETTLING_MS

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
        if self.role is ConnectionRole.OWNER:
            if self._is_settled:
                return shares.owner_count
            if self._is_promoted:
                return shares.standby_count + shares.transition_count
            return shares.transition_count
        if self.role is ConnectionRole.STANDBY:
            return shares.standby_count if self._is_settled else PROBE_COUNT
        if self.role is ConnectionRole.TEMPORARY:
            return shares.temporary_count
        return 0


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
    if is_temporary and may_serve_temporarily(view, endpoint):
        return ConnectionRole.TEMPORARY
    return ConnectionRole.NONE


def may_serve_temporarily(view: FleetView, endpoint: EndpointId) -> bool:
    """Return whether this proxy may serve without an assignment."""
    record = view.endpoint(endpoint)
    if record is None:
        return False
    return view.daemon in find_temporary_owners(view.fleet, record)


def find_shares(view: FleetView, endpoint: EndpointId) -> ConnectionShares:
    """Return the shares of the connections of a known endpoint."""
    record = view.endpoint(endpoint)
    return divide_connections(view.fleet.connection_limit_count(record))
