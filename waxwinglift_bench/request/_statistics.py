"""Figures of one run, by rank."""

import collections
import dataclasses

from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift_bench.request._floor_account import FloorAccount


@dataclasses.dataclass(slots=True)
class RankFigures:
    """Counts and latencies of one rank at the callers."""

    offered_count: int = 0
    answered_count: int = 0
    refused_count: int = 0
    unknown_count: int = 0
    late_count: int = 0
    latencies_ms: list[float] = dataclasses.field(default_factory=list)

    @property
    def missed_count(self):
        """Requests without an answer within the deadline."""
        return self.offered_count - self.answered_count + self.late_count


class RunStatistics:
    """Collects the outcomes of requests that arrive in the window."""

    def __init__(self, from_ms, until_ms, transfer_ms=0.0, tail_ms=0.0):
        self.from_ms = from_ms
        self.until_ms = until_ms
        # A slot is held while a statement and its answer are on the way.
        self.transfer_ms = transfer_ms
        self.tail_ms = tail_ms
        self.ranks = collections.defaultdict(RankFigures)
        self.replica_read_count = 0
        self.read_count = 0
        self.floor_violation_count = 0
        self.early_refusal_count = 0
        self.accounts = collections.defaultdict(FloorAccount)
        self.used_ms = collections.Counter()

    def record_arrival(self, request):
        """Count a request that a caller sends."""
        if self._is_inside(request.arrival_ms):
            self.ranks[request.rank].offered_count += 1

    def record_offer(self, endpoint, request, now_ms):
        """Add a request that reaches the queue of an endpoint."""
        account = self.accounts[(endpoint, request.rank)]
        account.offer(request.number, now_ms, request.deadline_ms)

    def record_loss(self, endpoint, request, service_ms, now_ms):
        """Add work that a queue refused, early or at its deadline."""
        account = self.accounts[(endpoint, request.rank)]
        slot_ms = service_ms + self.transfer_ms
        account.lose(request.number, slot_ms, now_ms)

    def record_run(self, endpoint, request, service_ms, now_ms):
        """Add the time that a statement takes."""
        account = self.accounts[(endpoint, request.rank)]
        slot_ms = service_ms + self.transfer_ms
        account.start(request.number, slot_ms, now_ms)
        if self._is_inside(now_ms):
            self.used_ms[(endpoint, request.rank)] += service_ms

    def record_refusals(self, count, now_ms):
        """Count refusals on arrival at a queue."""
        if self._is_inside(now_ms):
            self.early_refusal_count += count

    def record(self, request, outcome, now_ms):
        """Record the end of a request at its caller."""
        if not self._is_inside(request.arrival_ms):
            return
        figures = self.ranks[request.rank]
        if outcome.failure is not None:
            self._record_failure(figures, outcome.failure)
            return
        figures.answered_count += 1
        figures.late_count += now_ms > request.deadline_ms
        figures.latencies_ms.append(now_ms - request.arrival_ms)
        if not request.is_write:
            self.read_count += 1
            self.replica_read_count += outcome.by_replica

    def record_read(self, request, position):
        """Check a read that runs against the floor of its session."""
        if request.max_age_ms is None and request.floor is not None:
            self.floor_violation_count += position < request.floor

    def replica_percent(self):
        """Return the share of reads that replicas served."""
        return 100.0 * self.replica_read_count / max(1, self.read_count)

    def goodput_per_s(self, rank):
        """Return the answers in time per second."""
        figures = self.ranks[rank]
        count = figures.answered_count - figures.late_count
        return 1000.0 * count / (self.until_ms - self.from_ms)

    def percentile_ms(self, rank, percent):
        """Return a percentile of the latency of a rank's answers."""
        ordered = sorted(self.ranks[rank].latencies_ms)
        if not ordered:
            return float("nan")
        index = min(len(ordered) - 1, int(len(ordered) * percent / 100.0))
        return ordered[index]

    def share_percent(self, rank):
        """Return the rank's share of the slot time that was used."""
        total_ms = sum(self.used_ms.values())
        used_ms = sum(
            service_ms
            for (_, used_rank), service_ms in self.used_ms.items()
            if used_rank == rank
        )
        return 100.0 * used_ms / max(1.0, total_ms)

    def floor_kept_percent(self, row, slots_count):
        """Return the least part of its floor that a rank got anywhere.

        `FloorAccount` states what a rank is owed at each endpoint, in each
        period of continuous demand and while a lost request waits.
        """
        losses = self.floor_losses(row, slots_count)
        return 100.0 * min([1.0, *(loss.kept_fraction for _, loss in losses)])

    def floor_losses(self, row, slots_count):
        """Return (endpoint, `Service`) for each time that lost work."""
        floor_slots = slots_count * row.floor_percent / 100.0
        if floor_slots <= 0:
            return []
        window = (floor_slots, self.from_ms, self.until_ms)
        settled_ms = self.until_ms + max(0.0, self.tail_ms - row.deadline_ms)
        return [
            (endpoint, service)
            for (endpoint, rank), account in self.accounts.items()
            if rank == row.rank
            for service in [
                *account.periods(*window, settled_ms),
                *account.waits(*window),
            ]
            if service.lost_count
        ]

    def _is_inside(self, time_ms):
        return self.from_ms <= time_ms < self.until_ms

    def _record_failure(self, figures, failure):
        if failure.code is FailureCode.REJECTED:
            figures.refused_count += 1
        if failure.verdict is Verdict.MAY_HAVE_RUN:
            figures.unknown_count += 1
