"""Divisions of a server's connections among the proxies that use it."""

import abc

from waxwinglift.process import DaemonId
from waxwinglift.process._connection_budget import ConnectionBudget
from waxwinglift.process._connection_budget import ConnectionRole
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._registry import Registry
from waxwinglift.version._connection_shares import divide_connections
from waxwinglift.version._connection_shares import find_temporary_owners
from waxwinglift.version._connection_shares import RESERVED_COUNT
from waxwinglift.version._fleet import Endpoint

# Classes of divisions by `OwnerSettings.connection_division`.
CONNECTION_DIVISIONS = Registry()
_division = CONNECTION_DIVISIONS.register

# Fraction of the connections that a standby owner may use, and connections
# of a temporary owner, where they are not shares of a whole.
_STANDBY_FRACTION = 0.3
_TEMPORARY_COUNT = 3


class ConnectionDivision(abc.ABC):
    """Tells which proxies may use a server, and how many connections."""

    @abc.abstractmethod
    def temporary_owners(
        self, view: FleetView, record: Endpoint
    ) -> tuple[DaemonId, ...]:
        """Return the proxies that may serve without an assignment.

        Those to which this proxy may forward requests, or itself.
        """

    @abc.abstractmethod
    def limit_count(
        self,
        budget: ConnectionBudget,
        server_limit_count: int,
        is_per_workspace: bool,
        now_ms: float,
    ) -> int:
        """Return how many connections this proxy may have now.

        Parameters
        ----------
        budget : ConnectionBudget
            Has the proxy's role.
        server_limit_count : int
            Connections that the server accepts from all proxies.
        is_per_workspace : bool
            Whether each connection belongs to one workspace.
        now_ms : float
        """


@_division("fixed")
class FixedDivision(ConnectionDivision):
    """Nearly all connections for the owner, and some for other proxies.

    The sum can exceed the limit after a change of owner or in a partition;
    the server then refuses some.  With 20 connections, shares that add up
    would leave an owner 10 of them, and 4 after a change.
    """

    def temporary_owners(self, view, record):
        """Return this proxy: each may serve without an assignment."""
        return (view.daemon,)

    def limit_count(
        self, budget, server_limit_count, is_per_workspace, now_ms
    ):
        """Return the fixed number of the proxy's role."""
        usable_count = max(2, server_limit_count - RESERVED_COUNT)
        standby_count = max(2, int(_STANDBY_FRACTION * usable_count))
        if budget.role is ConnectionRole.TEMPORARY:
            return _TEMPORARY_COUNT
        if budget.role is not ConnectionRole.OWNER:
            return standby_count
        if is_per_workspace:
            # The pool fills up with the connections of many workspaces and
            # would leave none to the standby owner.
            return max(2, usable_count - standby_count)
        return usable_count


@_division("shares")
class SharesDivision(ConnectionDivision):
    """Shares that add up to the limit of the server."""

    def temporary_owners(self, view, record):
        """Return the few proxies that have a share for this."""
        return find_temporary_owners(view.fleet, record)

    def limit_count(
        self, budget, server_limit_count, is_per_workspace, now_ms
    ):
        """Return the share that the proxy may take now."""
        return budget.limit_count(
            divide_connections(server_limit_count), now_ms
        )
