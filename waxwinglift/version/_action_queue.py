"""Priority queue that limits the SQL sessions of changes of primary.

One session costs the leader about 0.7 ms of CPU time.  Without a limit, the
leader opened thousands at once after the loss of a data centre, and repeated
those that had not ended in time.
"""

import heapq
import itertools

from waxwinglift.version import _failover_messages as messages

# Concurrent sessions.  A session lasts about 60 ms, so 64 of them allow
# about a thousand sessions per second.
SESSIONS_LIMIT_COUNT = 64

# Lower values run first.  Actions that restore writes soonest come first: a
# promotion runs before the fencing of the next group.
PRIORITIES = {
    messages.PromoteServer: 0,
    messages.RepointServer: 1,
    messages.FenceServer: 2,
    messages.ReadPosition: 3,
}


class ActionQueue:
    """Waiting and running actions on servers, without duplicates.

    Parameters
    ----------
    limit_count : int
        Maximum number of actions that run at once.
    """

    def __init__(self, limit_count=SESSIONS_LIMIT_COUNT):
        self._limit_count = limit_count
        self._order = itertools.count()
        self._waiting = []
        self._pending = set()
        self.running_count = 0

    def offer(self, action):
        """Queue an action unless it is already queued or running."""
        if action in self._pending:
            return
        self._pending.add(action)
        priority = PRIORITIES[type(action)]
        heapq.heappush(self._waiting, (priority, next(self._order), action))

    def start(self):
        """Dequeue the actions that may start now and count them as running."""
        started = []
        while self._waiting and self.running_count < self._limit_count:
            self.running_count += 1
            started.append(heapq.heappop(self._waiting)[-1])
        return started

    def finish(self, action):
        """Record that a running action has ended."""
        self._pending.discard(action)
        self.running_count -= 1

    def drop_waiting(self):
        """Drop the actions not yet started, e.g. after stepping down."""
        for *_, action in self._waiting:
            self._pending.discard(action)
        self._waiting.clear()
