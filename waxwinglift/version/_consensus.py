"""State machine of one member of the replicated control log.

The module performs no I/O: ``ConsensusNode.step`` takes an event and returns
the actions to execute.  ``_consensus_driver`` runs this loop on top of a
store; any other driver must

1. start from ``store.load()`` and the fleet state of its snapshot;
2. call ``step`` with ``Tick`` when ``deadline_ms`` is reached (each step may
   change it), and with ``MessageReceived``, ``Propose``, ``ProposeBatch``,
   ``Resign`` and ``ConfirmLeadership`` as they arrive;
3. write the ``Persist`` actions in order, and call ``step`` with
   ``Persisted`` only after the write; other actions need not wait for it;
4. call ``step`` with ``SnapshotTaken`` each time a certain number of entries
   has been applied.
"""

from waxwinglift.version import _consensus_follower
from waxwinglift.version._consensus_election import campaign
from waxwinglift.version._consensus_leader import broadcast
from waxwinglift.version._consensus_leader import check_quorum
from waxwinglift.version._consensus_state import EVENT_HANDLERS
from waxwinglift.version._consensus_state import MESSAGE_HANDLERS
from waxwinglift.version._consensus_state import NodeState
from waxwinglift.version._consensus_state import on_event
from waxwinglift.version._consensus_types import ConfirmLeadership
from waxwinglift.version._consensus_types import MessageReceived
from waxwinglift.version._consensus_types import NodeRole
from waxwinglift.version._consensus_types import Tick

# Modules whose import fills the registries.
HANDLER_MODULES = (_consensus_follower,)


@on_event(Tick)
def _on_tick(node, event, now_ms):
    if node.role is NodeRole.LEADER:
        if now_ms >= node.broadcast_ms + node.settings.heartbeat_ms:
            broadcast(node, now_ms)
    elif now_ms >= node.election_deadline_ms:
        campaign(node, now_ms)


@on_event(ConfirmLeadership)
def _on_confirm(node, event, now_ms):
    if node.role is NodeRole.LEADER:
        broadcast(node, now_ms)


@on_event(MessageReceived)
def _on_message_received(node, event, now_ms):
    handler = MESSAGE_HANDLERS[type(event.message)]
    handler(node, event.sender, event.message, now_ms)


class ConsensusNode:
    """One member of the control group.

    Parameters
    ----------
    settings : ConsensusSettings
    storage_state : StorageState
        Content of the store at startup.
    rng : random.Random
        Randomizes the election timeouts.
    """

    def __init__(self, settings, storage_state, rng):
        self._state = NodeState(settings, storage_state, rng)

    def step(self, event, now_ms):
        """Handle ``event`` and return the actions to execute in order.

        Parameters
        ----------
        event : Event
        now_ms : float
            Monotonic time; must not be lower than in the previous step.

        Returns
        -------
        list of Action

        Raises
        ------
        ConsensusError
            The log contradicts committed entries; the member must stop.
        """
        node = self._state
        node.actions = []
        if node.leader_contact_ms is None:
            node.leader_contact_ms = now_ms
            node.set_first_election_deadline(now_ms)
        check_quorum(node, now_ms)
        EVENT_HANDLERS[type(event)](node, event, now_ms)
        return node.actions

    def deadline_ms(self, now_ms):
        """Return when the next Tick is due."""
        node = self._state
        if node.leader_contact_ms is None:
            return now_ms
        if node.role is not NodeRole.LEADER:
            return node.election_deadline_ms
        contact_ms = node.quorum_contact_ms or node.elected_ms
        return min(
            node.broadcast_ms + node.settings.heartbeat_ms,
            contact_ms + node.settings.check_quorum_ms,
        )

    def is_leader_with_quorum(self, now_ms):
        """Return whether this member may act for the group at ``now_ms``.

        True if a majority answered within the check-quorum time and an entry
        of the member's own term is committed.  The latter ensures that it
        has applied all entries that earlier leaders committed.  At most one
        member is in this state at a time.
        """
        node = self._state
        has_committed = node.commit_index >= node.term_start_index
        return has_committed and node.has_quorum_contact(now_ms)

    @property
    def quorum_contact_ms(self):
        """Send time of the latest round that a majority answered, or None."""
        return self._state.quorum_contact_ms

    @property
    def leader_hint(self):
        """Leader known to this member, or None; it may be outdated."""
        return self._state.leader

    @property
    def role(self):
        return self._state.role

    @property
    def term(self):
        return self._state.term

    @property
    def commit_index(self):
        return self._state.commit_index

    @property
    def members(self):
        """Configuration in use, as MemberRole rows."""
        return self._state.configuration.members

    @property
    def snapshot(self):
        """Latest snapshot, or None; for readers of the committed log."""
        return self._state.snapshot

    def committed_entries(self, after_index, limit_bytes):
        """Return committed entries after ``after_index``.

        Parameters
        ----------
        after_index : LogIndex
        limit_bytes : int
            Maximum total payload size; a single larger entry is returned.

        Returns
        -------
        tuple of LogEntry or None
            None if they have been compacted and the reader needs the
            snapshot.
        """
        log = self._state.log
        if after_index < log.base_index:
            return None
        entries = log.batch(after_index + 1, limit_bytes)
        return tuple(e for e in entries if e.index <= self.commit_index)

    def time_since_answer_ms(self, now_ms):
        """Return the time since each other member last answered.

        Only meaningful on the leader.
        """
        node = self._state
        return {
            member: now_ms - max(progress.contact_ms, node.elected_ms)
            for member, progress in node.progress.items()
        }

    def match_indexes(self):
        """Return the last known durable index of each other member.

        Only meaningful on the leader.
        """
        progress = self._state.progress
        return {member: p.match_index for member, p in progress.items()}
