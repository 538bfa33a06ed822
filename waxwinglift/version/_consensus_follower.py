"""Handling of appends and snapshots at a follower, and of durable writes."""

from waxwinglift.version._consensus_election import count_vote
from waxwinglift.version._consensus_leader import advance_commit
from waxwinglift.version._consensus_messages import AppendRequest
from waxwinglift.version._consensus_messages import AppendResponse
from waxwinglift.version._consensus_messages import Snapshot
from waxwinglift.version._consensus_messages import SnapshotRequest
from waxwinglift.version._consensus_state import on_event
from waxwinglift.version._consensus_state import on_message
from waxwinglift.version._consensus_types import ConsensusError
from waxwinglift.version._consensus_types import InstallSnapshot
from waxwinglift.version._consensus_types import NodeRole
from waxwinglift.version._consensus_types import Persisted
from waxwinglift.version._consensus_types import SnapshotTaken


def _follow(node, sender, request, now_ms):
    """Follow the sender as leader; return False if its term is outdated."""
    if request.term < node.term:
        response = AppendResponse(node.term, False, 0, request.sent_ms)
        node.send(sender, response)
        return False
    if request.term == node.term and node.role is NodeRole.LEADER:
        raise ConsensusError(
            f"{sender} claims to lead term {node.term}, led by this member"
        )
    if request.term > node.term or node.leader != sender:
        node.become_follower(request.term, sender, now_ms)
    node.leader_contact_ms = now_ms
    node.leader_sent_ms = request.sent_ms
    node.reset_election_deadline(now_ms)
    return True


def _acknowledge(node):
    """Report the durable entries that are known to equal the leader's.

    Nothing is reported until the term is durable.  Otherwise the member
    could follow the leader of an older term after a crash and drop entries
    that it has reported.
    """
    match_index = min(node.verified_index, node.log.durable_index)
    if node.durable_term < node.term:
        match_index = 0
    response = AppendResponse(
        node.term, True, match_index, node.leader_sent_ms
    )
    node.send(node.leader, response)


def _commit_agreed(node):
    """Commit entries that the leader committed and that are durable here."""
    agreed_index = min(node.leader_commit_index, node.verified_index)
    node.commit_to(min(agreed_index, node.log.durable_index))


@on_message(AppendRequest)
def _on_append_request(node, sender, request, now_ms):
    if not _follow(node, sender, request, now_ms):
        return
    if not _has_previous_entry(node, request):
        hint_index = _find_match_hint(node, request)
        response = AppendResponse(
            node.term, False, hint_index, request.sent_ms
        )
        node.send(sender, response)
        return
    _store_entries(node, request.entries)
    matched_index = request.previous_index + len(request.entries)
    node.verified_index = max(node.verified_index, matched_index)
    commit_index = max(node.leader_commit_index, request.commit_index)
    node.leader_commit_index = commit_index
    _commit_agreed(node)
    _acknowledge(node)


def _has_previous_entry(node, request):
    # Committed entries are equal at all leaders.
    if request.previous_index <= node.commit_index:
        return True
    return node.log.term_at(request.previous_index) == request.previous_term


def _find_match_hint(node, request):
    """Return an index up to which the two logs may agree."""
    if request.previous_index > node.log.last_index:
        return node.log.last_index
    first_index = node.log.first_index_of_term(request.previous_index)
    return max(node.commit_index, first_index - 1)


def _store_entries(node, entries):
    """Append the new entries and drop the entries that they replace."""
    _check_committed(node, entries)
    new_entries = [
        entry
        for entry in entries
        if entry.index > node.commit_index
        and node.log.term_at(entry.index) != entry.term
    ]
    if not new_entries:
        return
    first_index = new_entries[0].index
    truncate_after = None
    if first_index <= node.log.last_index:
        truncate_after = first_index - 1
        _truncate(node, truncate_after)
    for entry in new_entries:
        node.log.append(entry)
        node.membership.on_append(entry)
    node.persist_entries(new_entries, truncate_after)


def _check_committed(node, entries):
    """Raise ConsensusError if an entry differs from a committed one."""
    for entry in entries:
        known_term = node.log.term_at(entry.index)
        is_committed = entry.index <= node.commit_index
        if is_committed and known_term not in (None, entry.term):
            raise ConsensusError(
                f"received an entry of term {entry.term} for index"
                f" {entry.index}, which is committed with term {known_term}"
            )


def _truncate(node, index):
    node.log.truncate_after(index)
    node.membership.on_truncate(index)
    node.discard_pending_after(index)


@on_message(SnapshotRequest)
def _on_snapshot_request(node, sender, request, now_ms):
    if not _follow(node, sender, request, now_ms):
        return
    snapshot = request.snapshot
    is_known = node.log.term_at(snapshot.index) == snapshot.term
    if snapshot.index > node.commit_index and not is_known:
        _install(node, snapshot)
    node.verified_index = max(node.verified_index, snapshot.index)
    commit_index = max(node.leader_commit_index, snapshot.index)
    node.leader_commit_index = commit_index
    _commit_agreed(node)
    _acknowledge(node)


def _install(node, snapshot):
    node.log.reset(snapshot)
    node.membership.reset(snapshot)
    node.discard_pending_after(0)
    node.snapshot = snapshot
    node.commit_index = snapshot.index
    node.persist(snapshot=snapshot, last_index=snapshot.index)
    node.actions.append(InstallSnapshot(snapshot))


@on_event(Persisted)
def _on_persisted(node, event, now_ms):
    """Act on the writes that have become durable."""
    old_durable_index = node.log.durable_index
    old_durable_term = node.durable_term
    while node.pending and node.pending[0].sequence <= event.sequence:
        _complete_write(node, node.pending.popleft(), now_ms)
    if (node.log.durable_index, node.durable_term) == (
        old_durable_index,
        old_durable_term,
    ):
        return
    if node.role is NodeRole.LEADER:
        advance_commit(node, now_ms)
    elif node.role is NodeRole.FOLLOWER and node.leader is not None:
        _commit_agreed(node)
        _acknowledge(node)


def _complete_write(node, record, now_ms):
    durable_index = max(node.log.durable_index, record.last_index)
    node.log.durable_index = durable_index
    node.durable_term = max(node.durable_term, record.term)
    if record.term != node.term:
        return
    node.actions.extend(record.sends)
    if record.counts_vote and node.role is NodeRole.CANDIDATE:
        count_vote(node, node.member, now_ms)


@on_event(SnapshotTaken)
def _on_snapshot_taken(node, event, now_ms):
    """Compact the log up to a new snapshot; ignore an outdated one."""
    latest_index = node.snapshot.index if node.snapshot else 0
    if event.index <= latest_index:
        return
    if event.index > node.commit_index:
        raise ConsensusError(
            f"snapshot index {event.index} is above commit index"
            f" {node.commit_index}"
        )
    node.snapshot = Snapshot(
        index=event.index,
        term=node.log.term_at(event.index),
        members=node.membership.at(event.index).members,
        data=event.data,
    )
    node.persist(snapshot=node.snapshot)
    node.membership.on_compact(event.index)
    retained_count = node.settings.retained_entries_count
    node.log.compact(event.index - retained_count)
