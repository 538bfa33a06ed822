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
# Version that operators give to a whole desired state.
DesiredVersion = NewType("DesiredVersion", int)
# Drawn at each start of a process or at each new disk of a control member.
Incarnation = NewType("Incarnation", int)


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


class Fencing(enum.Enum):
    """What keeps a replaced primary from serving.

    LEASE: proxies act only on a live lease, because the endpoint does not
    know that it was replaced.  SERVER: the endpoint itself refuses writes
    and plain transactions as soon as it has lost its role.
    """

    LEASE = "lease"
    SERVER = "server"


class Consistency(enum.Enum):
    """What the reads of a pool must see.

    PRIMARY: every acknowledged commit.  BOUNDED_STALENESS: every commit
    acknowledged more than a stated time ago.  SESSION: the same, and every
    commit of the own session.
    """

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    SESSION = "session"
