"""Clock of a process."""

import time


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000
