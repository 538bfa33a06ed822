"""Control daemons of the fault tables: the real log and control core."""

import collections
import itertools
import random

from waxwinglift.process import Address
from waxwinglift.process import Registry
from waxwinglift.version import _consensus_types as consensus
from waxwinglift.version import _control_core_messages as core_messages
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version._consensus import ConsensusNode
from waxwinglift.version._consensus_membership import bootstrap_entries
from waxwinglift.version._control_core import ControlCore
from waxwinglift.version._control_core import ControlCoreSettings
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift_bench.version._virtual import Node

SYNC_MS = 1.0
RELAY_BATCH_MS = 20.0
ADDRESS = Address("127.0.0.1", 7000)

# An executor takes ``(member, action)``.
EXECUTORS = Registry()
executes = EXECUTORS.register


class Member(Node):
    """One control daemon with its disk."""

    def __init__(self, world, name, data_centre, names, core_type=ControlCore):
        super().__init__(world, name, data_centre)
        self.core_type = core_type
        self.stored_vote = consensus.Vote()
        self.stored = bootstrap_entries([(n, ADDRESS) for n in names])
        self.stored = list(self.stored)
        self.on_commit = None
        self.start()

    def start(self):
        state = consensus.StorageState(
            self.stored_vote, None, tuple(self.stored)
        )
        settings = consensus.ConsensusSettings(member=self.name)
        seed = self.world.rng.random()
        self.node = ConsensusNode(settings, state, random.Random(seed))
        self.core = self.core_type(ControlCoreSettings(), random.Random(seed))
        self.committed = []
        self.watchers = {}
        self.numbers = itertools.count()
        self.open_actions = {}
        self.due_ms = None
        self.node_events = collections.deque()
        self.every(self.core.settings.tick_interval_ms, self.tick_core)
        self.step_node(consensus.Tick())

    @property
    def has_quorum(self):
        return self.node.is_leader_with_quorum(self.now_ms)

    def step_node(self, event):
        """Step the log; events that arise meanwhile are handled after it."""
        self.node_events.append(event)
        if len(self.node_events) > 1:
            return
        while self.node_events:
            for action in self.node.step(self.node_events[0], self.now_ms):
                self.run_action(action)
            self.node_events.popleft()
        due_ms = self.node.deadline_ms(self.now_ms)
        if self.due_ms is None or due_ms < self.due_ms:
            self.due_ms = due_ms
            # Rounding can make a deadline due that the node finds early.
            delay_ms = max(0.05, due_ms - self.now_ms)
            self.later(delay_ms, self.tick_node, due_ms)

    def tick_node(self, due_ms):
        if due_ms == self.due_ms:
            self.due_ms = None
            self.step_node(consensus.Tick())

    def tick_core(self):
        self.step_core(core_messages.ControlTick(self.has_quorum))

    def step_core(self, event):
        for action in self.core.step(event, self.now_ms):
            self.run_action(action)

    def run_action(self, action):
        EXECUTORS[type(action)](self, action)

    def on_consensus(self, sender, message):
        self.step_node(consensus.MessageReceived(sender, message))

    def persisted(self, action):
        """Store what was synced, then report it."""
        self.stored_vote = action.vote or self.stored_vote
        after = action.truncate_after
        if after is not None:
            self.stored = [e for e in self.stored if e.index <= after]
        self.stored.extend(action.entries)
        self.step_node(consensus.Persisted(action.sequence))

    def on_renewal(self, daemon, renewal):
        """Relay a renewal, and stream entries that the proxy lacks."""
        self.watchers[daemon] = self.now_ms
        self.stream(daemon, renewal.applied_index)
        self.relay("relayed_renewal", renewal)

    def on_announcement(self, server, announcement, number):
        self.send(server, "announced", number)
        self.relay("relayed_announcement", announcement)

    def relay(self, name, message):
        leader = self.node.leader_hint
        if leader == self.name:
            getattr(self, f"on_{name}")(self.name, message)
        elif leader is not None:
            wait_ms = self.world.rng.random() * RELAY_BATCH_MS
            self.later(wait_ms, self.send, leader, name, message)

    def on_relayed_renewal(self, relay, renewal):
        event = core_messages.RenewalReceived(renewal, self.has_quorum)
        for action in self.core.step(event, self.now_ms):
            if isinstance(action, core_messages.GrantLease):
                self.send(relay, "answer", action)
            elif not isinstance(action, core_messages.RefuseLease):
                self.run_action(action)

    def on_relayed_announcement(self, relay, announcement):
        event = core_messages.AnnouncementReceived(announcement)
        self.step_core(event)

    def on_answer(self, leader, grant):
        self.send(grant.daemon, "grant", grant)

    def stream(self, daemon, applied_index):
        entries = self.committed[applied_index:]
        if entries:
            self.send(daemon, "entries", applied_index, tuple(entries))

    def on_outcome(self, server, action, outcome):
        """Report the first outcome of an action, within its limit."""
        if self.open_actions.pop(action, None) is not None:
            self.step_core(outcome)

    def give_up(self, action, number):
        if self.open_actions.get(action) == number:
            del self.open_actions[action]
            self.step_core(failover.ActionFailed(action, "no answer"))


@executes(consensus.Send)
def _send(member, action):
    member.send(action.recipient, "consensus", action.message)


@executes(consensus.Persist)
def _persist(member, action):
    member.later(SYNC_MS, member.persisted, action)


@executes(consensus.Commit)
def _commit(member, action):
    for record in action.entries:
        entry = decode_entry(record.payload)
        member.committed.append(entry)
        if member.on_commit is not None:
            member.on_commit(entry)
        event = core_messages.EntryCommitted(record.index, entry)
        member.step_core(event)
    first_index = action.entries[0].index
    for daemon, seen_ms in member.watchers.items():
        if member.now_ms - seen_ms < 1000.0:
            member.stream(daemon, first_index - 1)


@executes(consensus.BecomeLeader)
def _become_leader(member, action):
    member.step_core(core_messages.BecameLeader())


@executes(consensus.StepDown)
def _step_down(member, action):
    member.step_core(core_messages.SteppedDown())


@executes(core_messages.GiveUpLeadership)
def _give_up_leadership(member, action):
    member.step_node(consensus.Resign())


@executes(consensus.Accepted, consensus.Refused)
def _ignore(member, action):
    """The core proposes again what was not committed."""


@executes(failover.Propose)
def _propose(member, action):
    payload = encode_entry(action.entry)
    member.step_node(consensus.Propose(next(member.numbers), payload))


@executes(
    failover.FenceServer,
    failover.ReadPosition,
    failover.PromoteServer,
    failover.RepointServer,
)
def _run_sql(member, action):
    number = next(member.numbers)
    member.open_actions[action] = number
    member.send(action.endpoint, "sql", action)
    member.later(action.time_limit_ms, member.give_up, action, number)
