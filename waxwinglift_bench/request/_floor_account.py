"""Service that a rank received at one endpoint, compared with its floor."""

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
    """Slot time owed to a rank and given to it in one period.

    Parameters
    ----------
    from_ms : float
        Start of the period.
    owed_ms, given_ms : float
        Slot time according to the floor, and slot time received.
    lost_count : int
        Requests that the endpoint's queue refused.
    """

    from_ms: float
    owed_ms: float = 0.0
    given_ms: float = 0.0
    lost_count: int = 0

    @property
    def kept_fraction(self):
        """Fraction of the owed time that was given; 1 if nothing was lost."""
        if not self.lost_count or self.given_ms >= self.owed_ms:
            return 1.0
        return self.given_ms / self.owed_ms


class FloorAccount:
    """Requests of one rank that reached the queue of one endpoint.

    The floor of a rank is its guaranteed share of the endpoint's slots.  The
    reference is a hypothetical server with that share of the slots, which
    serves the same requests in order of arrival and drops those that it
    cannot start by their deadline.  Each period in which it is continuously
    busy is evaluated separately: surplus service in one period does not
    compensate for missing service in another, and nothing is owed without
    demand.

    In addition, the rank is owed its floor during each wait that ended at the
    deadline, regardless of the service before and after.
    """

    def __init__(self):
        self._offers = []
        self._pending = {}
        self._starts = []
        self._longest_ms = 0.0

    def record_offer(self, number, now_ms, deadline_ms):
        """Record a request that enters the queue."""
        self._pending[number] = _Offer(now_ms, deadline_ms)
        self._offers.append(self._pending[number])

    def record_start(self, number, slot_ms, now_ms):
        """Record that a request occupies a slot for ``slot_ms``."""
        self._starts.append((now_ms, slot_ms))
        self._longest_ms = max(self._longest_ms, slot_ms)
        offer = self._pending.pop(number, None)
        if offer is not None:
            offer.slot_ms = slot_ms
            offer.started_ms = now_ms

    def record_loss(self, number, slot_ms, now_ms):
        """Record that the queue refused a request of ``slot_ms``."""
        offer = self._pending.pop(number, None)
        if offer is not None:
            offer.slot_ms = slot_ms
            offer.lost_ms = now_ms

    def periods(self, floor_slots, from_ms, until_ms, settled_ms):
        """Return the busy periods of the reference server in the window.

        A period that continues at ``until_ms`` is included up to its end.
        Work that starts after ``settled_ms`` counts neither as owed nor as
        given.  Requests without an outcome, for example because their owner
        was cut off, are ignored.

        Parameters
        ----------
        floor_slots : float
            Number of slots of the reference server.
        from_ms, until_ms : float
            Start and end of the window.
        settled_ms : float
            Requests that arrive later may lack an outcome.

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

        Statements count with the part of their slot time within the wait.
        The lost request counts as given, because a slot cannot serve a part
        of a statement.

        Parameters
        ----------
        floor_slots : float
            Number of slots that the floor corresponds to.
        from_ms, until_ms : float
            Losses in this window count.

        Returns
        -------
        list of Service
        """
        return [
            Service(
                offer.arrival_ms,
                (offer.lost_ms - offer.arrival_ms) * floor_slots,
                self._served_ms(offer.arrival_ms, offer.lost_ms)
                + offer.slot_ms,
                1,
            )
            for offer in self._offers
            if offer.lost_ms is not None
            and offer.lost_ms > offer.arrival_ms
            and from_ms <= offer.lost_ms < until_ms
        ]

    def _served_ms(self, from_ms, until_ms):
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
