"""Metrics backend for statsd."""

import statsd


class StatsdMetrics:
    """Sends metrics to a statsd server by UDP."""

    def __init__(self, settings):
        self._client = statsd.StatsClient(
            host=settings.statsd.host,
            port=settings.statsd.port,
            prefix=settings.statsd_prefix,
        )

    def incr(self, name, count=1):
        """Increase a counter by ``count``."""
        self._client.incr(name, count)

    def timing(self, name, value_ms):
        """Record a duration in milliseconds."""
        self._client.timing(name, value_ms)

    def close(self):
        """Close the socket."""
        self._client.close()
