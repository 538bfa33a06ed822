"""Monotonic clock of a process."""

import time

# Counts the time in which the machine is suspended, as CLOCK_MONOTONIC does
# not: a process that resumes must not take its old knowledge for fresh.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms():
    """Return milliseconds of a clock that no time change affects."""
    return time.clock_gettime(_CLOCK) * 1000
