"""Simulated control daemons that run the real control log and core."""

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
from waxwinglift.version._control_settings import ControlCoreSettings
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift_bench.version._virtual import Node

# Duration of a synced write to the disk.
SYNC_MS = 1.0
# Longest time for which a message waits for a relay's next batch.
RELAY_BATCH_MS = 20.0
ADDRESS = Address("127.0.0.1", 7000)

# A handler takes ``(member, action)``.
ACTION_HANDLERS = Registry()
on_action = ACTION_HANDLERS.register


class Member(Node):
    """One control daemon and the state on its disk."""

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
        self.consensus_node = ConsensusNode(
            settings, state, random.Random(seed)
        )
        self.core = self.core_type(ControlCoreSettings(), random.Random(seed))
        self.committed = []
        self.last_renewed_ms = {}
        self.numbers = itertools.count()
        self.pending_actions = {}
        self.consensus_due_ms = None
        self.consensus_events = collections.deque()
        self.call_every(self.core.settings.tick_interval_ms, self.tick_core)
        self.step_consensus(consensus.Tick())

    @property
    def has_quorum(self):
        return self.consensus_node.is_leader_with_quorum(self.now_ms)

    def step_consensus(self, event):
        """Step the control log; queue events that are caused by the step."""
        self.consensus_events.append(event)
        if len(self.consensus_events) > 1:
            return
        while self.consensus_events:
            for action in self.consensus_node.step(
                self.consensus_events[0], self.now_ms
            ):
                self.run_action(action)
            self.consensus_events.popleft()
        due_ms = self.consensus_node.deadline_ms(self.now_ms)
        if self.consensus_due_ms is None or due_ms < self.consensus_due_ms:
            self.consensus_due_ms = due_ms
            # Rounding can fire the timer slightly before the deadline.
            delay_ms = max(0.05, due_ms - self.now_ms)
            self.call_later(delay_ms, self.tick_consensus, due_ms)

    def tick_consensus(self, due_ms):
        if due_ms == self.consensus_due_ms:
            self.consensus_due_ms = None
            self.step_consensus(consensus.Tick())

    def tick_core(self):
        self.step_core(core_messages.ControlTick(self.has_quorum))

    def step_core(self, event):
        for action in self.core.step(event, self.now_ms):
            self.run_action(action)

    def run_action(self, action):
        ACTION_HANDLERS[type(action)](self, action)

    def on_consensus(self, sender, message):
        self.step_consensus(consensus.MessageReceived(sender, message))

    def on_persisted(self, action):
        """Update the stored state, then report that it is on disk."""
        self.stored_vote = action.vote or self.stored_vote
        after = action.truncate_after
        if after is not None:
            self.stored = [e for e in self.stored if e.index <= after]
        self.stored.extend(action.entries)
        self.step_consensus(consensus.Persisted(action.sequence))

    def on_renewal(self, daemon, renewal):
        """Relay a renewal and send the log entries that the proxy lacks."""
        self.last_renewed_ms[daemon] = self.now_ms
        self.send_entries(daemon, renewal.applied_index)
        self.relay("relayed_renewal", renewal)

    def on_announcement(self, server, announcement, number):
        self.send(server, "announced", number)
        self.relay("relayed_announcement", announcement)

    def relay(self, name, message):
        """Pass a message of a proxy or server to the control leader."""
        leader = self.consensus_node.leader_hint
        if leader == self.name:
            getattr(self, f"on_{name}")(self.name, message)
        elif leader is not None:
            wait_ms = self.world.rng.random() * RELAY_BATCH_MS
            self.call_later(wait_ms, self.send, leader, name, message)

    def on_relayed_renewal(self, relaying_member, renewal):
        event = core_messages.RenewalReceived(renewal, self.has_quorum)
        for action in self.core.step(event, self.now_ms):
            if isinstance(action, core_messages.GrantLease):
                self.send(relaying_member, "answer", action)
            elif not isinstance(action, core_messages.RefuseLease):
                self.run_action(action)

    def on_relayed_announcement(self, relaying_member, announcement):
        event = core_messages.AnnouncementReceived(announcement)
        self.step_core(event)

    def on_answer(self, leader, grant):
        self.send(grant.daemon, "grant", grant)

    def send_entries(self, daemon, applied_index):
        entries = self.committed[applied_index:]
        if entries:
            self.send(daemon, "entries", applied_index, tuple(entries))

    def on_outcome(self, server, action, outcome):
        """Pass an outcome to the core unless the action has ended."""
        if self.pending_actions.pop(action, None) is not None:
            self.step_core(outcome)

    def expire_action(self, action, number):
        if self.pending_actions.get(action) == number:
            del self.pending_actions[action]
            self.step_core(failover.ActionFailed(action, "no answer"))


@on_action(consensus.Send)
def _send(member, action):
    member.send(action.recipient, "consensus", action.message)


@on_action(consensus.Persist)
def _persist(member, action):
    member.call_later(SYNC_MS, member.on_persisted, action)


@on_action(consensus.Commit)
def _commit(member, action):
    for record in action.entries:
        entry = decode_entry(record.payload)
        member.committed.append(entry)
        if member.on_commit is not None:
            member.on_commit(entry)
        event = core_messages.EntryCommitted(record.index, entry)
        member.step_core(event)
    first_index = action.entries[0].index
    # Other proxies receive the entries when they renew again.
    for daemon, renewed_ms in member.last_renewed_ms.items():
        if member.now_ms - renewed_ms < 1000.0:
            member.send_entries(daemon, first_index - 1)


@on_action(consensus.BecomeLeader)
def _become_leader(member, action):
    member.step_core(core_messages.BecameLeader())


@on_action(consensus.StepDown)
def _step_down(member, action):
    member.step_core(core_messages.SteppedDown())


@on_action(core_messages.GiveUpLeadership)
def _give_up_leadership(member, action):
    member.step_consensus(consensus.Resign())


@on_action(consensus.Accepted, consensus.Refused)
def _ignore(member, action):
    """Ignore the result: the core repeats proposals until they commit."""


@on_action(failover.Propose)
def _propose(member, action):
    payload = encode_entry(action.entry)
    member.step_consensus(consensus.Propose(next(member.numbers), payload))


@on_action(
    failover.FenceServer,
    failover.ReadPosition,
    failover.PromoteServer,
    failover.RepointServer,
)
def _run_sql(member, action):
    number = next(member.numbers)
    member.pending_actions[action] = number
    member.send(action.endpoint, "sql", action)
    member.call_later(
        action.time_limit_ms, member.expire_action, action, number
    )
