"""Choice of the proxies that count the operations of each workspace."""

from collections.abc import Callable
import heapq

from waxwinglift.version._fleet import FleetState
from waxwinglift.version._ownership import score
from waxwinglift.version._types import DaemonState
from waxwinglift.version._types import WorkspaceName

# The home of a workspace and its substitute.
HOMES_COUNT = 2


class WorkspaceHomes:
    """Homes of the workspaces in the current state of the fleet.

    The home of a workspace is the proxy with the highest rendezvous score
    among those that are not shutting down, so all proxies with the same state
    agree and a proxy that joins or leaves moves only its own share.

    Parameters
    ----------
    find_fleet : callable
        Returns the FleetState; call `update` after each change.
    now_ms : callable
    """

    def __init__(
        self,
        find_fleet: Callable[[], FleetState],
        now_ms: Callable[[], float],
    ):
        self._find_fleet = find_fleet
        self._now_ms = now_ms
        self._daemons = frozenset()
        self._homes = {}
        # Time at which the set of proxies last changed.
        self.changed_ms = now_ms()
        self.update()

    def update(self):
        """Read the set of proxies from the state of the fleet."""
        daemons = frozenset(
            name
            for name, daemon in self._find_fleet().daemons.items()
            if daemon.state is DaemonState.ACTIVE
        )
        if daemons != self._daemons:
            self._daemons = daemons
            self._homes = {}
            self.changed_ms = self._now_ms()

    def find(self, workspace: WorkspaceName):
        """Return the home of a workspace and its substitute, if they exist."""
        homes = self._homes.get(workspace)
        if homes is None:
            homes = heapq.nlargest(
                HOMES_COUNT,
                self._daemons,
                key=lambda daemon: (score(workspace, daemon), daemon),
            )
            self._homes[workspace] = homes = tuple(homes)
        return homes
