"""Lateness of the event loop, the measure of a process's spare time."""

from collections.abc import Callable
import logging

from waxwinglift.process._data_path_types import Metrics
from waxwinglift.request._load_shedder import LoadShedder

logger = logging.getLogger(__name__)


class LoopLag:
    """Observes how late a regular timer fires, and adapts the shedding.

    A process that lacks processor time handles its events late, and its
    timers with them.

    Parameters
    ----------
    load_shedder : LoadShedder
    now_ms : callable
        Monotonic clock.
    metrics : Metrics
    """

    def __init__(
        self,
        load_shedder: LoadShedder,
        now_ms: Callable[[], float],
        metrics: Metrics,
    ):
        self._load_shedder = load_shedder
        self._now_ms = now_ms
        self._metrics = metrics
        self._due_ms: float | None = None
        self._lost_ms = 0.0
        self._is_shedding = False

    def awake_ms(self) -> float:
        """Return the time of a clock that stands still while the loop is late.

        Detectors of unresponsive endpoints use it: an answer that waits in
        the process's own sockets is not missing.
        """
        return self._now_ms() - self._lost_ms

    def expect(self, interval_ms: float):
        """Record that the timer was set."""
        self._due_ms = self._now_ms() + interval_ms

    def observe(self):
        """Record that the timer has fired."""
        if self._due_ms is None:
            return
        lag_ms = max(0.0, self._now_ms() - self._due_ms)
        self._lost_ms += lag_ms
        self._metrics.timing("process.loop_lag", lag_ms)
        self._load_shedder.observe_lag(lag_ms)
        self._log_change()

    def _log_change(self):
        is_shedding = self._load_shedder.level > 0
        if is_shedding is self._is_shedding:
            return
        self._is_shedding = is_shedding
        message = (
            "processor time is short; refusing less urgent requests"
            if is_shedding
            else "processor time suffices again"
        )
        lag_ms = round(self._load_shedder.lag_ms, 1)
        logger.info(message, extra={"loop_lag_ms": lag_ms})
