"""Rate-limited log with a line for each decision about a request."""

import logging

from waxwinglift.process._clock import monotonic_ms

logger = logging.getLogger("waxwinglift.request")

# Rate limit of request log lines per process, and how many unused lines may
# accumulate.  A line costs about 30 us.
_LINES_PER_S = 20.0
_BURST_COUNT = 100.0
# Minimum time between two lines that report the number of omitted lines.
_SUMMARY_INTERVAL_MS = 5000.0


class RequestLog:
    """Writes request log lines up to a rate limit, counts omitted ones."""

    def __init__(self, now_ms=monotonic_ms):
        self._now_ms = now_ms
        self._token_count = _BURST_COUNT
        self._filled_ms = now_ms()
        self._omitted_count = 0
        self._summary_ms = now_ms()

    def write(self, message: str, **fields):
        """Write a line with the given fields, or count it as omitted."""
        now_ms = self._now_ms()
        elapsed_s = max(0.0, now_ms - self._filled_ms) / 1000
        self._filled_ms = now_ms
        self._token_count = min(
            _BURST_COUNT, self._token_count + elapsed_s * _LINES_PER_S
        )
        if self._token_count < 1:
            self._omitted_count += 1
            return
        self._token_count -= 1
        self._summarise(now_ms)
        logger.info(message, extra=fields)

    def _summarise(self, now_ms):
        if not self._omitted_count:
            return
        if now_ms - self._summary_ms < _SUMMARY_INTERVAL_MS:
            return
        self._summary_ms = now_ms
        count, self._omitted_count = self._omitted_count, 0
        logger.info(
            "request log lines were omitted", extra={"omitted_count": count}
        )
