"""Simulated database servers with a FIFO queue and a log per group."""

import bisect
import collections

from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term

WRITE_BYTES = 100


class GroupLog:
    """Write-ahead log shared by the servers of one group."""

    def __init__(self):
        self.term = Term(1)
        self._times_ms = [0.0]
        self._lsns = [0]

    def append(self, now_ms):
        """Append one write and return its position."""
        self._times_ms.append(now_ms)
        self._lsns.append(self._lsns[-1] + WRITE_BYTES)
        return self.position()

    def position(self):
        """Return the position of the end of the log."""
        return Position(self.term, Lsn(self._lsns[-1]))

    def lsn_at(self, time_ms):
        """Return the offset of the end of the log at ``time_ms``."""
        index = bisect.bisect_right(self._times_ms, time_ms) - 1
        return self._lsns[max(0, index)]


class Lag:
    """Replay delay that varies randomly between 0 and a limit.

    Every 300 ms a new random value is drawn; in between, the delay is
    interpolated linearly.
    """

    STEP_MS = 300.0

    def __init__(self, limit_ms, rng):
        self.limit_ms = limit_ms
        self.extra_ms = 0.0
        self._rng = rng
        self._targets_ms = [rng.uniform(0, limit_ms)]

    def delay_ms_at(self, now_ms):
        """Return the delay at ``now_ms``."""
        step, fraction = divmod(now_ms / self.STEP_MS, 1)
        while len(self._targets_ms) < step + 2:
            self._targets_ms.append(self._rng.uniform(0, self.limit_ms))
        previous_ms, next_ms = self._targets_ms[int(step) : int(step) + 2]
        return previous_ms + fraction * (next_ms - previous_ms) + self.extra_ms


class Server:
    """One server: runs up to ``slots_count`` statements, queues the others."""

    def __init__(self, simulation, endpoint, deployment, log, rng, on_start):
        self.endpoint = endpoint
        self.is_primary = endpoint.endswith("s0")
        self.is_up = True
        self.slow_factor = 1.0
        self.log = log
        self.lag = Lag(deployment.lag_limit_ms, rng)
        self.flush_delay_ms = deployment.data_centre_delay_ms + 0.5
        self._simulation = simulation
        self._deployment = deployment
        self._on_start = on_start
        self._busy_count = 0
        self._queue = collections.deque()
        self._lsn = 0

    def position(self):
        """Return the position that a read sees now."""
        if self.is_primary:
            return self.log.position()
        now_ms = self._simulation.now_ms
        lsn = self.log.lsn_at(now_ms - self.lag.delay_ms_at(now_ms))
        self._lsn = max(self._lsn, lsn)
        return Position(self.log.term, Lsn(self._lsn))

    def flushed_lsn(self):
        """Return the offset up to which a replica has flushed its log."""
        delay_ms = self.flush_delay_ms + self.lag.extra_ms
        return self.log.lsn_at(self._simulation.now_ms - delay_ms)

    def run(self, request, done):
        """Run or queue a statement; call ``done(position)`` at its end."""
        self._queue.append((request, done))
        self._start_next()

    def stop(self):
        """Crash: running and queued statements are never answered."""
        self.is_up = False
        self._queue.clear()

    def _start_next(self):
        slots_count = self._deployment.slots_count
        while self._queue and self._busy_count < slots_count and self.is_up:
            request, done = self._queue.popleft()
            self._busy_count += 1
            service_ms = self._deployment.service_ms * request.service_factor
            self._simulation.call_after(
                service_ms * self.slow_factor, self._end, request, done
            )
            self._on_start(
                self.endpoint, request, service_ms * self.slow_factor
            )

    def _end(self, request, done):
        self._busy_count -= 1
        if not self.is_up:
            return
        if request.is_write:
            self.log.append(self._simulation.now_ms)
        done(self.position())
        self._start_next()
