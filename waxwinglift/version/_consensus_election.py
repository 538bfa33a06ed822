"""Pre-votes, votes and the transition to leader."""

from waxwinglift.version._consensus_leader import become_leader
from waxwinglift.version._consensus_messages import PreVoteRequest
from waxwinglift.version._consensus_messages import PreVoteResponse
from waxwinglift.version._consensus_messages import VoteRequest
from waxwinglift.version._consensus_messages import VoteResponse
from waxwinglift.version._consensus_state import on_event
from waxwinglift.version._consensus_state import on_message
from waxwinglift.version._consensus_types import NodeRole
from waxwinglift.version._consensus_types import Resign
from waxwinglift.version._consensus_types import Send


def must_refuse_votes(node, now_ms):
    """Return whether the member must refuse votes and pre-votes.

    True while a leader may still count the last answer of this member
    towards its quorum.  A leader stops acting as one before the minimum
    election timeout has elapsed at a majority.
    """
    if node.role is NodeRole.LEADER:
        return node.has_quorum_contact(now_ms)
    age_ms = now_ms - node.leader_contact_ms
    return age_ms < node.settings.election_timeout_min_ms


def campaign(node, now_ms):
    """Request pre-votes.

    A learner, or a member that must refuse votes, only resets its election
    deadline.
    """
    node.reset_election_deadline(now_ms)
    if not node.is_voter or must_refuse_votes(node, now_ms):
        return
    node.become_follower(node.term, None, now_ms)
    node.role = NodeRole.PRE_CANDIDATE
    request = PreVoteRequest(
        node.term + 1, node.log.last_index, node.log.last_term
    )
    for member in node.others(node.configuration.voters):
        node.send(member, request)
    _count_pre_vote(node, node.member, now_ms)


@on_event(Resign)
def _on_resign(node, event, now_ms):
    """Step down, and let other members start the next election."""
    if node.role is NodeRole.LEADER:
        node.resigned_until_ms = now_ms + node.settings.resign_ms
        node.become_follower(node.term, None, now_ms)


def _count_pre_vote(node, member, now_ms):
    """Count a pre-vote; start an election once a majority is reached."""
    node.votes.add(member)
    if node.configuration.is_majority(node.votes):
        _start_election(node, now_ms)


def _start_election(node, now_ms):
    """Start an election.

    The vote requests are sent once the member's own vote is durable.
    """
    node.role = NodeRole.CANDIDATE
    node.term += 1
    node.voted_for = node.member
    node.votes.clear()
    node.reset_election_deadline(now_ms)
    request = VoteRequest(node.term, node.log.last_index, node.log.last_term)
    voters = node.others(node.configuration.voters)
    sends = tuple(Send(member, request) for member in voters)
    node.persist_vote(sends=sends, counts_vote=True)


def count_vote(node, member, now_ms):
    """Count a durable vote; become leader once a majority is reached."""
    node.votes.add(member)
    if node.configuration.is_majority(node.votes):
        become_leader(node, now_ms)


def _may_vote(node, sender, request):
    if request.term < node.term:
        return False
    has_free_vote = request.term > node.term or node.voted_for in (
        None,
        sender,
    )
    return has_free_vote and _is_up_to_date(node, request)


def _is_up_to_date(node, request):
    """Return whether the sender's log is at least as complete."""
    return node.log.is_other_up_to_date(request.last_index, request.last_term)


@on_message(PreVoteRequest)
def _on_pre_vote_request(node, sender, request, now_ms):
    """Answer a pre-vote request.

    If this member's log is more complete, it starts an election soon: with
    few members left, the sender cannot win without this member's vote.
    """
    is_allowed = not must_refuse_votes(node, now_ms)
    is_granted = is_allowed and _may_vote(node, sender, request)
    if is_allowed and not _is_up_to_date(node, request):
        node.hasten_election(now_ms)
    term = request.term if is_granted else node.term
    node.send(sender, PreVoteResponse(term, is_granted))


@on_message(PreVoteResponse)
def _on_pre_vote_response(node, sender, response, now_ms):
    if not response.is_granted:
        if response.term > node.term:
            node.become_follower(response.term, None, now_ms)
        return
    is_expected = response.term == node.term + 1
    if node.role is NodeRole.PRE_CANDIDATE and is_expected:
        _count_pre_vote(node, sender, now_ms)


@on_message(VoteRequest)
def _on_vote_request(node, sender, request, now_ms):
    """Vote at most once per term; answer once the vote is durable.

    While a leader may still count this member towards its quorum, the
    request and its term are ignored, so that a member that was disconnected
    cannot depose the leader.
    """
    if must_refuse_votes(node, now_ms):
        return
    if request.term > node.term:
        node.become_follower(request.term, None, now_ms)
    if not _may_vote(node, sender, request):
        node.send(sender, VoteResponse(node.term, False))
        return
    node.voted_for = sender
    node.reset_election_deadline(now_ms)
    response = VoteResponse(node.term, True)
    node.persist_vote(sends=(Send(sender, response),))


@on_message(VoteResponse)
def _on_vote_response(node, sender, response, now_ms):
    if response.term > node.term:
        node.become_follower(response.term, None, now_ms)
        return
    is_current = response.term == node.term and response.is_granted
    if is_current and node.role is NodeRole.CANDIDATE:
        count_vote(node, sender, now_ms)
