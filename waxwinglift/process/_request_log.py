"""One line for each decision about a request, within a budget."""

import logging

from waxwinglift.process._clock import monotonic_ms

logger = logging.getLogger("waxwinglift.request")

# Lines a second that a process may write about requests, and how many it may
# have saved up.  A line costs about 30 us.
_LINES_PER_S = 20.0
_BURST_COUNT = 100.0
# Time between two lines that tell how many were left out.
_SUMMARY_INTERVAL_MS = 5000.0


class RequestLog:
    """Writes request lines while the budget lasts and counts the others."""

    def __init__(self, now_ms=monotonic_ms):
        self._now_ms = now_ms
        self._token_count = _BURST_COUNT
        self._filled_ms = now_ms()
        self._omitted_count = 0
        self._summary_ms = now_ms()

    def write(self, message: str, **fields):
        """Write a line with typed fields, or count it as left out."""
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
            "request lines were left out", extra={"omitted_count": count}
        )
