"""Control group with a virtual clock, network and disk.

Invariants are asserted at each step.
"""

import heapq
import itertools
import random

from waxwinglift.process import Address
from waxwinglift.version import FleetState
from waxwinglift.version import _consensus_types as t
from waxwinglift.version import _entry_codec as codec
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._consensus import ConsensusNode
from waxwinglift.version._consensus_membership import bootstrap_entries
from waxwinglift.version._consensus_messages import decode_message
from waxwinglift.version._consensus_messages import encode_message

ADDRESS = Address("127.0.0.1", 7000)
SNAPSHOT_EVERY_COUNT = 6
QUEUE_LIMIT_COUNT = 1_500


class Disk:
    """Synced data of one member; a crash loses pending Persist actions."""

    def __init__(self, entries=()):
        self.vote = t.Vote()
        self.snapshot = None
        self.entries = list(entries)

    def load(self):
        return t.StorageState(self.vote, self.snapshot, tuple(self.entries))

    def write(self, persist):
        self.vote = persist.vote or self.vote
        after = persist.truncate_after
        if after is not None:
            self.entries = [x for x in self.entries if x.index <= after]
        self.entries.extend(persist.entries)
        if persist.snapshot is not None:
            self._save_snapshot(persist.snapshot)

    def _save_snapshot(self, snapshot):
        self.snapshot = snapshot
        positions = [(x.index, x.term) for x in self.entries]
        last_position = (snapshot.index, snapshot.term)
        start = (
            positions.index(last_position) + 1
            if last_position in positions
            else len(positions)
        )
        if not positions or positions[0][0] <= snapshot.index:
            self.entries = self.entries[start:]


class VirtualMember:
    """One member with a simple version of the control daemon's event loop."""

    def __init__(self, group, name, number, disk):
        self.group = group
        self.name = name
        self.disk = disk
        # The clocks of different members are unrelated.
        self.offset_ms = 1_000_000.0 * number
        self.is_up = False
        self.start()

    def start(self):
        settings = t.ConsensusSettings(member=self.name)
        settings = settings.model_copy(update=self.group.settings)
        state = self.disk.load()
        rng = random.Random(self.group.rng.random())
        self.node = ConsensusNode(settings, state, rng)
        self.fleet = FleetState()
        if state.snapshot is not None:
            self.fleet = codec.decode_fleet(state.snapshot.data)
        self.is_up = True
        self.incarnation = next(self.group.counter)
        self.frozen_events = None
        self.tick_ms = float("inf")
        self.written_ms = 0.0
        self.outcomes = {}
        self.handle(t.Tick())

    def now_ms(self):
        return self.group.now_ms + self.offset_ms

    def leads(self):
        return self.is_up and self.node.is_leader_with_quorum(self.now_ms())

    def handle(self, event):
        """Step the node with ``event``, or queue it while frozen."""
        if self.frozen_events is not None:
            self.frozen_events.append(event)
            return
        for action in self.node.step(event, self.now_ms()):
            getattr(self, "_on_" + type(action).__name__)(action)
        if isinstance(event, t.Tick):
            self.tick_ms = float("inf")
        due_ms = self.node.deadline_ms(self.now_ms()) - self.offset_ms
        # Clock offsets cause rounding errors.  Without a minimum step, a Tick
        # could come too early repeatedly at the same instant.
        due_ms = max(due_ms, self.group.now_ms + 0.05)
        if due_ms < self.tick_ms:
            self.tick_ms = due_ms
            self.group.schedule(due_ms, self, t.Tick())

    def _on_Send(self, action):
        self.group.deliver(self, action)

    def _on_Persist(self, action):
        delay_ms = self.group.rng.uniform(0.1, self.group.disk_delay_ms)
        self.written_ms = max(self.group.now_ms + delay_ms, self.written_ms)
        self.group.schedule(self.written_ms, self, action)

    def _on_Commit(self, action):
        for item in action.entries:
            self._apply(item)
        known = self.node.snapshot.index if self.node.snapshot else 0
        if self.fleet.index - known >= SNAPSHOT_EVERY_COUNT:
            data = codec.encode_fleet(self.fleet)
            event = t.SnapshotTaken(self.fleet.index, data)
            self.group.schedule(self.group.now_ms, self, event)

    def _apply(self, item):
        assert item.index == self.fleet.index + 1
        committed = self.group.committed
        assert committed.setdefault(item.index, item) == item
        entry = codec.decode_entry(item.payload)
        outcome = apply_entry(self.fleet, item.index, entry)
        edit_id = getattr(entry, "edit_id", None)
        if edit_id is not None:
            known = self.group.answers.setdefault(edit_id, outcome)
            assert known == outcome

    def _on_InstallSnapshot(self, action):
        assert action.snapshot.index > self.fleet.index
        self.group.installs_count += 1
        self.fleet = codec.decode_fleet(action.snapshot.data)

    def _on_BecomeLeader(self, action):
        leaders = self.group.leaders
        assert leaders.setdefault(action.term, self.name) == self.name

    def _on_StepDown(self, action):
        self.group.step_downs_count += 1

    def _on_Accepted(self, action):
        self.outcomes[action.proposal] = action

    _on_Refused = _on_Accepted


class VirtualGroup:
    """All members, the messages between them and the faults."""

    def __init__(self, names, seed=1, **settings):
        self.rng = random.Random(seed)
        self.settings = {"retained_entries_count": 2, **settings}
        self.now_ms = 0.0
        self.queue = []
        self.counter = itertools.count()
        self.blocked = set()
        self.loss, self.duplication = 0.0, 0.0
        self.delay_ms, self.disk_delay_ms = 5.0, 3.0
        self.committed, self.answers, self.leaders = {}, {}, {}
        self.installs_count = self.step_downs_count = 0
        entries = bootstrap_entries([(name, ADDRESS) for name in names])
        self.members = {}
        for name in names:
            self.add(name, Disk(entries))

    def add(self, name, disk=None):
        number = len(self.members)
        self.members[name] = VirtualMember(self, name, number, disk or Disk())

    def schedule(self, due_ms, member, event):
        order = next(self.counter)
        item = (due_ms, order, member, member.incarnation, event)
        heapq.heappush(self.queue, item)

    def deliver(self, sender, action):
        recipient = self.members.get(action.recipient)
        if recipient is None or self.rng.random() < self.loss:
            return
        # Each message is encoded and decoded, as between real daemons.
        message = decode_message(encode_message(action.message))
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            due_ms = self.now_ms + self.rng.uniform(0.1, self.delay_ms)
            event = t.MessageReceived(sender.name, message)
            self.schedule(due_ms, recipient, event)

    def _is_blocked(self, member, event):
        if not isinstance(event, t.MessageReceived):
            return False
        return (event.sender, member.name) in self.blocked

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            due_ms, _, member, incarnation, event = heapq.heappop(self.queue)
            self.now_ms = max(self.now_ms, due_ms)
            # A message in flight may arrive after a restart of its recipient;
            # other events may not.
            if isinstance(event, t.MessageReceived):
                incarnation = member.incarnation
            is_current = member.is_up and incarnation == member.incarnation
            if is_current and not self._is_blocked(member, event):
                self._step(member, event)
        self.now_ms = end_ms

    def _step(self, member, event):
        if isinstance(event, t.Persist):
            member.disk.write(event)
            event = t.Persisted(event.sequence)
        member.handle(event)
        assert sum(m.leads() for m in self.members.values()) <= 1
        # Messages that cause each other endlessly would fill the queue.
        assert len(self.queue) < QUEUE_LIMIT_COUNT

    def isolate(self, names, blocks_incoming=True, blocks_outgoing=True):
        """Disconnect ``names`` from the others in one or both directions.

        ``blocks_incoming`` is for messages to ``names``, ``blocks_outgoing``
        for messages from them.
        """
        others = set(self.members) - set(names)
        incoming = itertools.product(others, names) if blocks_incoming else ()
        outgoing = itertools.product(names, others) if blocks_outgoing else ()
        self.blocked = {*incoming, *outgoing}

    def crash(self, name):
        self.members[name].is_up = False

    def restart(self, name):
        if not self.members[name].is_up:
            self.members[name].start()

    def crash_and_restart(self, name):
        self.crash(name)
        self.restart(name)

    def freeze(self, name):
        member = self.members[name]
        if member.frozen_events is None:
            member.frozen_events = []

    def thaw(self, name):
        member = self.members[name]
        events, member.frozen_events = member.frozen_events or [], None
        for event in events if member.is_up else []:
            member.handle(event)

    def leader(self):
        leading = [m for m in self.members.values() if m.leads()]
        return leading[0] if leading else None

    def propose(self, name, entry):
        member = self.members[name]
        if not member.is_up or member.frozen_events is not None:
            return None
        proposal = next(self.counter)
        member.handle(t.Propose(proposal, codec.encode_entry(entry)))
        return member.outcomes[proposal]

    def repair(self):
        """End all faults."""
        self.blocked = set()
        self.loss, self.duplication = 0.0, 0.0
        self.delay_ms, self.disk_delay_ms = 5.0, 3.0
        for name in self.members:
            self.restart(name)
            self.thaw(name)
