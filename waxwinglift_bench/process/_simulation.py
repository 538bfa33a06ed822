"""Discrete-event simulation with a heap of events in virtual time."""

import heapq
import itertools


class Simulation:
    """Runs callbacks in order of virtual time, then of scheduling."""

    def __init__(self):
        self.now_ms = 0.0
        self._events = []
        self._sequence = itertools.count()

    def call_after(self, delay_ms, function, *arguments):
        """Call ``function`` after ``delay_ms``."""
        self.call_at(self.now_ms + delay_ms, function, *arguments)

    def call_at(self, time_ms, function, *arguments):
        """Call ``function`` at ``time_ms``."""
        event = (time_ms, next(self._sequence), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, until_ms):
        """Run all events that are due before ``until_ms``."""
        while self._events and self._events[0][0] < until_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now_ms = until_ms
