"""Objects with the lifetime of a connection to a caller or an endpoint."""

from waxwinglift.connection._types import ConnectionId
from waxwinglift.connection._types import ConnectionState
from waxwinglift.connection._types import HealthState
from waxwinglift.connection._types import SessionId
from waxwinglift.connection._types import TransactionStatus

__all__ = [
    "ConnectionId",
    "ConnectionState",
    "HealthState",
    "SessionId",
    "TransactionStatus",
]
