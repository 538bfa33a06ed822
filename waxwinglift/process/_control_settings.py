"""Settings of a control member's cores and the founding of a fleet."""

from waxwinglift.process._types import DaemonId
from waxwinglift.version._consensus_types import ConsensusSettings
from waxwinglift.version._control_core import ControlCoreSettings
from waxwinglift.version._leases import LeaseSettings


class EmptyFolderError(Exception):
    """The data folder of a known member is empty."""


def consensus_settings(settings):
    """Return the consensus settings of a control daemon."""
    return ConsensusSettings(member=DaemonId(settings.member))


def core_settings(settings):
    """Return the control core's settings of a control daemon."""
    return ControlCoreSettings(
        leases=LeaseSettings(lease_ms=settings.timing.lease_ms),
        tick_interval_ms=settings.timing.tick_interval_ms,
    )


def find_founders(settings, store, is_founding):
    """Return the members that found a new fleet, none for an existing one.

    A member that lost its disk has forgotten its votes, so an empty folder
    starts a fleet only when the operator says so.

    Raises
    ------
    EmptyFolderError
        The folder is empty, the member is not founding a fleet and
        ``settings.join`` is not set.
    """
    if not store.is_empty or settings.join:
        return ()
    if not is_founding:
        raise EmptyFolderError(
            f"{settings.data_folder}: no state of member {settings.member}; "
            "start a new fleet with --found, or replace a member that lost "
            "its disk: remove it, add it under a new name and set join = true"
        )
    return [(DaemonId(row.member), row.address) for row in settings.members]
