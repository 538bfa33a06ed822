"""Application of committed log entries to the fleet state.

Control members and daemons run the same functions on the same entries in the
same order, so their states stay equal.  An entry that contradicts the state
is refused on every replica and only advances the applied index.
"""

from result import Ok
from result import Result

from waxwinglift.version import _apply_daemons
from waxwinglift.version import _apply_desired
from waxwinglift.version import _apply_groups
from waxwinglift.version._apply_registry import Answer
from waxwinglift.version._apply_registry import Applied
from waxwinglift.version._apply_registry import applies
from waxwinglift.version._apply_registry import APPLY_FUNCTIONS
from waxwinglift.version._apply_registry import Refusal
from waxwinglift.version._apply_registry import RefusalCode
from waxwinglift.version._apply_registry import refuse
from waxwinglift.version._entries import Entry
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import LogIndex

# Modules whose import fills the registry.
APPLY_MODULES = (_apply_daemons, _apply_desired, _apply_groups)


def apply_entry(
    state: FleetState, index: LogIndex, entry: Entry
) -> Result[Answer, Refusal]:
    """Apply the entry at ``index`` to ``state`` in place.

    Parameters
    ----------
    state : FleetState
        Its index must be ``index - 1``.  Any other index is refused and
        leaves the state unchanged, so that no entry is skipped or applied
        twice.
    index : LogIndex
    entry : Entry

    Returns
    -------
    Result[Answer, Refusal]
        ``state.index`` advances in either case, except for WRONG_INDEX.
    """
    if index != state.index + 1:
        message = f"index {index} does not follow {state.index}"
        return refuse(RefusalCode.WRONG_INDEX, message)
    outcome = APPLY_FUNCTIONS[entry.kind](state, index, entry)
    state.index = index
    return outcome


@applies(EntryKind.NO_OPERATION)
def _apply_no_operation(state, index, entry):
    return Ok(Applied(index))
