"""Registry of the functions that apply entries, and their outcomes."""

import dataclasses
import enum

from result import Err

from waxwinglift.process import Registry
from waxwinglift.version._fleet import EditAnswer
from waxwinglift.version._types import LogIndex


class RefusalCode(enum.Enum):
    """Why an entry was refused."""

    WRONG_INDEX = "wrong_index"
    INVALID_TABLE = "invalid_table"
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    UNKNOWN_GROUP = "unknown_group"
    UNKNOWN_DAEMON = "unknown_daemon"
    UNKNOWN_MEMBER = "unknown_member"
    GROUP_MISMATCH = "group_mismatch"
    GROUP_SIZE_MISMATCH = "group_size_mismatch"
    GROUP_FULL = "group_full"
    WRONG_STATE = "wrong_state"
    WRONG_PHASE = "wrong_phase"
    WRONG_TERM = "wrong_term"
    STALE_EPOCH = "stale_epoch"
    INVALID_ASSIGNMENT = "invalid_assignment"
    KNOWN_MEMBER = "known_member"
    LAST_VOTER = "last_voter"
    WRONG_VERSION = "wrong_version"
    BAD_DOCUMENT = "bad_document"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why an entry changed nothing except the applied index.

    With WRONG_INDEX the applied index does not change either.
    """

    code: RefusalCode
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Answer to an entry that has no more specific result."""

    index: LogIndex


Answer = EditAnswer | Applied

# An apply function takes ``(state, index, entry)`` and returns
# ``Result[Answer, Refusal]``.  It must not change ``state`` if it refuses.
APPLY_FUNCTIONS = Registry()
applies = APPLY_FUNCTIONS.register


def refuse(code, message):
    """Return the refusal as an ``Err``."""
    return Err(Refusal(code, message))
