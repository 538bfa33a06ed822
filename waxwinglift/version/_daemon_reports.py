"""How many of the proxies control has heard from lately."""

# Time for which a silent proxy counts; it has then restarted or is gone.
_WINDOW_MS = 10_000.0


class DaemonReports:
    """Proxies with a lease a short time ago, and those that still report.

    Control cannot tell proxies that are cut off from proxies that have
    failed.  When most of them fall silent, it is rather control that is cut
    off, and they still serve.

    Parameters
    ----------
    silence_ms : float
        Time without a report after which a proxy counts as silent.
    """

    def __init__(self, silence_ms: float):
        self._silence_ms = silence_ms
        self._seen_ms = {}
        self._report_ms = {}

    def observe(self, live, now_ms):
        """Record the proxies whose lease may still be in force."""
        self._seen_ms.update(dict.fromkeys(live, now_ms))
        oldest_ms = now_ms - _WINDOW_MS
        gone = [d for d, ms in self._seen_ms.items() if ms < oldest_ms]
        for daemon in gone:
            self.forget(daemon)

    def note_report(self, daemon, now_ms):
        """Record a report of a proxy."""
        self._report_ms[daemon] = now_ms

    def forget(self, daemon):
        """Leave out a proxy that has stopped in order."""
        self._seen_ms.pop(daemon, None)
        self._report_ms.pop(daemon, None)

    def are_most_silent(self, now_ms) -> bool:
        """Return whether more proxies are silent than report."""
        oldest_ms = now_ms - self._silence_ms
        heard_count = sum(
            self._report_ms.get(daemon, float("-inf")) > oldest_ms
            for daemon in self._seen_ms
        )
        return len(self._seen_ms) > 2 * heard_count
