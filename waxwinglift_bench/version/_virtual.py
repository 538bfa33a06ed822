"""Virtual clock, network and processes of the fault tables."""

import collections
import heapq
import itertools

SAME_DATA_CENTRE_MS = 0.2


class DataCentres:
    """Data centres, their regions and the one-way delays between them."""

    def __init__(self, regions, near_ms=1.0, far_ms=12.0):
        self.regions = regions
        self.near_ms = near_ms
        self.far_ms = far_ms

    def delay_ms(self, first, second):
        """Return the one-way delay between two data centres."""
        if first == second:
            return SAME_DATA_CENTRE_MS
        if self.regions[first] == self.regions[second]:
            return self.near_ms
        return self.far_ms


class World:
    """All processes of one run, in order of virtual time.

    Parameters
    ----------
    data_centres : DataCentres
    rng : random.Random
        Jitter of the delays; up to a fifth.
    """

    def __init__(self, data_centres, rng):
        self.data_centres = data_centres
        self.rng = rng
        self.now_ms = 0.0
        self.nodes = {}
        self.blocked = set()
        self._events = []
        self._order = itertools.count()

    def at(self, due_ms, action, *arguments):
        """Call ``action`` at ``due_ms``, whatever happened to any node."""
        item = (due_ms, next(self._order), action, arguments)
        heapq.heappush(self._events, item)

    def run_until(self, end_ms):
        """Execute everything that is due before ``end_ms``."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_ms = end_ms

    def send(self, sender, recipient, name, *arguments):
        """Deliver a message after the delay between the two data centres.

        Both ends may drop it: a cut applies when it leaves and when it
        arrives, and a process that has restarted meanwhile never sees it.
        """
        node = self.nodes.get(recipient)
        if node is None or not self.is_open(sender, recipient):
            return
        data_centre = self.nodes[sender].data_centre
        delay_ms = self.data_centres.delay_ms(data_centre, node.data_centre)
        delay_ms *= 1 + self.rng.random() / 5
        item = (sender, recipient, node.incarnation, name, arguments)
        self.at(self.now_ms + delay_ms, self._deliver, *item)

    def _deliver(self, sender, recipient, incarnation, name, arguments):
        node = self.nodes[recipient]
        if incarnation == node.incarnation and self.is_open(sender, recipient):
            node.execute(getattr(node, f"on_{name}"), sender, *arguments)

    def is_open(self, first, second):
        """Return whether messages pass between two nodes."""
        return frozenset((first, second)) not in self.blocked

    def cut(self, first_names, second_names):
        """Block all messages between two sets of nodes."""
        self.blocked |= self._pairs(first_names, second_names)

    def heal(self, first_names, second_names):
        """Undo ``cut`` of the same sets."""
        self.blocked -= self._pairs(first_names, second_names)

    def _pairs(self, first_names, second_names):
        return {
            frozenset((first, second))
            for first in first_names
            for second in second_names
            if first != second
        }


class Node:
    """One process: it may crash, restart, freeze and thaw.

    Timers and messages of a frozen process wait; when it thaws they are
    executed in order, late, as after a stopped VM.
    """

    def __init__(self, world, name, data_centre):
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.incarnation = 0
        self.is_up = True
        self.is_frozen = False
        self.is_lost = False
        self.backlog = collections.deque()
        world.nodes[name] = self

    @property
    def now_ms(self):
        return self.world.now_ms

    @property
    def is_usable(self):
        """Whether the process runs at the moment."""
        return self.is_up and not self.is_frozen

    def send(self, recipient, name, *arguments):
        """Send a message; a node may send one to itself."""
        self.world.send(self.name, recipient, name, *arguments)

    def later(self, delay_ms, action, *arguments):
        """Call ``action`` unless the process restarts before."""
        item = (self.incarnation, action, arguments)
        self.world.at(self.now_ms + delay_ms, self._expire, *item)

    def every(self, interval_ms, action):
        """Call ``action`` regularly, at first at a random moment."""
        first_ms = self.world.rng.random() * interval_ms
        self.later(first_ms, self._repeat, interval_ms, action)

    def _repeat(self, interval_ms, action):
        self.later(interval_ms, self._repeat, interval_ms, action)
        action()

    def _expire(self, incarnation, action, arguments):
        if incarnation == self.incarnation:
            self.execute(action, *arguments)

    def execute(self, action, *arguments):
        """Call ``action`` now, or after the thaw."""
        if self.is_frozen:
            self.backlog.append((action, arguments))
        elif self.is_up:
            action(*arguments)

    def kill(self):
        """Crash: what was not stored is gone."""
        self.is_up = False
        self.is_frozen = False
        self.backlog.clear()
        self.incarnation += 1

    def restart(self):
        """Start again with what is stored."""
        if not self.is_up and not self.is_lost:
            self.is_up = True
            self.start()

    def start(self):
        """Set up volatile state and timers."""

    def lose_disk(self):
        """Crash and never come back."""
        self.kill()
        self.is_lost = True

    def freeze(self):
        """Stop executing without closing anything."""
        self.is_frozen = self.is_up

    def thaw(self):
        """Continue where the process stopped."""
        self.is_frozen = False
        while self.backlog and self.is_usable:
            action, arguments = self.backlog.popleft()
            action(*arguments)
