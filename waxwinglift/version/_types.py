"""Identifiers and states that last for a term or configuration version."""

import dataclasses
import enum
from typing import NewType

GroupName = NewType("GroupName", str)
EndpointId = NewType("EndpointId", str)
PoolName = NewType("PoolName", str)
Rank = NewType("Rank", str)
EditId = NewType("EditId", str)

Term = NewType("Term", int)
Timeline = NewType("Timeline", int)
Lsn = NewType("Lsn", int)
LogIndex = NewType("LogIndex", int)
TableVersion = NewType("TableVersion", int)
Epoch = NewType("Epoch", int)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Point in a group's log; ordered by term, then by log offset.

    Parameters
    ----------
    term : Term
        Counter of the group's changes of primary.
    lsn : Lsn
        Log offset in bytes.
    """

    term: Term
    lsn: Lsn


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServerPosition:
    """End of a server's log; ordered by timeline, then by log offset.

    Parameters
    ----------
    timeline : Timeline
        PostgreSQL timeline, as the server counts it.
    lsn : Lsn
        Log offset in bytes.
    """

    timeline: Timeline
    lsn: Lsn


ZERO_POSITION = Position(Term(0), Lsn(0))


class EndpointRole(enum.Enum):
    """Role that an endpoint last claimed."""

    PRIMARY = "primary"
    REPLICA = "replica"


class EndpointState(enum.Enum):
    """Whether an endpoint may get new work."""

    JOINED = "joined"
    LEAVING = "leaving"
    LOST = "lost"


class GroupPhase(enum.Enum):
    """Step of a group's change of primary."""

    FORMING = "forming"
    ACTIVE = "active"
    FENCING = "fencing"
    PROMOTING = "promoting"


class DaemonState(enum.Enum):
    """Whether a proxy may own endpoints."""

    ACTIVE = "active"
    DRAINING = "draining"
