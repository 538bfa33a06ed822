"""What callers were told, and the checks against what the servers hold."""

import collections
import dataclasses

from waxwinglift.request._floors import advance_floor


@dataclasses.dataclass(slots=True)
class Violations:
    """Broken promises of one run."""

    lost_count: int = 0
    doubled_count: int = 0
    late_count: int = 0
    stale_reads_count: int = 0

    @property
    def count(self):
        """All violations."""
        return sum(dataclasses.astuple(self))


class Ledger:
    """Verdicts of all writes and the times at which terms began.

    A write is a pair of its caller and a number.
    """

    def __init__(self):
        self.confirmed = {}
        self.refused = {}
        self.floors = {}
        self.by_caller = collections.defaultdict(set)
        self.active_ms = {}
        self.confirmed_ms = 0.0
        self.violations = Violations()

    def record(self, write, verdict, position, now_ms):
        """Record what a caller is told about a write."""
        self.refused[write] = verdict == "not_run"
        if verdict != "ok":
            return
        caller, _ = write
        self.confirmed[write] = position
        self.by_caller[caller].add(write)
        known = self.floors.get(caller)
        self.floors[caller] = advance_floor(known, position)
        self.confirmed_ms = now_ms
        if any(term > position.term for term in self.active_ms):
            self.violations.late_count += 1

    def record_active(self, term, now_ms):
        """Record that a new primary's term is in force somewhere."""
        self.active_ms.setdefault(term, now_ms)

    def check_read(self, expected, data):
        """Compare an answer with what the session wrote before."""
        if not expected <= set(data):
            self.violations.stale_reads_count += 1

    def check_log(self, log):
        """Compare the writes of the last primary with the verdicts."""
        counts = collections.Counter(log)
        violations = self.violations
        violations.lost_count += sum(w not in counts for w in self.confirmed)
        violations.doubled_count += sum(n > 1 for n in counts.values())
        violations.doubled_count += sum(
            is_refused and write in counts
            for write, is_refused in self.refused.items()
        )
