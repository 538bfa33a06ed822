"""State of one consensus node and operations shared by its modules."""

import collections
import dataclasses

from waxwinglift.process import Registry
from waxwinglift.version._consensus_log import MemoryLog
from waxwinglift.version._consensus_membership import MembershipHistory
from waxwinglift.version._consensus_types import Commit
from waxwinglift.version._consensus_types import NodeRole
from waxwinglift.version._consensus_types import Persist
from waxwinglift.version._consensus_types import Send
from waxwinglift.version._consensus_types import StepDown
from waxwinglift.version._consensus_types import Vote

EVENT_HANDLERS = Registry()
MESSAGE_HANDLERS = Registry()
# A handler takes ``(node, event, now_ms)``.
on_event = EVENT_HANDLERS.register
# A handler takes ``(node, sender, message, now_ms)``.
on_message = MESSAGE_HANDLERS.register


@dataclasses.dataclass(slots=True)
class MemberProgress:
    """Replication progress of another member, at the leader.

    ``next_index`` is the next index to send.  Up to ``match_index``, the log
    is known to be durable and equal to the leader's.  ``contact_ms`` is the
    send time of the latest append that the member has answered.
    ``backtracked_ms`` is the time at which ``next_index`` was last moved back
    after a rejection.
    """

    next_index: int
    match_index: int = 0
    contact_ms: float = float("-inf")
    snapshot_sent_ms: float = float("-inf")
    backtracked_ms: float = float("-inf")


@dataclasses.dataclass(slots=True)
class PendingPersist:
    """A Persist action that has not been reported as durable yet.

    Once it is durable, ``sends`` are sent and, if ``counts_vote``, the
    member's own vote counts, unless the term has changed.
    """

    sequence: int
    term: int
    last_index: int
    sends: tuple[Send, ...]
    counts_vote: bool


class NodeState:
    """Volatile and durable state of one member."""

    def __init__(self, settings, storage_state, rng):
        snapshot = storage_state.snapshot
        self.settings = settings
        self.rng = rng
        self.member = settings.member
        self.actions = []
        self.term = storage_state.vote.term
        self.voted_for = storage_state.vote.voted_for
        self.durable_term = self.term
        self.snapshot = snapshot
        self.log = MemoryLog(snapshot, storage_state.entries)
        self.membership = MembershipHistory(snapshot, storage_state.entries)
        self.commit_index = snapshot.index if snapshot else 0
        self.pending = collections.deque()
        self.sequence = 0
        self.role = NodeRole.FOLLOWER
        self.leader = None
        # None until the first event, which then counts as a contact: before
        # the restart, this member may have answered a leader.
        self.leader_contact_ms = None
        self.election_deadline_ms = 0.0
        self.resigned_until_ms = float("-inf")
        self.votes = set()
        # Follower state.  Up to ``verified_index`` the log is known to equal
        # the leader's; the other two are as received from the leader.
        self.verified_index = 0
        self.leader_commit_index = 0
        self.leader_sent_ms = 0.0
        # Leader state.
        self.progress = {}
        self.term_start_index = 0
        self.elected_ms = 0.0
        self.broadcast_ms = 0.0
        self.quorum_contact_ms = None

    @property
    def configuration(self):
        return self.membership.current

    @property
    def is_voter(self):
        return self.member in self.configuration.voters

    def others(self, members):
        return [m for m in members if m != self.member]

    def send(self, recipient, message):
        self.actions.append(Send(recipient, message))

    def reset_election_deadline(self, now_ms):
        low = self.settings.election_timeout_min_ms
        high = self.settings.election_timeout_max_ms
        if now_ms < self.resigned_until_ms:
            # Later than members that have not resigned.
            low, high = high, high + low / 2
        self.election_deadline_ms = now_ms + self.rng.uniform(low, high)

    def set_first_election_deadline(self, now_ms):
        """Set the first election deadline after a start.

        It lies in the first half of the usual range, which shortens the time
        without a leader after a restart of all members.  Otherwise it does
        no harm, because members in contact with a leader refuse the
        pre-votes.
        """
        low = self.settings.election_timeout_min_ms
        middle = (low + self.settings.election_timeout_max_ms) / 2
        self.election_deadline_ms = now_ms + self.rng.uniform(low, middle)

    def hasten_election(self, now_ms):
        """Move the election deadline to within one heartbeat interval."""
        delay_ms = self.rng.uniform(0, self.settings.heartbeat_ms)
        self.election_deadline_ms = min(
            self.election_deadline_ms, now_ms + delay_ms
        )

    def persist(self, sends=(), counts_vote=False, last_index=0, **fields):
        """Emit a Persist action with ``fields``; record what depends on it."""
        self.sequence += 1
        self.actions.append(Persist(self.sequence, **fields))
        self.pending.append(
            PendingPersist(
                self.sequence, self.term, last_index, sends, counts_vote
            )
        )

    def persist_vote(self, **dependents):
        self.persist(vote=Vote(self.term, self.voted_for), **dependents)

    def persist_entries(self, entries, truncate_after=None):
        self.persist(
            entries=tuple(entries),
            truncate_after=truncate_after,
            last_index=entries[-1].index,
        )

    def discard_pending_after(self, index):
        """Do not count pending writes of entries after ``index``.

        Those entries have been replaced.
        """
        for record in self.pending:
            record.last_index = min(record.last_index, index)

    def become_follower(self, term, leader, now_ms):
        """Become a follower of ``leader``, if known, in ``term``."""
        was_leader = self.role is NodeRole.LEADER
        self.role = NodeRole.FOLLOWER
        self.leader = leader
        self.votes.clear()
        self.progress.clear()
        self.verified_index = 0
        self.leader_commit_index = 0
        self.quorum_contact_ms = None
        if term > self.term:
            self.term = term
            self.voted_for = None
            self.persist_vote()
        if was_leader:
            self.reset_election_deadline(now_ms)
            self.actions.append(StepDown(self.term))

    def commit_to(self, index):
        """Advance the commit index to ``index``; emit the new entries."""
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, index)
        self.commit_index = index
        self.actions.append(Commit(entries))

    @property
    def is_majority(self):
        """Whether this member is a majority of the voters by itself."""
        return self.configuration.is_majority({self.member})

    def has_quorum_contact(self, now_ms):
        """Return whether a majority answered within the check-quorum time."""
        if self.role is not NodeRole.LEADER or self.quorum_contact_ms is None:
            return False
        if self.is_majority:
            return True
        age_ms = now_ms - self.quorum_contact_ms
        return age_ms < self.settings.check_quorum_ms
