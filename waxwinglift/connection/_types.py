"""Identifiers and states with the lifetime of a connection."""

import enum
from typing import NewType

SessionId = NewType("SessionId", int)
ConnectionId = NewType("ConnectionId", int)


class TransactionStatus(enum.Enum):
    """Transaction status of a session, as ReadyForQuery reports it."""

    IDLE = "I"
    IN_TRANSACTION = "T"
    FAILED = "E"


class ConnectionState(enum.Enum):
    """State of one connection to an endpoint."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    SUSPECT = "suspect"
    CLOSED = "closed"


class HealthState(enum.Enum):
    """Health of an endpoint as seen by a proxy that probes it."""

    UNKNOWN = "unknown"
    UP = "up"
    SUSPECT = "suspect"
    DOWN = "down"
