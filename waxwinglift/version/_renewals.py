"""Renewals of leases, as proxies send them."""

import dataclasses

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import Location
from waxwinglift.version._types import EndpointId
from waxwinglift.version._types import Incarnation
from waxwinglift.version._types import LogIndex
from waxwinglift.version._types import Term


@dataclasses.dataclass(frozen=True, slots=True)
class DownEndpoint:
    """An endpoint that a proxy reports down.

    ``term`` is the group's term that the proxy had applied when it probed;
    a report from before the last failover does not count.
    ``is_reachable`` is true for a primary that answers probes although no
    quorum confirms its writes.
    """

    endpoint: EndpointId
    term: Term
    is_reachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A proxy's request for a lease.

    Parameters
    ----------
    applied_index : LogIndex
        Last log entry that the proxy has applied.
    sequence : int
        Echoed in the answer, so that the proxy can look up its send time.
        Increases while the process runs.  A new process starts from its wall
        clock and is recognized by its ``incarnation``.
    is_draining, is_stopped : bool
        Whether the proxy is shutting down, and whether it is about to exit
        with all connections closed.
    down : tuple of DownEndpoint
        All endpoints that are down according to the proxy, among those of
        which it is owner or standby owner.
    incarnation : Incarnation
        Number drawn when the proxy's process started.
    released : tuple of EndpointId
        Endpoints whose assignment names the proxy as ``previous`` and to
        which it has no connections left.  Repeated until the assignment no
        longer names it.
    """

    daemon: DaemonId
    address: Address
    location: Location
    applied_index: LogIndex
    sequence: int
    is_draining: bool = False
    is_stopped: bool = False
    down: tuple[DownEndpoint, ...] = ()
    released: tuple[EndpointId, ...] = ()
    incarnation: Incarnation = Incarnation(0)
