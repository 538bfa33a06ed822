"""Records of an endpoint's connections and of what its holders need."""

import collections
from collections.abc import Iterable
import contextlib
import dataclasses
import math
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
    is_block : bool
        Whether a transaction block runs on it, which may take long.
    """

    state: ConnectionState
    since_ms: float
    workspace: WorkspaceName | None = None
    used_ms: float = float("-inf")
    holder: Any = None
    is_suspect: bool = False
    is_block: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionNeed:
    """Connection that a holder waits for.

    Parameters
    ----------
    workspace : WorkspaceName or None
    is_any : bool
        Whether the connection of any workspace will do, as for the proxy's
        own commands.
    urgency_index : int
        Holders with a lower one go first.
    is_block : bool
        Whether the holder is a transaction block.
    patient_until_ms : float
        Until then, the holder waits for a running statement of its workspace
        rather than for an opening, which occupies a slot.
    """

    workspace: WorkspaceName | None = None
    is_any: bool = False
    urgency_index: int = 0
    is_block: bool = False
    patient_until_ms: float = -math.inf

    def is_met_by(self, record: ConnectionRecord) -> bool:
        """Return whether the holder may use a connection."""
        return self.is_any or record.workspace == self.workspace


class WaitingHolders(dict[Any, ConnectionNeed]):
    """Needs of the transactions that wait for a connection, oldest first."""

    def __init__(self):
        super().__init__()
        self._expected = collections.Counter()

    @contextlib.contextmanager
    def expecting(self, workspace: WorkspaceName | None):
        """Keep the idle connections of a workspace that will need one."""
        self._expected[workspace] += 1
        try:
            yield
        finally:
            self._expected[workspace] -= 1

    def is_expected(self, workspace: WorkspaceName | None) -> bool:
        """Return whether a transaction will need a connection of it."""
        return self._expected[workspace] > 0

    def by_urgency(self) -> list[tuple[Any, ConnectionNeed]]:
        """Return the holders and their needs, the most urgent first."""
        return sorted(self.items(), key=lambda item: item[1].urgency_index)

    def needs(self, least_urgent_index: float = math.inf):
        """Return the needs up to an ``urgency_index``, most urgent first."""
        needs = [need for _, need in self.by_urgency()]
        return [n for n in needs if n.urgency_index <= least_urgent_index]

    def shared_count(self) -> int:
        """Return how many wait for a connection of no workspace."""
        return sum(need.workspace is None for need in self.values())


class PoolRecords(dict[ConnectionId, ConnectionRecord]):
    """Records of the connections of one endpoint, by id.

    Parameters
    ----------
    lost_connection_ms : float
        As in `EndpointPoolSettings`.
    """

    def __init__(self, lost_connection_ms: float):
        super().__init__()
        self._lost_connection_ms = lost_connection_ms
        self._lost_until_ms = collections.deque()

    def record_lost(self, now_ms: float):
        """Count a connection that ends until the endpoint has dropped it."""
        self._lost_until_ms.append(now_ms + self._lost_connection_ms)

    def occupied_count(self, now_ms: float) -> int:
        """Return how many connections the endpoint may count."""
        while self._lost_until_ms and self._lost_until_ms[0] <= now_ms:
            self._lost_until_ms.popleft()
        return len(self) + len(self._lost_until_ms)

    @property
    def open_count(self) -> int:
        """Number of connections that are not closing."""
        return len(self) - self.count(ConnectionState.CLOSED)

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

    def find_longest_idle(self, before_ms: float) -> ConnectionId | None:
        """Return the connection that is idle longest, since ``before_ms``."""
        idle = [
            (record.since_ms, connection)
            for connection, record in self._idle()
            if record.since_ms < before_ms
        ]
        return min(idle)[1] if idle else None

    def find_replaceable(self, waiting: WaitingHolders) -> ConnectionId | None:
        """Return the idle connection that another workspace may replace.

        That is the one whose last use was the longest ago, if possible of a
        workspace that is not expected.  Probes do not count as uses.
        """
        idle = [
            (waiting.is_expected(record.workspace), record.used_ms, one)
            for one, record in self._idle()
        ]
        return min(idle)[2] if idle else None

    def missing_workspaces(
        self, needs: Iterable[ConnectionNeed], now_ms: float
    ) -> list[WorkspaceName | None]:
        """Return the workspaces for which connections must be opened.

        A workspace, or None, is listed once for each connection that it lacks,
        in the order of its holders.
        """
        opening = self._count_by_workspace(ConnectionState.OPENING)
        busy = self._count_by_workspace(ConnectionState.BUSY)
        missing = []
        for need in needs:
            if need.is_any:
                continue
            if opening[need.workspace] > 0:
                opening[need.workspace] -= 1
            elif now_ms < need.patient_until_ms and busy[need.workspace] > 0:
                busy[need.workspace] -= 1
            else:
                missing.append(need.workspace)
        return missing

    def _count_by_workspace(self, state):
        """Count the connections that no transaction block uses."""
        return collections.Counter(
            record.workspace
            for record in self.values()
            if record.state is state and not record.is_block
        )

    def idle_connections(self) -> list[ConnectionId]:
        """Return the idle connections."""
        return [connection for connection, _ in self._idle()]

    def _idle(self):
        return [
            (connection, record)
            for connection, record in self.items()
            if record.state is ConnectionState.IDLE
        ]
