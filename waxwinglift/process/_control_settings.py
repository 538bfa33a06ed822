"""Settings of consensus and control core, and founders of a new fleet."""

from waxwinglift.process._types import DaemonId
from waxwinglift.process._types import DataCentre
from waxwinglift.process._types import Location
from waxwinglift.process._types import Region
from waxwinglift.version._consensus_types import ConsensusSettings
from waxwinglift.version._leases import LeaseSettings


class EmptyFolderError(Exception):
    """The data folder of an existing member is empty."""


def consensus_settings(settings):
    """Return the consensus settings of a control daemon."""
    timing = settings.timing
    return ConsensusSettings(
        member=DaemonId(settings.member),
        heartbeat_ms=timing.heartbeat_ms,
        check_quorum_ms=timing.check_quorum_ms,
        election_timeout_min_ms=timing.election_timeout_min_ms,
        election_timeout_max_ms=timing.election_timeout_max_ms,
    )


def core_settings(settings):
    """Return the control core's settings of a control daemon."""
    return settings.policy.model_copy(
        update={
            "leases": LeaseSettings(lease_ms=settings.timing.lease_ms),
            "tick_interval_ms": settings.timing.tick_interval_ms,
        }
    )


def find_founders(settings, store, is_founding):
    """Return the members that found a new fleet, none for an existing one.

    A member that lost its disk has no record of its votes, so it could vote
    twice in one term.  An empty folder therefore starts a new fleet only on
    the operator's request.

    Raises
    ------
    EmptyFolderError
        The folder is empty, the member is not founding a fleet and
        ``settings.join`` is not set.
    """
    if not store.is_empty or settings.join:
        return ()
    if settings.discovery is not None:
        return _find_founder(settings)
    if not is_founding:
        raise EmptyFolderError(
            f"{settings.data_folder}: no state of member {settings.member}; "
            "start a new fleet with --found, or replace a member that lost "
            "its disk: remove it, add it under a new name and set join = true"
        )
    return [
        (
            DaemonId(row.member),
            row.address,
            None if row.location is None else to_location(row.location),
        )
        for row in settings.members
    ]


def _find_founder(settings):
    """Return this member if it is the one that founds the group.

    A single daemon founds the group and the others join it, so that no
    second group can arise, whatever the order in which they start.
    """
    discovery = settings.discovery
    if not discovery.may_found or not discovery.seeds:
        return ()
    first = min(discovery.seeds, key=lambda seed: (seed.host, seed.port))
    if first != settings.listen:
        return ()
    location = to_location(settings.location)
    return [(DaemonId(settings.member), settings.listen, location)]


def to_location(settings):
    """Return the `Location` of `LocationSettings`."""
    return Location(DataCentre(settings.data_centre), Region(settings.region))
