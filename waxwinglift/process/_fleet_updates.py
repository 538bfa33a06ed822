"""Applies the replies of a watch stream to a proxy's copy of the fleet."""

from collections.abc import Callable

from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process.rpc._convert import unpack_snapshot
from waxwinglift.version import LogIndex
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._apply import RefusalCode
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._view_age import ViewAge


class WatchError(Exception):
    """The watch stream ended or does not continue the applied state."""


class FleetUpdates:
    """Applies snapshots and entries in the order of the log.

    Parameters
    ----------
    view : FleetView
    view_age : ViewAge
    on_applied : callable
        Called after each change, with whether it was a snapshot.
    """

    def __init__(
        self,
        view: FleetView,
        view_age: ViewAge,
        on_applied: Callable[[bool], None],
    ):
        self._view = view
        self._view_age = view_age
        self._on_applied = on_applied

    def apply(self, reply):
        """Apply a `WatchReply` message.

        Raises
        ------
        WatchError
            An entry does not continue the applied state.
        ValueError
            The reply cannot be read.
        """
        if reply.snapshot:
            self._apply_snapshot(reply)
        if not reply.entries:
            return
        try:
            for offset, payload in enumerate(reply.entries):
                self._apply_entry(reply.first_index + offset, payload)
        finally:
            # The entries before one that cannot be read are in force.
            self._view_age.on_applied(self._view.applied_index)
            self._view.notify()
            self._on_applied(False)

    def _apply_snapshot(self, reply):
        # The applied state is never replaced by an older one.
        if reply.snapshot_index <= self._view.applied_index:
            return
        self._view.replace(decode_fleet(unpack_snapshot(reply.snapshot)))
        self._view_age.on_applied(self._view.applied_index)
        self._on_applied(True)

    def _apply_entry(self, index, payload):
        if index <= self._view.applied_index:
            return
        entry = decode_entry(payload)
        outcome = apply_entry(self._view.fleet, LogIndex(index), entry)
        if outcome.is_err():
            refusal = outcome.err_value
            if refusal.code is RefusalCode.WRONG_INDEX:
                raise WatchError(refusal.message)
