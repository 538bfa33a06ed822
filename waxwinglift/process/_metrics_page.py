"""Counters and latency histograms, served as text on a page."""

import re

import prometheus_client

from waxwinglift.process._http_page import Page

# Upper bounds of the histogram buckets, in milliseconds: from a statement
# within the data centre to one that runs for seconds.
_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1600, 3200, 6400)
_UNSAFE = re.compile("[^a-zA-Z0-9_]")


class PageMetrics:
    """Metrics of one process, kept in memory.

    The parts of a metric name are joined by dots; the page shows them joined
    by underscores, after the prefix.

    Parameters
    ----------
    prefix : str
        First part of each metric name on the page.
    """

    def __init__(self, prefix: str):
        self._prefix = prefix
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._histograms: dict[str, prometheus_client.Histogram] = {}

    def incr(self, name, count=1):
        """Increase a counter by ``count``."""
        counter = self._counters.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                self._full_name(name), name, registry=self._registry
            )
            self._counters[name] = counter
        counter.inc(count)

    def timing(self, name, value_ms):
        """Record a duration in milliseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                f"{self._full_name(name)}_ms",
                name,
                registry=self._registry,
                buckets=_BUCKETS_MS,
            )
            self._histograms[name] = histogram
        histogram.observe(value_ms)

    def make_page(self) -> Page:
        """Return the page with all values."""
        return Page(
            "200 OK",
            prometheus_client.CONTENT_TYPE_LATEST,
            prometheus_client.generate_latest(self._registry),
        )

    def _full_name(self, name):
        return _UNSAFE.sub("_", f"{self._prefix}_{name}")


class CombinedMetrics:
    """Forwards metrics to several backends."""

    def __init__(self, *backends):
        self._backends = backends

    def incr(self, name, count=1):
        """Increase a counter by ``count``."""
        for backend in self._backends:
            backend.incr(name, count)

    def timing(self, name, value_ms):
        """Record a duration in milliseconds."""
        for backend in self._backends:
            backend.timing(name, value_ms)

    def make_page(self) -> Page:
        """Return the page of the backend that has one."""
        (page,) = [b for b in self._backends if isinstance(b, PageMetrics)]
        return page.make_page()
