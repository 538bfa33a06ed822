"""Driver that runs the consensus node of one member on top of a store."""

import collections

from waxwinglift.version._consensus import ConsensusNode
from waxwinglift.version._consensus_membership import bootstrap_entries
from waxwinglift.version._consensus_types import Persist
from waxwinglift.version._consensus_types import Persisted
from waxwinglift.version._consensus_types import Tick


class MemberDriver:
    """Feeds events to a node and executes its actions.

    In each step, actions other than Persist are executed first, so that
    messages are sent while the disk is written.  This is safe because the
    node never emits an action that must wait for a write of the same step.
    An event handled inside ``execute`` is queued: its writes must not
    overtake those of the step in progress.

    Parameters
    ----------
    settings : ConsensusSettings
    store : LogStore
    rng : random.Random
    clock : callable
        Returns the monotonic time in milliseconds.
    execute : callable
        Called with each action; must not block.
    initial_members : iterable of (DaemonId, Address, Location or None)
        Members of a new group, written to an empty store.  Must be empty
        for a member that joins an existing group or that has lost its disk.
    """

    def __init__(
        self, settings, store, rng, clock, execute, initial_members=()
    ):
        if store.is_empty and initial_members:
            store.append(bootstrap_entries(initial_members))
        self.node = ConsensusNode(settings, store.load(), rng)
        self._store = store
        self._clock = clock
        self._execute = execute
        self._events = collections.deque()
        self._is_running = False

    @property
    def deadline_ms(self):
        """Time at which the next Tick is due; each event may change it."""
        return self.node.deadline_ms(self._clock())

    def tick(self):
        """Let the node act if its deadline has passed."""
        self.handle(Tick())

    def handle(self, event):
        """Step the node with ``event``; execute its actions and writes.

        Raises
        ------
        OSError, StoreError, ConsensusError
            The member must stop.  Everything that it has confirmed to other
            members so far is durable.
        """
        self._events.append(event)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._is_running = False

    def _step(self, event):
        actions = self.node.step(event, self._clock())
        writes = [a for a in actions if isinstance(a, Persist)]
        for action in actions:
            if not isinstance(action, Persist):
                self._execute(action)
        for write in writes:
            self._store.write(write)
        if writes:
            # Ahead of the queued events, which may rely on the writes.
            self._events.appendleft(Persisted(writes[-1].sequence))
