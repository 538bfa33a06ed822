"""Comparison of a rank's service at one endpoint with its floor share."""

import bisect
import dataclasses


@dataclasses.dataclass(slots=True)
class _QueuedRequest:
    arrival_ms: float
    deadline_ms: float
    slot_ms: float | None = None
    started_ms: float | None = None
    refused_ms: float | None = None


@dataclasses.dataclass(slots=True)
class ServicePeriod:
    """Slot time guaranteed to a rank and received by it in one period.

    Parameters
    ----------
    from_ms : float
        Start of the period.
    guaranteed_ms, received_ms : float
        Slot time according to the floor share, and slot time received.
    refused_count : int
        Requests that the endpoint's queue refused.
    """

    from_ms: float
    guaranteed_ms: float = 0.0
    received_ms: float = 0.0
    refused_count: int = 0

    @property
    def received_fraction(self):
        """Received fraction of the guarantee; 1 if nothing was refused."""
        if not self.refused_count or self.received_ms >= self.guaranteed_ms:
            return 1.0
        return self.received_ms / self.guaranteed_ms


class FloorShareTracker:
    """Compares the service of a rank at one endpoint with its floor share.

    The floor share of a rank is its guaranteed share of the endpoint's slots.
    The reference is a hypothetical server with that share of the slots, which
    serves the same requests in order of arrival and drops those that it
    cannot start by their deadline.  Each period in which it is continuously
    busy is evaluated separately: surplus service in one period does not
    compensate for missing service in another, and nothing is guaranteed
    without demand.

    In addition, the floor share is guaranteed during the wait of each request
    that the queue refused later than on arrival, regardless of the service
    before and after.
    """

    def __init__(self):
        self._requests = []
        self._pending = {}
        self._starts = []
        self._longest_ms = 0.0

    def record_enqueue(self, number, now_ms, deadline_ms):
        """Record a request that enters the queue."""
        self._pending[number] = _QueuedRequest(now_ms, deadline_ms)
        self._requests.append(self._pending[number])

    def record_start(self, number, slot_ms, now_ms):
        """Record that a request occupies a slot for ``slot_ms``."""
        self._starts.append((now_ms, slot_ms))
        self._longest_ms = max(self._longest_ms, slot_ms)
        request = self._pending.pop(number, None)
        if request is not None:
            request.slot_ms = slot_ms
            request.started_ms = now_ms

    def record_refusal(self, number, slot_ms, now_ms):
        """Record that the queue refused a request of ``slot_ms``."""
        request = self._pending.pop(number, None)
        if request is not None:
            request.slot_ms = slot_ms
            request.refused_ms = now_ms

    def periods(self, floor_slots, from_ms, until_ms, settled_ms):
        """Return the busy periods of the reference server in the window.

        A period that continues at ``until_ms`` is included up to its end.
        Work that starts after ``settled_ms`` counts neither as guaranteed nor
        as received.  Requests without an outcome, for example because their
        owner was cut off, are ignored.

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
        list of ServicePeriod
        """
        periods = []
        # Time at which the reference server has served all requests so far.
        free_ms = float("-inf")
        for request in self._requests:
            if request.slot_ms is None or request.arrival_ms >= settled_ms:
                continue
            if request.arrival_ms >= free_ms:
                if free_ms < from_ms:
                    periods = []
                if request.arrival_ms >= until_ms:
                    return periods
                periods.append(ServicePeriod(request.arrival_ms))
                free_ms = request.arrival_ms
            _add_request(periods[-1], request, free_ms, settled_ms)
            if free_ms <= request.deadline_ms:
                free_ms += request.slot_ms / floor_slots
        return periods if free_ms >= from_ms else []

    def waits(self, floor_slots, from_ms, until_ms):
        """Return the service during each wait that ended in a refusal.

        Statements count with the part of their slot time within the wait.
        The slot time of the refused request counts as received, because a
        slot cannot serve a part of a statement.

        Parameters
        ----------
        floor_slots : float
            Number of slots that the floor share corresponds to.
        from_ms, until_ms : float
            Refusals in this window count.

        Returns
        -------
        list of ServicePeriod
        """
        return [
            ServicePeriod(
                request.arrival_ms,
                (request.refused_ms - request.arrival_ms) * floor_slots,
                self._served_ms(request.arrival_ms, request.refused_ms)
                + request.slot_ms,
                1,
            )
            for request in self._requests
            if request.refused_ms is not None
            and request.refused_ms > request.arrival_ms
            and from_ms <= request.refused_ms < until_ms
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


def _add_request(period, request, free_ms, settled_ms):
    if free_ms <= min(request.deadline_ms, settled_ms):
        period.guaranteed_ms += request.slot_ms
    if request.started_ms is None:
        period.refused_count += 1
    elif request.started_ms < settled_ms:
        period.received_ms += request.slot_ms
