"""Order in which a proxy uses the control daemons."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

import xxhash

from waxwinglift.process._registry import Registry
from waxwinglift.process._types import Address
from waxwinglift.process._types import DaemonId
from waxwinglift.process._types import Location

# Time for which a nearer relay that has failed is not tried again.  It doubles
# with each failure, because a relay may grant leases and yet bring no entries.
_FIRST_DELAY_MS = 5_000.0
_DELAY_LIMIT_MS = 80_000.0


class Distance(enum.IntEnum):
    """Distance of a control daemon; the smaller one is preferred."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER = 2


# Functions that return the distance between two locations, by the value of
# `ProxySettings.relay_order`.
RELAY_ORDERS = Registry()

DistanceRule = Callable[[Location, Location | None], Distance]


@RELAY_ORDERS.register("hash")
def _ignore_location(own, relay):
    return Distance.OTHER


@RELAY_ORDERS.register("nearest")
def _find_distance(own, relay):
    """Return the distance; an unknown location counts as another region."""
    if relay is None or relay.region != own.region:
        return Distance.OTHER
    if relay.data_centre != own.data_centre:
        return Distance.SAME_REGION
    return Distance.SAME_DATA_CENTRE


def order_relays(daemon, addresses, distance=lambda address: Distance.OTHER):
    """Return control addresses, the daemon's preferred relay first.

    Rendezvous hashing spreads the proxies over the control daemons of equal
    distance without any coordination.
    """

    def weight(address):
        return xxhash.xxh64_intdigest(f"{daemon} {address}".encode())

    return sorted(addresses, key=lambda a: (distance(a), weight(a)))


@dataclasses.dataclass(slots=True)
class _Failure:
    """Last failure of a relay; it is not moved to before ``retry_ms``."""

    delay_ms: float
    retry_ms: float


class RelayOrder:
    """Chooses the control daemon that the proxy uses.

    The one in use is kept until it fails or a nearer one has been tried.

    Parameters
    ----------
    daemon : DaemonId
    location : Location
        Location of the proxy.
    rule : str
        Name in `RELAY_ORDERS`.
    addresses : iterable of Address
    """

    def __init__(
        self,
        daemon: DaemonId,
        location: Location,
        rule: str,
        addresses: Iterable[Address],
    ):
        self._daemon = daemon
        self._location = location
        self._rule: DistanceRule = RELAY_ORDERS[rule]
        self._locations: dict[Address, Location | None] = {}
        self._failures: dict[Address, _Failure] = {}
        self._sort(set(addresses))
        self._used_since_ms = 0.0

    @property
    def current(self) -> Address:
        """Relay in use."""
        return self._relays[0]

    def distance(self, address: Address) -> Distance:
        """Return the distance of a control daemon."""
        return self._rule(self._location, self._locations.get(address))

    def update(
        self,
        addresses: Iterable[Address],
        locations: Mapping[Address, Location | None],
    ):
        """Use other addresses; the current one stays in use if listed."""
        addresses = set(addresses)
        if addresses == set(self._relays) and locations == self._locations:
            return
        current = self.current
        self._locations = dict(locations)
        self._sort(addresses)
        self._failures = {
            address: failure
            for address, failure in self._failures.items()
            if address in addresses
        }
        if current in addresses:
            self._put_first(current)

    def fail(self, now_ms: float):
        """Use the next relay in place of the current one."""
        failed = self._relays.pop(0)
        self._relays.append(failed)
        self._record_failure(failed, now_ms, now_ms - self._used_since_ms)
        self._used_since_ms = now_ms

    def find_nearer(self, now_ms: float) -> Address | None:
        """Return a nearer relay that may be tried now, or None."""
        candidates = [
            address
            for address in self._relays
            if self.is_nearer(address) and self._may_try(address, now_ms)
        ]
        ordered = order_relays(self._daemon, candidates, self.distance)
        return ordered[0] if ordered else None

    def is_nearer(self, address: Address) -> bool:
        """Return whether a known relay is nearer than the current one."""
        is_known = address in self._relays
        return is_known and self.distance(address) < self.distance(
            self.current
        )

    def move_to(self, address: Address, now_ms: float):
        """Use a nearer relay that has been tried."""
        self._sort(self._relays)
        self._put_first(address)
        self._used_since_ms = now_ms

    def reject(self, address: Address, now_ms: float):
        """Record that a nearer relay was tried in vain."""
        self._record_failure(address, now_ms, 0.0)

    def _sort(self, addresses):
        self._relays = order_relays(self._daemon, addresses, self.distance)

    def _put_first(self, address):
        self._relays.remove(address)
        self._relays.insert(0, address)

    def _may_try(self, address, now_ms):
        failure = self._failures.get(address)
        return failure is None or now_ms >= failure.retry_ms

    def _record_failure(self, address, now_ms, used_ms):
        delay_ms = _FIRST_DELAY_MS
        known = self._failures.get(address)
        if known is not None and used_ms < known.delay_ms:
            delay_ms = min(2 * known.delay_ms, _DELAY_LIMIT_MS)
        self._failures[address] = _Failure(delay_ms, now_ms + delay_ms)
