"""What a rank got of its floor at one endpoint, against a reserved part."""

import bisect
import dataclasses


@dataclasses.dataclass(slots=True)
class _Offer:
    arrival_ms: float
    deadline_ms: float
    slot_ms: float | None = None
    started_ms: float | None = None
    lost_ms: float | None = None


@dataclasses.dataclass(slots=True)
class Service:
    """Slot time that a rank was owed and given over some time.

    Parameters
    ----------
    from_ms : float
    owed_ms, given_ms : float
    lost_count : int
        Requests that the endpoint's queue refused.
    """

    from_ms: float
    owed_ms: float = 0.0
    given_ms: float = 0.0
    lost_count: int = 0

    @property
    def kept_fraction(self):
        """Part of the owed time that was given; 1 when nothing was lost."""
        if not self.lost_count or self.given_ms >= self.owed_ms:
            return 1.0
        return self.given_ms / self.owed_ms


class FloorAccount:
    """Requests of one rank that reached the queue of one endpoint.

    The reference is a reserved part of the endpoint, of the size of the
    floor, that takes the same requests in order of arrival and drops those
    that it cannot start by their deadline.  Each period in which it always
    has work is judged alone: service beyond the floor in one period does not
    make up for missing service in another, and no service is owed at times
    without demand.

    In addition the rank is owed its floor during each wait that ended at the
    deadline, however much it got before and after.
    """

    def __init__(self):
        self._offers = []
        self._pending = {}
        self._starts = []
        self._longest_ms = 0.0

    def offer(self, number, now_ms, deadline_ms):
        """Add a request that reaches the queue."""
        self._pending[number] = _Offer(now_ms, deadline_ms)
        self._offers.append(self._pending[number])

    def start(self, number, slot_ms, now_ms):
        """Record that a request takes a slot for ``slot_ms``."""
        self._starts.append((now_ms, slot_ms))
        self._longest_ms = max(self._longest_ms, slot_ms)
        offer = self._pending.pop(number, None)
        if offer is not None:
            offer.slot_ms = slot_ms
            offer.started_ms = now_ms

    def lose(self, number, slot_ms, now_ms):
        """Record that the queue refused a request of ``slot_ms``."""
        offer = self._pending.pop(number, None)
        if offer is not None:
            offer.slot_ms = slot_ms
            offer.lost_ms = now_ms

    def periods(self, floor_slots, from_ms, until_ms, settled_ms):
        """Return the periods of the reserved part that lie in the window.

        A period that goes on at ``until_ms`` is followed to its end.  Work
        that starts after ``settled_ms`` counts on neither side.  A request
        without an outcome, as when its owner is cut off, is left out.

        Parameters
        ----------
        floor_slots : float
            Size of the reserved part.
        from_ms, until_ms : float
            The window.
        settled_ms : float
            Requests that arrived before had time for their outcome.

        Returns
        -------
        list of Service
        """
        periods = []
        free_ms = float("-inf")
        for offer in self._offers:
            if offer.slot_ms is None or offer.arrival_ms >= settled_ms:
                continue
            if offer.arrival_ms >= free_ms:
                if free_ms < from_ms:
                    periods = []
                if offer.arrival_ms >= until_ms:
                    return periods
                periods.append(Service(offer.arrival_ms))
                free_ms = offer.arrival_ms
            _add(periods[-1], offer, free_ms, settled_ms)
            if free_ms <= offer.deadline_ms:
                free_ms += offer.slot_ms / floor_slots
        return periods if free_ms >= from_ms else []

    def waits(self, floor_slots, from_ms, until_ms):
        """Return the service during each wait that ended at the deadline.

        Statements count for the part of their slot time within the wait.
        The lost request counts as given: a slot cannot give a part of a
        statement.

        Parameters
        ----------
        floor_slots : float
        from_ms, until_ms : float
            Bounds of the losses that count.

        Returns
        -------
        list of Service
        """
        return [
            Service(
                offer.arrival_ms,
                (offer.lost_ms - offer.arrival_ms) * floor_slots,
                self._held_ms(offer.arrival_ms, offer.lost_ms) + offer.slot_ms,
                1,
            )
            for offer in self._offers
            if offer.lost_ms is not None
            and offer.lost_ms > offer.arrival_ms
            and from_ms <= offer.lost_ms < until_ms
        ]

    def _held_ms(self, from_ms, until_ms):
        earliest = (from_ms - self._longest_ms, 0.0)
        first = bisect.bisect_left(self._starts, earliest)
        last = bisect.bisect_left(self._starts, (until_ms, 0.0))
        return sum(
            max(
                0.0,
                min(started_ms + slot_ms, until_ms) - max(started_ms, from_ms),
            )
            for started_ms, slot_ms in self._starts[first:last]
        )


def _add(period, offer, free_ms, settled_ms):
    if free_ms <= min(offer.deadline_ms, settled_ms):
        period.owed_ms += offer.slot_ms
    if offer.started_ms is None:
        period.lost_count += 1
    elif offer.started_ms < settled_ms:
        period.given_ms += offer.slot_ms
