"""Tracking of which proxies still report to control."""

# Time after the end of its lease for which a proxy is still included in the
# comparison of unresponsive and reporting proxies.  After that it has
# restarted or left.
_KEPT_AFTER_LEASE_MS = 10_000.0


class DaemonReports:
    """Proxies that recently had a lease, and when each last reported.

    Control cannot distinguish proxies that are disconnected from proxies
    that have failed.  If most of them are unresponsive, control itself is
    probably disconnected and the proxies still serve requests.

    Parameters
    ----------
    report_ttl_ms : float
        Time without a report after which a proxy counts as unresponsive.
    """

    def __init__(self, report_ttl_ms: float):
        self._report_ttl_ms = report_ttl_ms
        self._leased_ms = {}
        self._reported_ms = {}

    def record_leases(self, live, now_ms):
        """Record the proxies whose lease may still be valid."""
        self._leased_ms.update(dict.fromkeys(live, now_ms))
        oldest_ms = now_ms - _KEPT_AFTER_LEASE_MS
        expired = [d for d, ms in self._leased_ms.items() if ms < oldest_ms]
        for daemon in expired:
            self.drop(daemon)

    def record_report(self, daemon, now_ms):
        """Record that a proxy has reported."""
        self._reported_ms[daemon] = now_ms

    def drop(self, daemon):
        """Stop counting a proxy, for instance after a clean shutdown."""
        self._leased_ms.pop(daemon, None)
        self._reported_ms.pop(daemon, None)

    def are_most_unresponsive(self, now_ms) -> bool:
        """Return whether more proxies are unresponsive than are reporting."""
        oldest_ms = now_ms - self._report_ttl_ms
        reporting_count = sum(
            self._reported_ms.get(daemon, float("-inf")) > oldest_ms
            for daemon in self._leased_ms
        )
        return len(self._leased_ms) > 2 * reporting_count
