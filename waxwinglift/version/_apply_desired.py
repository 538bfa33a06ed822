"""Apply function for the desired state, which operators send as a whole."""

from result import Ok

from waxwinglift.version._apply_registry import Applied
from waxwinglift.version._apply_registry import applies
from waxwinglift.version._apply_registry import RefusalCode
from waxwinglift.version._apply_registry import refuse
from waxwinglift.version._document_delta import apply_edits
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._fleet import DesiredState
from waxwinglift.version._fleet import Group
from waxwinglift.version._fleet import Pool
from waxwinglift.version._types import DesiredVersion
from waxwinglift.version._types import Fencing
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import LogIndex
from waxwinglift.version._types import TableVersion
from waxwinglift.version._types import Term


def desired_version(state):
    """Return the version of the desired state; 0 before the first."""
    if state.desired is None:
        return DesiredVersion(0)
    return state.desired.version


@applies(EntryKind.DESIRED_STATE_REPLACED)
def _apply_desired_state(state, index, entry):
    current_version = desired_version(state)
    if (
        entry.base_version != current_version
        or entry.version <= current_version
    ):
        message = (
            f"version {entry.version} based on {entry.base_version} does not"
            f" follow {current_version}"
        )
        return refuse(RefusalCode.WRONG_VERSION, message)
    current = state.desired
    try:
        document = apply_edits(
            current.document if current else (), entry.edits
        )
    except ValueError as error:
        return refuse(RefusalCode.BAD_DOCUMENT, str(error))
    names = set(current.pool_names) if current else set()
    for name in entry.removed_pools:
        if name in names:
            state.remove_pool(name)
            names.discard(name)
    for table in entry.pools:
        state.set_pool(table.pool, Pool(table, TableVersion(entry.version)))
        names.add(table.pool)
    for settings in entry.groups:
        _set_group(state, settings)
    for workspace in entry.removed_workspaces:
        state.remove_workspace(workspace)
    for settings in entry.workspaces:
        state.set_workspace(settings)
    state.desired = DesiredState(
        entry.version, document, frozenset(names), entry.limits
    )
    return Ok(Applied(index))


def _set_group(state, settings):
    group = state.groups.get(settings.group)
    if group is None:
        group = Group(
            group=settings.group,
            phase=GroupPhase.FORMING,
            size_count=0,
            term=Term(0),
            primary=None,
            raised_index=LogIndex(0),
            term_ends={},
            timelines={},
            fencing=Fencing.SERVER,
        )
        state.groups[settings.group] = group
    group.settings = settings
