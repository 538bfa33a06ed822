"""Verdicts that callers received, and checks against the server logs."""

import collections
import dataclasses

from waxwinglift.request._floors import advance_floor


@dataclasses.dataclass(slots=True)
class Violations:
    """Number of failed checks of each kind in one run.

    Parameters
    ----------
    lost_count : int
        Acknowledged writes that are not in the log of the final primary.
    doubled_count : int
        Writes that are in the log more than once, or that are in the log
        although they were reported as not run.
    late_count : int
        Writes acknowledged after the primary of a later term became active.
    stale_reads_count : int
        Reads that lack an earlier write of their session.
    """

    lost_count: int = 0
    doubled_count: int = 0
    late_count: int = 0
    stale_reads_count: int = 0

    @property
    def count(self):
        """Total number of violations."""
        return sum(dataclasses.astuple(self))


class VerdictLog:
    """Verdict of each write, and when the primary of each term became active.

    A write is a pair of caller name and sequence number.
    """

    def __init__(self):
        self.acknowledged = {}
        self.not_run_writes = {}
        self.floors = {}
        self.acknowledged_by_caller = collections.defaultdict(set)
        self.active_since_ms = {}
        self.last_acknowledged_ms = 0.0
        self.violations = Violations()

    def record(self, write, verdict, position, now_ms):
        """Record the verdict that a caller receives for a write."""
        self.not_run_writes[write] = verdict == "not_run"
        if verdict != "ok":
            return
        caller, _ = write
        self.acknowledged[write] = position
        self.acknowledged_by_caller[caller].add(write)
        floor = self.floors.get(caller)
        self.floors[caller] = advance_floor(floor, position)
        self.last_acknowledged_ms = now_ms
        if any(term > position.term for term in self.active_since_ms):
            self.violations.late_count += 1

    def record_active(self, term, now_ms):
        """Record when a term's primary was first committed as active."""
        self.active_since_ms.setdefault(term, now_ms)

    def check_read(self, expected, data):
        """Check that a read returned all earlier writes of its session."""
        if not expected <= set(data):
            self.violations.stale_reads_count += 1

    def check_log(self, log):
        """Compare the log of the final primary with the recorded verdicts."""
        counts = collections.Counter(log)
        violations = self.violations
        violations.lost_count += sum(
            w not in counts for w in self.acknowledged
        )
        violations.doubled_count += sum(n > 1 for n in counts.values())
        violations.doubled_count += sum(
            is_not_run and write in counts
            for write, is_not_run in self.not_run_writes.items()
        )
