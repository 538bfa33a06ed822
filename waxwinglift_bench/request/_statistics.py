"""Statistics of one simulation run, by rank."""

import collections
import dataclasses

from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift_bench.request._floor_share_tracker import FloorShareTracker


@dataclasses.dataclass(slots=True)
class RankStatistics:
    """Request counts and latencies of one rank, measured at the callers.

    ``answered_count`` includes the ``late_count`` answers that came after
    their deadline.
    """

    offered_count: int = 0
    answered_count: int = 0
    refused_count: int = 0
    unknown_count: int = 0
    late_count: int = 0
    latencies_ms: list[float] = dataclasses.field(default_factory=list)

    @property
    def missed_count(self):
        """Requests that were not answered by their deadline."""
        return self.offered_count - self.answered_count + self.late_count


class RunStatistics:
    """Collects the outcomes of requests that arrive in a time window.

    Parameters
    ----------
    from_ms, until_ms : float
        Start and end of the window.
    transfer_ms : float
        Time for which a slot stays in use while a statement and its answer
        are in transit.
    tail_ms : float
        Time for which the run continues after the window.
    """

    def __init__(self, from_ms, until_ms, transfer_ms=0.0, tail_ms=0.0):
        self.from_ms = from_ms
        self.until_ms = until_ms
        self.transfer_ms = transfer_ms
        self.tail_ms = tail_ms
        self.ranks = collections.defaultdict(RankStatistics)
        self.replica_read_count = 0
        self.read_count = 0
        self.reads_below_floor_count = 0
        self.arrival_refusal_count = 0
        self.trackers = collections.defaultdict(FloorShareTracker)
        self.execution_ms = collections.Counter()

    def record_arrival(self, request):
        """Count a request sent by a caller."""
        if self._is_in_window(request.arrival_ms):
            self.ranks[request.rank].offered_count += 1

    def record_enqueue(self, endpoint, request, now_ms):
        """Record a request that enters the queue of an endpoint."""
        tracker = self.trackers[(endpoint, request.rank)]
        tracker.record_enqueue(request.number, now_ms, request.deadline_ms)

    def record_refusal(self, endpoint, request, service_ms, now_ms):
        """Record a request that the queue refused on arrival or later."""
        tracker = self.trackers[(endpoint, request.rank)]
        slot_ms = service_ms + self.transfer_ms
        tracker.record_refusal(request.number, slot_ms, now_ms)

    def record_start(self, endpoint, request, service_ms, now_ms):
        """Record the start of a statement and its execution time."""
        tracker = self.trackers[(endpoint, request.rank)]
        slot_ms = service_ms + self.transfer_ms
        tracker.record_start(request.number, slot_ms, now_ms)
        if self._is_in_window(now_ms):
            self.execution_ms[(endpoint, request.rank)] += service_ms

    def record_arrival_refusals(self, count, now_ms):
        """Count requests that a queue refused on arrival."""
        if self._is_in_window(now_ms):
            self.arrival_refusal_count += count

    def record_outcome(self, request, outcome, now_ms):
        """Record the end of a request at its caller."""
        if not self._is_in_window(request.arrival_ms):
            return
        rank_statistics = self.ranks[request.rank]
        if outcome.failure is not None:
            self._record_failure(rank_statistics, outcome.failure)
            return
        rank_statistics.answered_count += 1
        rank_statistics.late_count += now_ms > request.deadline_ms
        rank_statistics.latencies_ms.append(now_ms - request.arrival_ms)
        if not request.is_write:
            self.read_count += 1
            self.replica_read_count += outcome.by_replica

    def record_read_position(self, request, position):
        """Count a read whose position is below the floor of its session.

        Reads with bounded staleness are not counted.
        """
        if request.max_age_ms is None and request.floor is not None:
            self.reads_below_floor_count += position < request.floor

    def replica_percent(self):
        """Return the percentage of reads served by replicas."""
        return 100.0 * self.replica_read_count / max(1, self.read_count)

    def goodput_per_s(self, rank):
        """Return the answers per second that met their deadline."""
        rank_statistics = self.ranks[rank]
        count = rank_statistics.answered_count - rank_statistics.late_count
        return 1000.0 * count / (self.until_ms - self.from_ms)

    def percentile_ms(self, rank, percent):
        """Return a latency percentile of a rank's answers."""
        ordered = sorted(self.ranks[rank].latencies_ms)
        if not ordered:
            return float("nan")
        index = min(len(ordered) - 1, int(len(ordered) * percent / 100.0))
        return ordered[index]

    def share_percent(self, rank):
        """Return the rank's percentage of the execution time of all ranks."""
        total_ms = sum(self.execution_ms.values())
        rank_ms = sum(
            service_ms
            for (_, other_rank), service_ms in self.execution_ms.items()
            if other_rank == rank
        )
        return 100.0 * rank_ms / max(1.0, total_ms)

    def floor_share_received_percent(self, row, slots_count):
        """Return the lowest percentage of its floor share a rank received.

        The minimum covers all endpoints, each busy period of the reference
        server and each wait of a refused request (see `FloorShareTracker`).
        """
        periods = self.periods_with_refusals(row, slots_count)
        return 100.0 * min([1.0, *(p.received_fraction for _, p in periods)])

    def periods_with_refusals(self, row, slots_count):
        """Return (endpoint, `ServicePeriod`) of periods with refusals."""
        floor_slots = slots_count * row.floor_percent / 100.0
        if floor_slots <= 0:
            return []
        window = (floor_slots, self.from_ms, self.until_ms)
        settled_ms = self.until_ms + max(0.0, self.tail_ms - row.deadline_ms)
        return [
            (endpoint, service)
            for (endpoint, rank), tracker in self.trackers.items()
            if rank == row.rank
            for service in [
                *tracker.periods(*window, settled_ms),
                *tracker.waits(*window),
            ]
            if service.refused_count
        ]

    def _is_in_window(self, time_ms):
        return self.from_ms <= time_ms < self.until_ms

    def _record_failure(self, rank_statistics, failure):
        if failure.code is FailureCode.REJECTED:
            rank_statistics.refused_count += 1
        if failure.verdict is Verdict.MAY_HAVE_RUN:
            rank_statistics.unknown_count += 1
