"""Fault tables: each fault alone, and followed by each fault in turn.

The bound applies to the longest time without an acknowledged write.  Two
consecutive faults can cause a longer gap than one: replacing a lost owner can
take as long as a lease with its margin, and the loss of a data centre can add
a leader election.
"""

import dataclasses
import random

from waxwinglift.process._policy_settings import HealthSettings
from waxwinglift.version._control_core import ControlCore
from waxwinglift_bench.version._fault_run import FaultRun
from waxwinglift_bench.version._faults import FAULTS
from waxwinglift_bench.version._verdict_log import Violations

FIRST_FAULT_MS = 6000.0
COMMAND = "python -m waxwinglift_bench faults"


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Health probe intervals and the longest permitted write gap.

    The write gap is the longest time without an acknowledged write.

    The defaults apply to the current deployment size; the bound at the target
    size is 10 s.
    """

    probe_interval_ms: float = 150.0
    down_after_ms: float = 600.0
    gap_bound_ms: float = 3000.0

    @property
    def health_settings(self):
        """Settings for the health monitors of the proxies."""
        return HealthSettings(
            probe_interval_ms=self.probe_interval_ms,
            down_after_ms=self.down_after_ms,
        )

    @property
    def options(self):
        """Command-line options of the fields that differ from the default."""
        return [
            f"--{field.name.replace('_', '-')} {getattr(self, field.name):g}"
            for field in dataclasses.fields(self)
            if getattr(self, field.name) != field.default
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One or two faults and the random seed of the run.

    ``second`` is None for a single fault.
    """

    first: str
    second: str | None
    seed: int
    timing: Timing = Timing()

    @property
    def command(self):
        """Command line that runs only this case."""
        parts = [COMMAND, f"--first '{self.first}'"]
        parts.append(f"--second '{self.second or 'none'}'")
        parts.append(f"--seed {self.seed}")
        return " ".join([*parts, *self.timing.options])


@dataclasses.dataclass(frozen=True, slots=True)
class CaseResult:
    """Result of one case, with times in virtual milliseconds.

    ``gap_ms`` is the longest write gap; ``gap_since_fault_ms`` is the longest
    part of a write gap that follows the latest fault.
    """

    case: Case
    violations: Violations
    gap_ms: float
    gap_since_fault_ms: float

    @property
    def is_passed(self):
        """Whether no check failed and the write gap is within the bound."""
        bound_ms = self.case.timing.gap_bound_ms
        return not self.violations.count and self.gap_ms < bound_ms


def build_cases(first_faults, second_faults, seeds, timing):
    """Return the cases for all combinations, in a fixed order."""
    return [
        Case(first, second, seed, timing)
        for first in first_faults
        for second in second_faults
        for seed in seeds
    ]


def run_case(case, core_type=ControlCore):
    """Run one case and return its CaseResult.

    The second fault is injected immediately after the first one, during the
    resulting failover (in about half of the cases), or after it.
    """
    timing = case.timing
    run = FaultRun(case.seed, core_type, timing.health_settings)
    rng = random.Random(f"{case.first} {case.second} {case.seed}")
    during_ms = rng.uniform(0.0, 1500.0)
    delays_ms = (0.0, during_ms, during_ms, rng.uniform(1500.0, 5000.0))
    run.world.run_until(FIRST_FAULT_MS + rng.uniform(0.0, 500.0))
    run.inject(FAULTS[case.first])
    if case.second is not None:
        run.world.run_until(run.now_ms + rng.choice(delays_ms))
        run.inject(FAULTS[case.second])
    run.world.run_until(run.now_ms + 2 * timing.gap_bound_ms)
    run.finish()
    return CaseResult(
        case, run.verdict_log.violations, run.gap_ms, run.gap_since_fault_ms
    )


HEADER = (
    f"{'fault':59} {'promise':50} {'cases':>5} {'lost':>4} {'doubled':>7} "
    f"{'late':>4} {'stale reads':>11} {'worst gap ms':>12} "
    f"{'of one fault':>12}  command"
)


def format_row(first, results, seeds):
    """Return the table row that sums up all cases of a first fault."""
    totals = Violations()
    for result in results:
        for field in dataclasses.fields(Violations):
            value = getattr(result.violations, field.name)
            setattr(totals, field.name, getattr(totals, field.name) + value)
    worst_ms = max(result.gap_ms for result in results)
    since_fault_ms = max(result.gap_since_fault_ms for result in results)
    options = [f"--seed {seed}" for seed in seeds]
    options = " ".join([*options, *results[0].case.timing.options])
    command = f"{COMMAND} --first '{first}' {options}"
    return (
        f"{first:59} {FAULTS[first].promise:50} {len(results):5d} "
        f"{totals.lost_count:4d} {totals.doubled_count:7d} "
        f"{totals.late_count:4d} {totals.stale_reads_count:11d} "
        f"{worst_ms:12.0f} {since_fault_ms:12.0f}  {command}"
    )


def format_failure(result):
    """Return the violations of a failed case and its command."""
    gaps = f"gap {result.gap_ms:.0f} ms, "
    gaps += f"of one fault {result.gap_since_fault_ms:.0f} ms"
    return f"  broken: {result.violations}, {gaps}: {result.case.command}"
