"""Records of an endpoint's connections and of what its holders need."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Any

from waxwinglift.connection._types import ConnectionId
from waxwinglift.connection._types import ConnectionState
from waxwinglift.version._types import WorkspaceName


@dataclasses.dataclass(slots=True)
class ConnectionRecord:
    """One connection, open or not.

    Parameters
    ----------
    state : ConnectionState
    since_ms : float
        Time of the last change of state.
    workspace : WorkspaceName or None
        Workspace under whose name the connection is opened.
    used_ms : float
        Time at which the last transaction on it ended.
    holder : hashable
        Transaction that runs on it.
    is_suspect : bool
        Whether to probe it once its transaction has ended.
    """

    state: ConnectionState
    since_ms: float
    workspace: WorkspaceName | None = None
    used_ms: float = float("-inf")
    holder: Any = None
    is_suspect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionNeed:
    """Connection that a holder waits for.

    With ``is_any``, the connection of any workspace will do.
    """

    workspace: WorkspaceName | None
    is_any: bool = False

    def is_met_by(self, record: ConnectionRecord) -> bool:
        """Return whether the holder may use a connection."""
        return self.is_any or record.workspace == self.workspace


class PoolRecords(dict[ConnectionId, ConnectionRecord]):
    """Records of the connections of one endpoint, by id."""

    def count(self, state: ConnectionState) -> int:
        """Return the number of connections in a state."""
        return sum(record.state is state for record in self.values())

    def count_shared(self, states: Iterable[ConnectionState]) -> int:
        """Return the number of connections of no workspace in some states."""
        return sum(
            record.workspace is None and record.state in states
            for record in self.values()
        )

    def find_idle(self, need: ConnectionNeed) -> ConnectionId | None:
        """Return the idle connection that a holder should use, or None."""
        idle = [
            (record.since_ms, connection)
            for connection, record in self._idle()
            if need.is_met_by(record)
        ]
        # The most recently used one is the least likely to be unresponsive.
        return max(idle)[1] if idle else None

    def least_recently_used(self) -> ConnectionId | None:
        """Return the idle connection whose last use was the longest ago.

        Probes do not count as uses.
        """
        idle = [(record.used_ms, one) for one, record in self._idle()]
        return min(idle)[1] if idle else None

    def missing_workspaces(
        self, needs: Iterable[ConnectionNeed]
    ) -> list[WorkspaceName | None]:
        """Return the workspaces for which connections must be opened.

        A workspace, or None, is listed once for each connection that it lacks,
        in the order of its holders.
        """
        opening = collections.Counter(
            record.workspace
            for record in self.values()
            if record.state is ConnectionState.OPENING
        )
        missing = []
        for need in needs:
            if need.is_any:
                continue
            if opening[need.workspace] > 0:
                opening[need.workspace] -= 1
            else:
                missing.append(need.workspace)
        return missing

    def _idle(self):
        return [
            (connection, record)
            for connection, record in self.items()
            if record.state is ConnectionState.IDLE
        ]
