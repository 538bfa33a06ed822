"""Objects that live for a term or longer: databases, log and role."""

from waxwinglift_standin.version._database import Database
from waxwinglift_standin.version._database import FunctionCalls
from waxwinglift_standin.version._log import find_divergence
from waxwinglift_standin.version._log import format_lsn
from waxwinglift_standin.version._log import LogRecord
from waxwinglift_standin.version._log import parse_lsn
from waxwinglift_standin.version._state import ReplicaProgress
from waxwinglift_standin.version._state import ServerState
from waxwinglift_standin.version._store import open_store

__all__ = [
    "Database",
    "FunctionCalls",
    "LogRecord",
    "ReplicaProgress",
    "ServerState",
    "find_divergence",
    "format_lsn",
    "open_store",
    "parse_lsn",
]
