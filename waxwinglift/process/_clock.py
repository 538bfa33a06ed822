"""Monotonic clock of a process."""

import time

# Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time in which the machine
# is suspended: a process that resumes must not consider its old state fresh.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms():
    """Return milliseconds of a clock that ignores changes of system time."""
    return time.clock_gettime(_CLOCK) * 1000
