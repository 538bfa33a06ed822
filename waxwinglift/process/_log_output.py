"""Non-blocking output of log lines."""

import asyncio
import collections
import logging
import os
import select

# Bytes queued for a slow reader before further lines are dropped.
_QUEUE_LIMIT_BYTES = 2**18
# A writable pipe accepts up to this many bytes without blocking.
_WRITE_BYTES = select.PIPE_BUF
# Interval of retries while the reader is slow.
_RETRY_INTERVAL_S = 0.05


class OutputHandler(logging.Handler):
    """Writes log lines to a file descriptor and drops excess lines.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.

    Attributes
    ----------
    dropped_count : int
        Lines dropped since the start.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._queue = collections.deque()
        self._queued_bytes = 0
        self._timer = None
        self._reported_count = 0

    def emit(self, record):
        """Format a record and write as much as the reader accepts now."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._queued_bytes + len(line) > _QUEUE_LIMIT_BYTES:
            self.dropped_count += 1
            return
        self._queue.append(line)
        self._queued_bytes += len(line)
        self._write()

    def _write(self):
        while self._queue and self._is_writable():
            line = self._queue.popleft()
            chunk, remainder = line[:_WRITE_BYTES], line[_WRITE_BYTES:]
            written = os.write(self._descriptor, chunk)
            self._queued_bytes -= written
            remainder = chunk[written:] + remainder
            if remainder:
                self._queue.appendleft(remainder)
        if self._queue:
            self._schedule_retry()
        elif self.dropped_count > self._reported_count:
            self._log_dropped_count()

    def _log_dropped_count(self):
        count = self.dropped_count - self._reported_count
        self._reported_count = self.dropped_count
        logging.getLogger(__name__).warning(
            "log lines were dropped", extra={"dropped_count": count}
        )

    def _is_writable(self):
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return bool(poll.poll(0))

    def _schedule_retry(self):
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without an event loop no retry can be scheduled.
            return
        self._timer = loop.call_later(_RETRY_INTERVAL_S, self._retry)

    def _retry(self):
        self._timer = None
        self._write()
