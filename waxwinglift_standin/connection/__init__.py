"""Objects with the lifetime of a connection to the stand-in server."""

from waxwinglift_standin.connection import _handlers
from waxwinglift_standin.connection import _values as values
from waxwinglift_standin.connection._receiver import ReplicationReceiver
from waxwinglift_standin.connection._sender import ReplicationSender
from waxwinglift_standin.connection._session import error_message
from waxwinglift_standin.connection._session import Session
from waxwinglift_standin.connection._startup import read_startup
from waxwinglift_standin.connection._startup import startup_reply
from waxwinglift_standin.connection._types import Column
from waxwinglift_standin.connection._types import Description
from waxwinglift_standin.connection._types import PgType
from waxwinglift_standin.connection._types import SessionData
from waxwinglift_standin.connection._types import SqlError
from waxwinglift_standin.connection._types import SqlState
from waxwinglift_standin.connection._types import StatementResult
from waxwinglift_standin.connection._types import Transaction

# Importing this module registers the message handlers.
_REGISTERING_MODULES = (_handlers,)

__all__ = [
    "Column",
    "Description",
    "PgType",
    "ReplicationReceiver",
    "ReplicationSender",
    "Session",
    "SessionData",
    "SqlError",
    "SqlState",
    "StatementResult",
    "Transaction",
    "error_message",
    "read_startup",
    "startup_reply",
    "values",
]
