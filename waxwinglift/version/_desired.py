"""Requests for a whole desired state and the changes that they cause.

An operator sends a whole state with a version number of its own.  The
highest version is in force; a lower or equal one changes nothing.
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
    """

    version: DesiredVersion
    document: tuple[str, ...]
    pools: tuple[PoolTable, ...]
    groups: tuple[GroupSettings, ...]
    limits: ServingLimits


def plan_replacement(
    fleet: FleetState, request: DesiredStateRequest
) -> DesiredStateReplaced | None:
    """Return the log entry that puts ``request`` into force.

    Returns
    -------
    DesiredStateReplaced or None
        None if the current state has this version or a higher one.
    """
    held_version = desired_version(fleet)
    if request.version <= held_version:
        return None
    held = fleet.desired
    held_names = held.pool_names if held else frozenset()
    wanted = {table.pool: table for table in request.pools}
    return DesiredStateReplaced(
        version=request.version,
        base_version=held_version,
        edits=diff_lines(held.document if held else (), request.document),
        pools=tuple(
            table
            for name, table in wanted.items()
            if not _holds(fleet, held_names, table)
        ),
        removed_pools=tuple(sorted(held_names - wanted.keys())),
        groups=request.groups,
        limits=request.limits,
    )


def _holds(fleet, held_names, table):
    if table.pool not in held_names:
        return False
    return fleet.pools[table.pool].table == table
