"""Control log, the fleet state that it describes, and leader decisions.

Also the leases of the proxies and the changes of primary.
"""

from waxwinglift.version._entries import Entry
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._entries import OwnerAssignment
from waxwinglift.version._entries import PoolTable
from waxwinglift.version._entries import RankRow
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import EditId
from waxwinglift.version._types import EndpointId
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import Epoch
from waxwinglift.version._types import GroupName
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import LogIndex
from waxwinglift.version._types import Lsn
from waxwinglift.version._types import PoolName
from waxwinglift.version._types import Position
from waxwinglift.version._types import Rank
from waxwinglift.version._types import TableVersion
from waxwinglift.version._types import Term
from waxwinglift.version._types import Timeline
from waxwinglift.version._types import ZERO_POSITION

__all__ = [
    "ZERO_POSITION",
    "EditId",
    "EndpointId",
    "EndpointRole",
    "EndpointState",
    "Entry",
    "EntryKind",
    "Epoch",
    "FleetState",
    "GroupName",
    "GroupPhase",
    "LogIndex",
    "Lsn",
    "OwnerAssignment",
    "PoolName",
    "PoolTable",
    "Position",
    "Rank",
    "RankRow",
    "TableVersion",
    "Term",
    "Timeline",
]
