"""Actions of an endpoint's connection pool, which its owner executes."""

import dataclasses
from typing import Any

from waxwinglift.connection._types import ConnectionId
from waxwinglift.version._types import WorkspaceName


@dataclasses.dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection with this id, for one workspace or for none."""

    connection: ConnectionId
    workspace: WorkspaceName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeConnection:
    """Send a probe on the connection and report its answer."""

    connection: ConnectionId


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTimeout:
    """Report to the health monitor that a probe timed out."""

    connection: ConnectionId


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection, even if a transaction runs on it."""

    connection: ConnectionId


@dataclasses.dataclass(frozen=True, slots=True)
class UseConnection:
    """Run the holder's transaction on the connection."""

    connection: ConnectionId
    holder: Any
