"""How many of the proxies control has lost a short time ago."""

# Time for which a lost proxy counts; it has then restarted or is gone.
_WINDOW_MS = 10_000.0


class DaemonTally:
    """Proxies with a lease, and those that had one a short time ago.

    Control cannot tell proxies that are cut off from proxies that have
    failed.  When most of them go at once, it is rather control that is cut
    off, and they still serve.
    """

    def __init__(self):
        self._seen_ms = {}
        self._live = frozenset()

    def observe(self, live, now_ms):
        """Record the proxies that have a lease now."""
        self._live = live
        self._seen_ms.update(dict.fromkeys(live, now_ms))
        oldest_ms = now_ms - _WINDOW_MS
        gone = [d for d, ms in self._seen_ms.items() if ms < oldest_ms]
        for daemon in gone:
            del self._seen_ms[daemon]

    def forget(self, daemon):
        """Leave out a proxy that has stopped in order."""
        self._seen_ms.pop(daemon, None)

    @property
    def are_most_lost(self) -> bool:
        """Whether more proxies were lost than are left."""
        lost_count = len(self._seen_ms.keys() - self._live)
        return lost_count > len(self._live)
