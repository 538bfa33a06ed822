"""Requests for a desired state and the changes that they cause.

An operator sends the desired state of all groups and pools at once, with a
version number of its own.  The highest version is in force; a lower or equal
one changes nothing.
"""

import dataclasses

from waxwinglift.version._apply_desired import desired_version
from waxwinglift.version._document_delta import diff_lines
from waxwinglift.version._entries import DesiredStateReplaced
from waxwinglift.version._entries import GroupSettings
from waxwinglift.version._entries import PoolTable
from waxwinglift.version._entries import ServingLimits
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import DesiredVersion
from waxwinglift.version._workspaces import WorkspaceSettings


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredStateRequest:
    """A validated desired state as sent by an operator.

    Parameters
    ----------
    version : DesiredVersion
    document : tuple of str
        Lines of the operator's document, which is returned on request.
    pools : tuple of PoolTable
    groups : tuple of GroupSettings
    limits : ServingLimits
    workspaces : tuple of WorkspaceSettings
    """

    version: DesiredVersion
    document: tuple[str, ...]
    pools: tuple[PoolTable, ...]
    groups: tuple[GroupSettings, ...]
    limits: ServingLimits
    workspaces: tuple[WorkspaceSettings, ...] = ()


def plan_replacement(
    fleet: FleetState, request: DesiredStateRequest
) -> DesiredStateReplaced | None:
    """Return the log entry that puts ``request`` into force.

    Returns
    -------
    DesiredStateReplaced or None
        None if the current state has this version or a higher one.
    """
    current_version = desired_version(fleet)
    if request.version <= current_version:
        return None
    current = fleet.desired
    current_names = current.pool_names if current else frozenset()
    requested = {table.pool: table for table in request.pools}
    workspaces = {
        settings.workspace: settings for settings in request.workspaces
    }
    return DesiredStateReplaced(
        version=request.version,
        base_version=current_version,
        edits=diff_lines(
            current.document if current else (), request.document
        ),
        pools=tuple(
            table
            for name, table in requested.items()
            if not _is_unchanged(fleet, current_names, table)
        ),
        removed_pools=tuple(sorted(current_names - requested.keys())),
        groups=request.groups,
        limits=request.limits,
        workspaces=tuple(
            settings
            for name, settings in workspaces.items()
            if fleet.workspaces.get(name) != settings
        ),
        removed_workspaces=tuple(
            sorted(fleet.workspaces.keys() - workspaces.keys())
        ),
    )


def _is_unchanged(fleet, current_names, table):
    if table.pool not in current_names:
        return False
    return fleet.pools[table.pool].table == table
