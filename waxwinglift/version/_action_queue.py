"""Order and number of the SQL sessions of a change of primary.

One session costs the leader some 0.7 ms.  After the loss of a data centre it
opened thousands at once and repeated those that had not ended in time.
"""

import heapq
import itertools

from waxwinglift.version import _failover_messages as messages

# Most sessions at once.  A session lasts some 60 ms, so 64 are a thousand a
# second.
SESSIONS_LIMIT_COUNT = 64

# What brings writes back first goes first: a promotion before the fence of
# the next group.
PRIORITIES = {
    messages.PromoteServer: 0,
    messages.RepointServer: 1,
    messages.FenceServer: 2,
    messages.ReadPosition: 3,
}


class ActionQueue:
    """Actions on servers that wait or run; each is held once.

    Parameters
    ----------
    limit_count : int
        Most actions that run at once.
    """

    def __init__(self, limit_count=SESSIONS_LIMIT_COUNT):
        self._limit_count = limit_count
        self._order = itertools.count()
        self._waiting = []
        self._held = set()
        self.running_count = 0

    def offer(self, action):
        """Queue an action unless it waits or runs already."""
        if action in self._held:
            return
        self._held.add(action)
        priority = PRIORITIES[type(action)]
        heapq.heappush(self._waiting, (priority, next(self._order), action))

    def start(self):
        """Return the actions to start now."""
        started = []
        while self._waiting and self.running_count < self._limit_count:
            self.running_count += 1
            started.append(heapq.heappop(self._waiting)[-1])
        return started

    def finish(self, action):
        """Note that an action has ended."""
        self._held.discard(action)
        self.running_count -= 1

    def drop_waiting(self):
        """Forget what has not started, for instance after stepping down."""
        for *_, action in self._waiting:
            self._held.discard(action)
        self._waiting.clear()
