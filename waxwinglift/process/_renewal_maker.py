"""Numbered renewals of a proxy's lease."""

import secrets
import time

from waxwinglift.process._types import DaemonId
from waxwinglift.process._types import Location
from waxwinglift.version._renewals import Renewal
from waxwinglift.version._types import Incarnation

_INCARNATION_BITS = 62


class RenewalMaker:
    """Makes the renewals of one process.

    Parameters
    ----------
    settings : ProxySettings
    view : FleetView
    reports : object
        Has ``down_endpoints()`` and ``released_endpoints()``.

    ``sequence`` is the number of the last renewal.
    """

    def __init__(self, settings, view, reports):
        self._settings = settings
        self._view = view
        self._reports = reports
        # Control ignores renewals whose sequence is lower than one it has
        # seen, also from an earlier run of the proxy.  The sequence starts at
        # the wall-clock time in milliseconds and is thus higher than before.
        self.sequence = int(time.time() * 1000)
        self._incarnation = Incarnation(secrets.randbits(_INCARNATION_BITS))

    def make(self, is_draining: bool, is_stopped: bool) -> Renewal:
        """Return the next renewal."""
        self.sequence += 1
        settings = self._settings
        location = settings.location
        return Renewal(
            daemon=DaemonId(settings.daemon),
            address=settings.peer_listen,
            location=Location(location.data_centre, location.region),
            applied_index=self._view.applied_index,
            sequence=self.sequence,
            is_draining=is_draining,
            is_stopped=is_stopped,
            down=self._reports.down_endpoints(),
            released=self._reports.released_endpoints(),
            incarnation=self._incarnation,
        )
