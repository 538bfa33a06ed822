"""Log lines to standard output that never hold the process up."""

import asyncio
import collections
import logging
import os
import select

# Bytes that wait for a slow reader before further lines are dropped.
_QUEUE_LIMIT_BYTES = 2**18
# A pipe that can take something takes as much without blocking.
_WRITE_BYTES = select.PIPE_BUF
# Time between two attempts while the reader is slow.
_RETRY_S = 0.05


class OutputHandler(logging.Handler):
    """Writes formatted lines to a file descriptor, or drops them.

    Parameters
    ----------
    descriptor : int

    Attributes
    ----------
    dropped_count : int
        Lines dropped since the start.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._waiting = collections.deque()
        self._waiting_bytes = 0
        self._timer = None
        self._reported_count = 0

    def emit(self, record):
        """Format a record and write what the reader takes now."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._waiting_bytes + len(line) > _QUEUE_LIMIT_BYTES:
            self.dropped_count += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self._write()

    def _write(self):
        while self._waiting and self._is_writable():
            line = self._waiting.popleft()
            piece, rest = line[:_WRITE_BYTES], line[_WRITE_BYTES:]
            written = os.write(self._descriptor, piece)
            self._waiting_bytes -= written
            rest = piece[written:] + rest
            if rest:
                self._waiting.appendleft(rest)
        if self._waiting:
            self._try_later()
        elif self.dropped_count > self._reported_count:
            self._report()

    def _report(self):
        count = self.dropped_count - self._reported_count
        self._reported_count = self.dropped_count
        logging.getLogger(__name__).warning(
            "log lines were dropped", extra={"dropped_count": count}
        )

    def _is_writable(self):
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return bool(poll.poll(0))

    def _try_later(self):
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a loop there is nobody to wait.
            return
        self._timer = loop.call_later(_RETRY_S, self._retry)

    def _retry(self):
        self._timer = None
        self._write()
