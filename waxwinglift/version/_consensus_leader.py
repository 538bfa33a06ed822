"""Replication, commits and membership changes at the leader."""

from waxwinglift.version._consensus_membership import read_change
from waxwinglift.version._consensus_messages import AppendRequest
from waxwinglift.version._consensus_messages import AppendResponse
from waxwinglift.version._consensus_messages import LogEntry
from waxwinglift.version._consensus_messages import SnapshotRequest
from waxwinglift.version._consensus_state import on_event
from waxwinglift.version._consensus_state import on_message
from waxwinglift.version._consensus_state import MemberProgress
from waxwinglift.version._consensus_types import Accepted
from waxwinglift.version._consensus_types import BecomeLeader
from waxwinglift.version._consensus_types import NodeRole
from waxwinglift.version._consensus_types import ProposalRefusal
from waxwinglift.version._consensus_types import Propose
from waxwinglift.version._consensus_types import ProposeBatch
from waxwinglift.version._consensus_types import Refused
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._entries import NoOperation
from waxwinglift.version._entry_codec import encode_entry

_NO_OPERATION = encode_entry(NoOperation())


def become_leader(node, now_ms):
    """Become leader and append the first entry of the term."""
    node.role = NodeRole.LEADER
    node.leader = node.member
    node.elected_ms = now_ms
    node.quorum_contact_ms = None
    node.term_start_index = node.log.last_index + 1
    node.actions.append(BecomeLeader(node.term))
    _append(node, _NO_OPERATION)
    broadcast(node, now_ms)


def _append(node, payload):
    entry = _append_unpersisted(node, payload)
    node.persist_entries((entry,))


def _append_unpersisted(node, payload):
    """Append an entry; the caller must persist it."""
    entry = LogEntry(node.log.last_index + 1, node.term, payload)
    node.log.append(entry)
    node.membership.on_append(entry)
    _update_progress(node)
    return entry


def _update_progress(node):
    members = node.others(node.configuration.all_members)
    for member in members:
        if member not in node.progress:
            node.progress[member] = MemberProgress(node.log.last_index)
    for member in set(node.progress) - set(members):
        del node.progress[member]


def broadcast(node, now_ms):
    """Send appends to all members; without new entries, as heartbeats."""
    node.broadcast_ms = now_ms
    for member in node.progress:
        _send_append(node, member, now_ms)
    _update_quorum_contact(node)


def _send_append(node, member, now_ms):
    progress = node.progress[member]
    previous_index = progress.next_index - 1
    entries = ()
    if previous_index < node.log.base_index:
        _send_snapshot(node, member, now_ms)
        # Send a plain heartbeat: index 0 matches in every log.
        previous_index = 0
    else:
        limit_bytes = node.settings.batch_limit_bytes
        entries = node.log.batch(progress.next_index, limit_bytes)
        progress.next_index += len(entries)
    request = AppendRequest(
        term=node.term,
        previous_index=previous_index,
        previous_term=node.log.term_at(previous_index) or 0,
        entries=entries,
        commit_index=node.commit_index,
        sent_ms=now_ms,
    )
    node.send(member, request)


def _send_snapshot(node, member, now_ms):
    progress = node.progress[member]
    age_ms = now_ms - progress.snapshot_sent_ms
    if age_ms < node.settings.snapshot_resend_ms:
        return
    progress.snapshot_sent_ms = now_ms
    node.send(member, SnapshotRequest(node.term, node.snapshot, now_ms))


@on_message(AppendResponse)
def _on_append_response(node, sender, response, now_ms):
    if response.term > node.term:
        node.become_follower(response.term, None, now_ms)
        return
    progress = node.progress.get(sender)
    is_current = response.term == node.term
    if node.role is not NodeRole.LEADER or not is_current or not progress:
        return
    progress.contact_ms = max(progress.contact_ms, response.sent_ms)
    _update_quorum_contact(node)
    if response.is_accepted:
        _on_match(node, progress, response.match_index, now_ms)
    else:
        _on_mismatch(progress, response, now_ms)
    # This member may have stepped down in advance_commit.
    if node.role is NodeRole.LEADER:
        _send_missing(node, sender, now_ms)


def _send_missing(node, member, now_ms):
    """Send the entries or snapshot that the member lacks, no heartbeat.

    A heartbeat sent on a response would be answered in turn: while a
    snapshot is in flight, the two members would exchange messages endlessly.
    """
    progress = node.progress[member]
    if progress.next_index <= node.log.base_index:
        _send_snapshot(node, member, now_ms)
    elif progress.next_index <= node.log.last_index:
        _send_append(node, member, now_ms)


def _on_match(node, progress, match_index, now_ms):
    progress.match_index = max(progress.match_index, match_index)
    following_index = progress.match_index + 1
    progress.next_index = max(progress.next_index, following_index)
    advance_commit(node, now_ms)


def _on_mismatch(progress, response, now_ms):
    """Move ``next_index`` back after a rejection.

    Rejections of requests sent before the last such step are ignored.
    """
    if response.sent_ms < progress.backtracked_ms:
        return
    progress.backtracked_ms = now_ms
    lower_index = min(progress.next_index, response.match_index + 1)
    progress.next_index = max(progress.match_index + 1, lower_index)


def _member_values(node, own_value, attribute):
    """Return an attribute of each member's progress, and the own value."""
    values = {m: getattr(p, attribute) for m, p in node.progress.items()}
    values[node.member] = own_value
    return values


def _update_quorum_contact(node):
    """Record the send time of the latest round that a majority answered."""
    values = _member_values(node, node.broadcast_ms, "contact_ms")
    contact_ms = node.configuration.majority_value(values)
    if contact_ms >= node.elected_ms:
        known_ms = node.quorum_contact_ms or contact_ms
        node.quorum_contact_ms = max(known_ms, contact_ms)


def check_quorum(node, now_ms):
    """Step down if no majority answered within the check-quorum time."""
    if node.role is not NodeRole.LEADER or node.is_majority:
        return
    contact_ms = node.quorum_contact_ms or node.elected_ms
    if now_ms - contact_ms >= node.settings.check_quorum_ms:
        node.become_follower(node.term, None, now_ms)


def advance_commit(node, now_ms):
    """Commit the entries that are durable at a majority.

    An entry of an older term may still be replaced by a leader without it,
    even if a majority holds it.  It is therefore only committed together
    with a later entry of the current term.
    """
    values = _member_values(node, node.log.durable_index, "match_index")
    index = node.configuration.majority_value(values)
    is_own_term = node.log.term_at(index) == node.term
    if index <= node.commit_index or not is_own_term:
        return
    node.commit_to(index)
    broadcast(node, now_ms)
    _step_down_if_removed(node, now_ms)


def _step_down_if_removed(node, now_ms):
    is_removed = node.member not in node.configuration.all_members
    if is_removed and node.configuration.index <= node.commit_index:
        node.become_follower(node.term, None, now_ms)


@on_event(Propose)
def _on_propose(node, event, now_ms):
    _append_proposals(node, (event,), now_ms)


@on_event(ProposeBatch)
def _on_propose_batch(node, event, now_ms):
    _append_proposals(node, event.proposals, now_ms)


def _append_proposals(node, proposals, now_ms):
    entries = []
    for proposal in proposals:
        reason = _find_refusal(node, proposal.payload, now_ms)
        if reason is not None:
            refused = Refused(proposal.proposal, reason, node.leader)
            node.actions.append(refused)
            continue
        entry = _append_unpersisted(node, proposal.payload)
        entries.append(entry)
        accepted = Accepted(proposal.proposal, entry.index, entry.term)
        node.actions.append(accepted)
    if entries:
        node.persist_entries(entries)
        broadcast(node, now_ms)


def _find_refusal(node, payload, now_ms):
    if node.role is not NodeRole.LEADER:
        return ProposalRefusal.NOT_LEADER
    change = read_change(payload)
    if change is None:
        return None
    # Until an entry of this term is committed, a membership change of an
    # earlier term may still be undecided, and the majorities of two
    # undecided changes need not overlap.
    if node.commit_index < node.term_start_index:
        return ProposalRefusal.TERM_NOT_COMMITTED
    if node.configuration.index > node.commit_index:
        return ProposalRefusal.CHANGE_IN_PROGRESS
    if node.configuration.changed_by(change, 0) is None:
        return ProposalRefusal.INVALID_CHANGE
    if change.kind is EntryKind.MEMBER_PROMOTED:
        return _find_catch_up_refusal(node, change.member, now_ms)
    return None


def _find_catch_up_refusal(node, member, now_ms):
    """Return NOT_CAUGHT_UP unless the learner may become a voter.

    It must hold all committed entries durably and have answered recently.
    Otherwise it would raise the majority without being able to contribute to
    it, and the loss of another member would stop the group.
    """
    progress = node.progress[member]
    age_ms = now_ms - progress.contact_ms
    is_recent = age_ms < node.settings.check_quorum_ms
    if is_recent and progress.match_index >= node.commit_index:
        return None
    return ProposalRefusal.NOT_CAUGHT_UP
