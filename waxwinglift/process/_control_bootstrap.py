"""First state of a control member and the settings of its cores."""

from waxwinglift.process._types import DaemonId
from waxwinglift.version import FleetState
from waxwinglift.version import LogIndex
from waxwinglift.version._consensus_messages import ControlTerm
from waxwinglift.version._consensus_messages import MemberRole
from waxwinglift.version._consensus_messages import Snapshot
from waxwinglift.version._consensus_types import ConsensusSettings
from waxwinglift.version._consensus_types import Persist
from waxwinglift.version._control_core import ControlCoreSettings
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version._fleet import Member
from waxwinglift.version._leases import LeaseSettings

# The founding members start from the same snapshot at this index, so that the
# log itself needs no special first entry.
FOUNDING_INDEX = LogIndex(1)


def consensus_settings(settings):
    """Return the consensus settings of a control daemon."""
    return ConsensusSettings(member=DaemonId(settings.member))


def core_settings(settings):
    """Return the control core's settings of a control daemon."""
    return ControlCoreSettings(
        leases=LeaseSettings(lease_ms=settings.timing.lease_ms),
        tick_interval_ms=settings.timing.tick_interval_ms,
    )


def founding_snapshot(members):
    """Return the first snapshot of a fleet with the given members."""
    fleet = FleetState(index=FOUNDING_INDEX)
    for row in members:
        member = DaemonId(row.member)
        fleet.members[member] = Member(member, row.address, is_voter=True)
    return Snapshot(
        index=FOUNDING_INDEX,
        term=ControlTerm(0),
        members=tuple(MemberRole(m, True) for m in fleet.members),
        data=encode_fleet(fleet),
    )


class EmptyFolderError(Exception):
    """The data folder of a known member is empty."""


def load_or_found(settings, store, is_founding):
    """Return the stored state of a member.

    A member that lost its disk has forgotten its votes, so an empty folder
    starts a fleet only when the operator says so.

    Raises
    ------
    EmptyFolderError
        The folder is empty, the member is not founding a fleet and
        ``settings.join`` is not set.
    """
    if not store.is_empty or settings.join:
        return store.load()
    if not is_founding:
        raise EmptyFolderError(
            f"{settings.data_folder}: no state of member {settings.member}; "
            "start a new fleet with --found, or replace a member that lost "
            "its disk: remove it, add it under a new name and set join = true"
        )
    snapshot = founding_snapshot(settings.members)
    store.write(Persist(sequence=0, snapshot=snapshot))
    return store.load()


def fleet_of(state):
    """Return the fleet state that a stored state starts from."""
    if state.snapshot is None:
        return FleetState()
    return decode_fleet(state.snapshot.data)
