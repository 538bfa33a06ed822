"""Report of a load run: counts and latencies by rank, and write gap."""

import dataclasses

from hdrh.histogram import HdrHistogram

from waxwinglift_bench.request._payment import Outcome
from waxwinglift_bench.request._payment import StatementKind

HIGHEST_LATENCY_US = 120_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """Counts and latency percentiles of one rank."""

    rank: str
    statements_count: int
    acknowledged_writes_count: int
    reads_count: int
    stale_reads_count: int
    failed_count: int
    p50_ms: float
    p99_ms: float


def report_rank(rank, records):
    """Return the RankReport of one rank's records."""
    histogram = HdrHistogram(1, HIGHEST_LATENCY_US, 3)
    for record in records:
        histogram.record_value(max(1, int(record.latency_ms * 1000)))
    return RankReport(
        rank=rank,
        statements_count=len(records),
        acknowledged_writes_count=len(acknowledged_ids(records)),
        reads_count=_count_kind(records, StatementKind.READ),
        stale_reads_count=_count_outcome(records, Outcome.STALE_READ),
        failed_count=_count_outcome(records, Outcome.NOT_RUN)
        + _count_outcome(records, Outcome.UNKNOWN),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
    )


def _count_kind(records, kind):
    return sum(record.statement.kind is kind for record in records)


def _count_outcome(records, outcome):
    return sum(record.outcome is outcome for record in records)


def acknowledged_ids(records):
    """Return the ids of payments whose write was acknowledged."""
    return {
        record.statement.payment_id
        for record in records
        if record.statement.kind is StatementKind.WRITE
        and record.outcome is Outcome.ACKNOWLEDGED
    }


def unresolved_ids(records):
    """Return the ids of payments whose write has an unknown outcome."""
    return {
        record.statement.payment_id
        for record in records
        if record.statement.kind is StatementKind.WRITE
        and record.outcome is Outcome.UNKNOWN
    }


def write_gap_ms(records):
    """Return the longest time in ms between consecutive acknowledgements."""
    ends = sorted(
        record.started_ms + record.latency_ms
        for record in records
        if record.statement.kind is StatementKind.WRITE
        and record.outcome is Outcome.ACKNOWLEDGED
    )
    gaps = [after - before for before, after in zip(ends, ends[1:])]
    return max(gaps, default=0.0)


def format_report(records):
    """Return the table of all ranks as text, one row per rank."""
    by_rank = {}
    for record in records:
        by_rank.setdefault(record.statement.rank, []).append(record)
    lines = [
        f"{'rank':10} {'count':>6} {'writes':>7} {'reads':>6} "
        f"{'stale':>6} {'failed':>7} {'p50 ms':>8} {'p99 ms':>8}"
    ]
    for rank, rank_records in by_rank.items():
        row = report_rank(rank, rank_records)
        lines.append(
            f"{row.rank:10} {row.statements_count:6} "
            f"{row.acknowledged_writes_count:7} {row.reads_count:6} "
            f"{row.stale_reads_count:6} {row.failed_count:7} "
            f"{row.p50_ms:8.1f} {row.p99_ms:8.1f}"
        )
    return "\n".join(lines)
