"""Identifiers and states that log entries and the fleet state share."""

import dataclasses
import enum
from typing import NewType

GroupName = NewType("GroupName", str)
EndpointId = NewType("EndpointId", str)
PoolName = NewType("PoolName", str)
Rank = NewType("Rank", str)
EditId = NewType("EditId", str)
WorkspaceName = NewType("WorkspaceName", str)
# Digest of a caller's key; the key itself is not kept.
KeyDigest = NewType("KeyDigest", str)

# Counts the changes of primary of one group.  The election terms of the
# control log are a ControlTerm.
Term = NewType("Term", int)
# Number that a PostgreSQL server increases with each promotion.
Timeline = NewType("Timeline", int)
Lsn = NewType("Lsn", int)
LogIndex = NewType("LogIndex", int)
TableVersion = NewType("TableVersion", int)
# Increases with each assignment of an endpoint to its owner and standby owner.
Epoch = NewType("Epoch", int)
# Version number that operators assign to a desired state.
DesiredVersion = NewType("DesiredVersion", int)
# Random number drawn at each start of a proxy's process.
Incarnation = NewType("Incarnation", int)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Position in a group's WAL; ordered by term, then by WAL offset.

    Parameters
    ----------
    term : Term
        Counts the group's changes of primary.  In a server-fenced group it
        is a timeline instead.
    lsn : Lsn
        WAL offset in bytes.
    """

    term: Term
    lsn: Lsn


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServerPosition:
    """End of a server's WAL; ordered by timeline, then by WAL offset.

    Parameters
    ----------
    timeline : Timeline
        PostgreSQL timeline of the server.
    lsn : Lsn
        WAL offset in bytes.
    """

    timeline: Timeline
    lsn: Lsn


ZERO_POSITION = Position(Term(0), Lsn(0))


class EndpointRole(enum.Enum):
    """Role that an endpoint last announced."""

    PRIMARY = "primary"
    REPLICA = "replica"


class EndpointState(enum.Enum):
    """Whether an endpoint may get new requests.

    LEAVING: it has announced that it is leaving.  LOST: its announcements have
    expired, or it has left and is the primary until it is replaced.
    """

    JOINED = "joined"
    LEAVING = "leaving"
    LOST = "lost"


class GroupPhase(enum.Enum):
    """Phase of a group's change of primary.

    FORMING: there is no first primary yet.  ACTIVE: no change is in progress.
    FENCING: the term was raised; servers are fenced and the new primary is
    chosen.  PROMOTING: the chosen server is promoted.
    """

    FORMING = "forming"
    ACTIVE = "active"
    FENCING = "fencing"
    PROMOTING = "promoting"


class DaemonState(enum.Enum):
    """Whether a proxy may own endpoints."""

    ACTIVE = "active"
    DRAINING = "draining"


class Fencing(enum.Enum):
    """What prevents a replaced primary from serving requests.

    LEASE: proxies act only while they hold a lease, because the endpoint
    does not detect that it was replaced.  SERVER: the endpoint itself refuses
    writes, and transactions that are not begun read-only, as soon as it has
    lost its role.
    """

    LEASE = "lease"
    SERVER = "server"


class Consistency(enum.Enum):
    """Which commits the reads of a pool must see.

    PRIMARY: all acknowledged commits.  BOUNDED_STALENESS: all commits that
    were acknowledged more than a given time ago.  SESSION: the same, and all
    commits of the caller's own session.
    """

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    SESSION = "session"
