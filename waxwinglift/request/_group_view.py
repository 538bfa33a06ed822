"""View of a group for routing, derived from the fleet state."""

import dataclasses
from collections.abc import Mapping

from waxwinglift.process import DaemonId
from waxwinglift.version import EndpointId
from waxwinglift.version import EndpointRole
from waxwinglift.version import Epoch
from waxwinglift.version import GroupName
from waxwinglift.version import GroupPhase
from waxwinglift.version import Lsn
from waxwinglift.version import Term
from waxwinglift.version._fleet import accepts_requests
from waxwinglift.version._types import Fencing


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """Endpoint that may receive requests, with its owner.

    Parameters
    ----------
    endpoint : EndpointId
    role : EndpointRole
        PRIMARY only for the group's current primary.
    distance : int
        0 within the same data centre, 1 within the region, 2 beyond.
    slots_count : int
    owner : DaemonId or None
    epoch : Epoch
    standby : DaemonId or None
        Standby owner: the proxy that serves the endpoint while its owner is
        unreachable.
    """

    endpoint: EndpointId
    role: EndpointRole
    distance: int
    slots_count: int
    owner: DaemonId | None
    epoch: Epoch
    standby: DaemonId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupView:
    """Endpoints of one group that may receive requests.

    ``primary`` is None while the group does not accept writes.
    """

    group: GroupName
    phase: GroupPhase
    term: Term
    primary: EndpointView | None
    replicas: tuple[EndpointView, ...]
    term_ends: Mapping[Term, Lsn]
    fencing: Fencing = Fencing.LEASE


def build_group_view(fleet, group, location):
    """Return the view of ``group`` for a proxy at ``location``.

    Parameters
    ----------
    fleet : FleetState
    group : GroupName
    location : Location

    Returns
    -------
    GroupView or None
        None for an unknown group.
    """
    state = fleet.groups.get(group)
    if state is None:
        return None
    views = [
        _build_endpoint_view(fleet, state, endpoint, location)
        for endpoint in fleet.endpoints_of(group)
        if _is_usable(endpoint, state)
    ]
    primaries = [v for v in views if v.role is EndpointRole.PRIMARY]
    is_active = state.phase is GroupPhase.ACTIVE
    return GroupView(
        group=group,
        phase=state.phase,
        term=state.term,
        primary=primaries[0] if primaries and is_active else None,
        replicas=tuple(v for v in views if v.role is EndpointRole.REPLICA),
        term_ends=dict(state.term_ends),
        fencing=state.fencing,
    )


def _build_endpoint_view(fleet, group, endpoint, location):
    assignment = fleet.owners.get(endpoint.endpoint)
    is_primary = endpoint.endpoint == group.primary
    return EndpointView(
        endpoint=endpoint.endpoint,
        role=EndpointRole.PRIMARY if is_primary else EndpointRole.REPLICA,
        distance=_distance(endpoint.location, location),
        slots_count=endpoint.slots_count,
        owner=assignment.owner if assignment else None,
        epoch=assignment.epoch if assignment else Epoch(0),
        standby=assignment.standby if assignment else None,
    )


def _is_usable(endpoint, group):
    if not accepts_requests(endpoint, group):
        return False
    if group.is_server_fenced:
        # A replaced primary is safe as well: each read carries the position
        # that the server must have reached.
        return True
    # A replaced primary may contain writes that were discarded.
    is_replaced = endpoint.endpoint != group.primary
    return not (endpoint.role is EndpointRole.PRIMARY and is_replaced)


def _distance(first, second):
    if first.region != second.region:
        return 2
    return int(first.data_centre != second.data_centre)
