"""Follows the changes of an endpoint's owners."""

from waxwinglift.process._connection_budget import FormerOwner
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.version import EndpointId
from waxwinglift.version import Epoch
from waxwinglift.version import OwnerAssignment

_FIRST_EPOCH = Epoch(1)


class OwnerSuccession:
    """Tells whether an endpoint's former owner has released it.

    The assignment names a live former owner until it has released the
    endpoint or has left the fleet.  Control has it leave before the name is
    removed; so a former owner that stays in the fleet has released the
    endpoint.
    """

    def __init__(self):
        self.former_owner = FormerOwner.LOST
        # Whether the last update skipped an epoch.
        self.has_missed_changes = False
        self._assignment: OwnerAssignment | None = None
        self._former_record = None

    def update(self, view: FleetView, endpoint: EndpointId):
        """Observe the present assignment."""
        before, after = self._assignment, view.assignment(endpoint)
        self.has_missed_changes = (
            before is not None
            and after is not None
            and after.epoch > before.epoch + 1
        )
        if after == before:
            return
        self._assignment = after
        if after is None:
            self.former_owner = FormerOwner.LOST
        elif after.previous is not None:
            self.former_owner = FormerOwner.NAMED
            self._former_record = view.fleet.daemons.get(after.previous)
        elif after.epoch == _FIRST_EPOCH:
            self.former_owner = FormerOwner.ABSENT
        elif before is None or after.owner != before.owner:
            self.former_owner = FormerOwner.LOST
        elif self.has_missed_changes:
            self.former_owner = FormerOwner.LOST
        elif before.previous is not None:
            self.former_owner = self._find_outcome(view, before.previous)
        elif self.former_owner is FormerOwner.ABSENT:
            # A new standby owner has a predecessor.
            self.former_owner = FormerOwner.LOST

    def _find_outcome(self, view, former):
        # A proxy that leaves and joins again has another record.
        record = view.fleet.daemons.get(former)
        is_same = record is not None and record is self._former_record
        return FormerOwner.RELEASED if is_same else FormerOwner.LOST
