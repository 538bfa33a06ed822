"""Load and lag of endpoints, as their owners report them."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from waxwinglift.version import EndpointId
from waxwinglift.version import Position

# Age above which a record counts as none.  Queues are refilled within the
# time limits of the requests, 1000 ms and more.
_AGE_LIMIT_MS = 2000.0
# The same for a long lag, which can last for 30 s.  Without newer records,
# each proxy then asks the replica once in this time.
_LAG_AGE_LIMIT_MS = 5000.0
# The same for a usual lag, whose end is not reported.
_USUAL_LAG_AGE_LIMIT_MS = 500.0
# Values below twice these are usual and are not reported: the execution of one
# statement, and the usual lag between regions.
_WAIT_UNIT_MS = 50.0
_LAG_UNIT_MS = 250.0
_FAILURE_UNIT = 0.1
# A value is reported again once it has changed by this factor.
_NOTABLE_FACTOR = 2.0
# Longest lag that is usual.
USUAL_LAG_MS = _NOTABLE_FACTOR * _LAG_UNIT_MS
# Lag that a refusal has reported and whose end is reported too.
_REPORTED_LAG_MS = 100.0
# Longest time after which a value that is not normal is reported again; half
# of the age limit, so that a proxy with regular answers always has one.
_REPEAT_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load and lag of one endpoint at one moment.

    Parameters
    ----------
    endpoint : EndpointId
    observed_ms : float
        Time of the observation on the clock of this process.
    slots_count, running_count : int
    expected_wait_ms : float
        Expected wait of a new read for a slot.
    position : Position or None
    lag_ms : float
        Age of the data; 0 at a primary, and where it is not known.
    failure_ratio : float
    """

    endpoint: EndpointId
    observed_ms: float
    slots_count: int
    running_count: int
    expected_wait_ms: float
    position: Position | None = None
    lag_ms: float = 0.0
    failure_ratio: float = 0.0

    @property
    def has_free_slot(self) -> bool:
        """Whether a new statement would start at once."""
        is_free = self.running_count < self.slots_count
        return is_free and not self.expected_wait_ms

    @property
    def is_normal(self) -> bool:
        """Whether nothing about the endpoint is worth a report."""
        return not any(
            _is_notable_change(0.0, value, unit)
            for value, unit in _values(self)
        )


def is_notable_change(old: EndpointLoad | None, new: EndpointLoad) -> bool:
    """Return whether a peer that knows ``old`` needs ``new``.

    A peer without a record assumes normal values.
    """
    if old is None:
        return not new.is_normal
    if _REPORTED_LAG_MS <= old.lag_ms >= _NOTABLE_FACTOR * new.lag_ms:
        return True
    pairs = zip(_values(old), _values(new), strict=True)
    return any(
        _is_notable_change(old_value, new_value, unit)
        for (old_value, unit), (new_value, _) in pairs
    )


class LoadBook:
    """Latest known load of each endpoint, kept by each process.

    Parameters
    ----------
    find_own : callable
        Returns the present `EndpointLoad` of an endpoint that this process
        owns, or None.
    """

    def __init__(
        self,
        find_own: Callable[[EndpointId], EndpointLoad | None] = lambda _: None,
    ):
        self.find_own = find_own
        self._loads: dict[EndpointId, EndpointLoad] = {}

    def record(self, loads: Iterable[EndpointLoad]):
        """Store records; older ones than those known are ignored."""
        for load in loads:
            known = self._loads.get(load.endpoint)
            if known is None or known.observed_ms <= load.observed_ms:
                self._loads[load.endpoint] = load

    def find(self, endpoint: EndpointId, now_ms: float) -> EndpointLoad | None:
        """Return the load of an endpoint, None if nothing recent is known."""
        return self._find(endpoint, now_ms, _AGE_LIMIT_MS)

    def lag_ms(self, endpoint: EndpointId, now_ms: float) -> float | None:
        """Return the expected lag of an endpoint, or None if not known.

        A replica with a long lag probably still does not apply commits, so
        its data has grown older since the record.
        """
        load = self._find(endpoint, now_ms, _LAG_AGE_LIMIT_MS)
        if load is None:
            return None
        age_ms = now_ms - load.observed_ms
        if load.lag_ms >= USUAL_LAG_MS:
            return load.lag_ms + min(_REPEAT_MS, age_ms)
        return load.lag_ms if age_ms <= _USUAL_LAG_AGE_LIMIT_MS else None

    def _find(self, endpoint, now_ms, limit_ms):
        own = self.find_own(endpoint)
        if own is not None:
            return own
        load = self._loads.get(endpoint)
        if load is None or now_ms - load.observed_ms > limit_ms:
            return None
        return load


class LoadReports:
    """Chooses the records that one other proxy gets.

    A proxy gets a record when it has changed notably since the last one, and
    once a second while it is not normal.
    """

    def __init__(self):
        # Last record that was sent, and when.
        self._sent: dict[EndpointId, tuple[EndpointLoad, float]] = {}

    def select(
        self,
        loads: Iterable[EndpointLoad],
        now_ms: float,
        required: Iterable[EndpointId] = (),
    ) -> tuple[EndpointLoad, ...]:
        """Return the records to send now; they count as sent.

        Parameters
        ----------
        loads : iterable of EndpointLoad
        now_ms : float
        required : iterable of EndpointId
            Endpoints whose records are sent in any case.
        """
        selected = tuple(
            load
            for load in loads
            if load.endpoint in required or self._is_due(load, now_ms)
        )
        for load in selected:
            self._sent[load.endpoint] = (load, now_ms)
        return selected

    def _is_due(self, load, now_ms):
        old, sent_ms = self._sent.get(load.endpoint, (None, 0.0))
        if old is not None and load.observed_ms <= old.observed_ms:
            return False
        if is_notable_change(old, load):
            return True
        return not load.is_normal and now_ms - sent_ms >= _REPEAT_MS


def _values(load):
    """Return the values that matter to a choice, with their units."""
    return (
        (load.expected_wait_ms, _WAIT_UNIT_MS),
        (load.lag_ms, _LAG_UNIT_MS),
        (load.failure_ratio, _FAILURE_UNIT),
    )


def _is_notable_change(old, new, unit):
    low, high = sorted((max(old, unit), max(new, unit)))
    return high >= _NOTABLE_FACTOR * low
