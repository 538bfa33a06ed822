"""Virtual clock, simulated network and simulated processes."""

import collections
import heapq
import itertools

SAME_DATA_CENTRE_MS = 0.2


class DataCentres:
    """Regions of the data centres and the one-way network delays."""

    def __init__(self, regions, same_region_ms=1.0, cross_region_ms=12.0):
        self.regions = regions
        self.same_region_ms = same_region_ms
        self.cross_region_ms = cross_region_ms

    def delay_ms(self, first, second):
        """Return the one-way delay between two data centres."""
        if first == second:
            return SAME_DATA_CENTRE_MS
        if self.regions[first] == self.regions[second]:
            return self.same_region_ms
        return self.cross_region_ms


class World:
    """Event queue in virtual time, with the processes and the network.

    Parameters
    ----------
    data_centres : DataCentres
    rng : random.Random
        Source of all randomness of the run, including a jitter of up to 20%
        of each network delay.
    """

    def __init__(self, data_centres, rng):
        self.data_centres = data_centres
        self.rng = rng
        self.now_ms = 0.0
        self.nodes = {}
        self.blocked = set()
        self._events = []
        self._order = itertools.count()

    def call_at(self, due_ms, action, *arguments):
        """Call ``action`` at ``due_ms``, even if nodes have crashed."""
        item = (due_ms, next(self._order), action, arguments)
        heapq.heappush(self._events, item)

    def run_until(self, end_ms):
        """Execute all events that are due up to ``end_ms``."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_ms = end_ms

    def send(self, sender, recipient, name, *arguments):
        """Deliver a message after the delay between the two data centres.

        The message is dropped if the link is cut when it is sent or when it
        arrives, or if the recipient crashes in between.
        """
        node = self.nodes.get(recipient)
        if node is None or not self.is_connected(sender, recipient):
            return
        data_centre = self.nodes[sender].data_centre
        delay_ms = self.data_centres.delay_ms(data_centre, node.data_centre)
        delay_ms *= 1 + self.rng.random() / 5
        item = (sender, recipient, node.incarnation, name, arguments)
        self.call_at(self.now_ms + delay_ms, self._deliver, *item)

    def _deliver(self, sender, recipient, incarnation, name, arguments):
        node = self.nodes[recipient]
        if incarnation == node.incarnation and self.is_connected(
            sender, recipient
        ):
            node.execute(getattr(node, f"on_{name}"), sender, *arguments)

    def is_connected(self, first, second):
        """Return whether two nodes can exchange messages."""
        return frozenset((first, second)) not in self.blocked

    def cut(self, first_names, second_names):
        """Block all messages between two sets of nodes."""
        self.blocked |= self._pairs(first_names, second_names)

    def heal(self, first_names, second_names):
        """Unblock messages between two sets of nodes."""
        self.blocked -= self._pairs(first_names, second_names)

    def _pairs(self, first_names, second_names):
        return {
            frozenset((first, second))
            for first in first_names
            for second in second_names
            if first != second
        }


class Node:
    """One process, which can crash, restart, freeze and thaw.

    Timers and messages of a frozen process are queued and executed in order
    when it thaws, as after the pause of a VM.
    """

    def __init__(self, world, name, data_centre):
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.incarnation = 0
        self.is_up = True
        self.is_frozen = False
        self.is_disk_lost = False
        self.pending_calls = collections.deque()
        world.nodes[name] = self

    @property
    def now_ms(self):
        return self.world.now_ms

    @property
    def is_usable(self):
        """Whether the process is running and not frozen."""
        return self.is_up and not self.is_frozen

    def send(self, recipient, name, *arguments):
        """Send a message; the recipient may be the node itself."""
        self.world.send(self.name, recipient, name, *arguments)

    def call_later(self, delay_ms, action, *arguments):
        """Call ``action`` after a delay unless the process crashes first."""
        item = (self.incarnation, action, arguments)
        self.world.call_at(self.now_ms + delay_ms, self._run_timer, *item)

    def call_every(self, interval_ms, action):
        """Call ``action`` at an interval, starting at a random offset."""
        first_ms = self.world.rng.random() * interval_ms
        self.call_later(first_ms, self._repeat, interval_ms, action)

    def _repeat(self, interval_ms, action):
        self.call_later(interval_ms, self._repeat, interval_ms, action)
        action()

    def _run_timer(self, incarnation, action, arguments):
        if incarnation == self.incarnation:
            self.execute(action, *arguments)

    def execute(self, action, *arguments):
        """Call ``action`` now, or queue it while the process is frozen."""
        if self.is_frozen:
            self.pending_calls.append((action, arguments))
        elif self.is_up:
            action(*arguments)

    def kill(self):
        """Crash and lose all volatile state."""
        self.is_up = False
        self.is_frozen = False
        self.pending_calls.clear()
        self.incarnation += 1

    def restart(self):
        """Start again from the stored state."""
        if not self.is_up and not self.is_disk_lost:
            self.is_up = True
            self.start()

    def start(self):
        """Set up volatile state and timers."""

    def lose_disk(self):
        """Crash and lose the stored state, so that no restart is possible."""
        self.kill()
        self.is_disk_lost = True

    def freeze(self):
        """Pause execution without closing connections."""
        self.is_frozen = self.is_up

    def thaw(self):
        """Resume execution with the queued timers and messages."""
        self.is_frozen = False
        while self.pending_calls and self.is_usable:
            action, arguments = self.pending_calls.popleft()
            action(*arguments)
