"""Tests of the protocol rules of a single member.

A member may only send what is durable.  A row of the tables gives the terms
of the stored entries from index 7 on (entries 1 to 6 set up the members), the
stored vote and a script of events.  A number in a script sets the clock.
"""

import random

import pytest

from waxwinglift.version import _consensus_messages as m
from waxwinglift.version import _consensus_types as t
from waxwinglift.version._consensus import ConsensusNode
from waxwinglift.version._consensus_membership import bootstrap_entries
from waxwinglift.version._entries import MemberAdded
from waxwinglift.version._entries import MemberRemoved
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift.version.tests.virtual_group import ADDRESS

NAMES = ("m1", "m2", "m3")
TICK = t.Tick()
SYNCED = t.Persisted(99)
ADD_M4 = encode_entry(MemberAdded("m4", ADDRESS))
REMOVE_M3 = encode_entry(MemberRemoved("m3"))


def receive(sender, message):
    return t.MessageReceived(sender, message)


def request_vote(sender, term, index=6, log_term=0, kind=m.VoteRequest):
    return receive(sender, kind(term, index, log_term))


def append(sender, term, previous, *terms, commit=0, payload=b"{}"):
    entries = tuple(
        m.LogEntry(previous[0] + 1 + n, entry_term, payload)
        for n, entry_term in enumerate(terms)
    )
    request = m.AppendRequest(term, *previous, entries, commit, 5.0)
    return receive(sender, request)


def answer(term, match, sent_ms=1000.0, sender="m2"):
    response = m.AppendResponse(term, True, match, sent_ms)
    return receive(sender, response)


def grant(term, sender="m2", kind=m.VoteResponse):
    return receive(sender, kind(term, True))


def acked(term, match, accepted=True, to="m2"):
    return t.Send(to, m.AppendResponse(term, accepted, match, 5.0))


def voted(to, term, granted):
    return t.Send(to, m.VoteResponse(term, granted))


def run_script(start, script, seed=1):
    terms, vote = start
    entries = bootstrap_entries([(name, ADDRESS) for name in NAMES])
    entries += tuple(
        m.LogEntry(7 + n, term, b"{}") for n, term in enumerate(terms)
    )
    settings = t.ConsensusSettings(member="m1")
    storage = t.StorageState(t.Vote(*vote), None, entries)
    node = ConsensusNode(settings, storage, random.Random(seed))
    node.step(TICK, 0)
    now_ms, actions = 0, []
    for item in script:
        if isinstance(item, int):
            now_ms = item
        else:
            actions = node.step(item, now_ms)
    return node, [a for a in actions if isinstance(a, t.Send)]


def pre_voted(term, granted):
    return t.Send("m2", m.PreVoteResponse(term, granted))


NEW = ([], ())
TERM_1 = ([], (1,))
VOTED = ([], (1, "m2"))
PRE_VOTE = request_vote("m2", 1, kind=m.PreVoteRequest)
FIRST_VOTE, OTHER_VOTE, LATER_VOTE = (
    request_vote("m2", 1),
    request_vote("m3", 1),
    request_vote("m3", 2),
)
HEARTBEAT = append("m2", 1, (6, 0))
ENTRY = append("m2", 1, (6, 0), 1)
ENTRIES = append("m2", 1, (6, 0), 1, 1, 1)
REPLACED = append("m3", 2, (6, 0), 2)
NEXT_HEARTBEAT = append("m3", 2, (6, 0))
ACKED_6_TO_M3, ACKED_7_TO_M3 = (acked(2, match, to="m3") for match in (6, 7))


@pytest.mark.parametrize(
    ("start", "script", "sends"),
    [
        # A vote is sent once it is durable, and only once per term.
        (NEW, [400, FIRST_VOTE], []),
        (NEW, [400, FIRST_VOTE, SYNCED], [voted("m2", 1, True)]),
        (NEW, [400, FIRST_VOTE, SYNCED, OTHER_VOTE], [voted("m3", 1, False)]),
        (VOTED, [400, OTHER_VOTE], [voted("m3", 1, False)]),
        (VOTED, [400, FIRST_VOTE, SYNCED], [voted("m2", 1, True)]),
        # A candidate must hold all entries that may be committed.
        (NEW, [400, request_vote("m2", 1, index=5)], [voted("m2", 1, False)]),
        (
            ([2], (2,)),
            [400, request_vote("m2", 3, 9, 1)],
            [voted("m2", 3, False)],
        ),
        (([], (4,)), [400, request_vote("m2", 3)], [voted("m2", 4, False)]),
        # A member that may have answered a leader gives no votes for a time.
        (NEW, [299, FIRST_VOTE], []),
        (NEW, [299, PRE_VOTE], [pre_voted(0, False)]),
        (NEW, [300, PRE_VOTE], [pre_voted(1, True)]),
        (NEW, [400, HEARTBEAT, 699, LATER_VOTE], []),
        (
            NEW,
            [400, HEARTBEAT, 700, LATER_VOTE, SYNCED],
            [voted("m3", 2, True)],
        ),
        # Entries are acknowledged once they and the term are durable.
        (NEW, [10, HEARTBEAT], [acked(1, 0)]),
        (TERM_1, [10, HEARTBEAT], [acked(1, 6)]),
        (TERM_1, [10, ENTRY], [acked(1, 6)]),
        (NEW, [10, ENTRY, SYNCED], [acked(1, 7)]),
        # Entries after those of the leader are not known to be equal.
        (([1, 1], (2,)), [10, append("m2", 2, (7, 1))], [acked(2, 7)]),
        # A completed write of replaced entries does not cover the new ones;
        # the fourth write contains the new entry.
        (NEW, [10, ENTRIES, REPLACED, t.Persisted(3)], [ACKED_6_TO_M3]),
        (NEW, [10, ENTRIES, REPLACED, SYNCED], [ACKED_7_TO_M3]),
        (
            NEW,
            [10, ENTRIES, SYNCED, REPLACED, t.Persisted(3)],
            [ACKED_6_TO_M3],
        ),
        # Entries that equal an earlier leader's may differ from this one's.
        (NEW, [10, ENTRIES, SYNCED, NEXT_HEARTBEAT, SYNCED], [ACKED_6_TO_M3]),
        # A gap or a different previous term is rejected with a hint.
        (TERM_1, [append("m2", 1, (9, 1), 1)], [acked(1, 6, False)]),
        (
            ([1, 1], (3,)),
            [append("m2", 3, (8, 2), 3)],
            [acked(3, 6, False)],
        ),
        (([], (5,)), [append("m2", 4, (6, 0))], [acked(5, 0, False)]),
    ],
)
def test_messages_sent_by_a_member(start, script, sends):
    _, sent = run_script(start, script)
    assert sent == sends


CAMPAIGNING = [1000, TICK, grant(2, kind=m.PreVoteResponse)]
LEADING = [*CAMPAIGNING, SYNCED, grant(2)]
COMMITTED = [*LEADING, 1001, SYNCED, 1002, answer(2, 8)]


@pytest.mark.parametrize(
    ("script", "attribute", "value"),
    [
        # The member's own vote counts once it is durable.
        ([*CAMPAIGNING, grant(2)], "role", t.NodeRole.CANDIDATE),
        ([*CAMPAIGNING, grant(2), SYNCED], "role", t.NodeRole.LEADER),
        (LEADING, "role", t.NodeRole.LEADER),
        # Index 7 of term 1 may still be replaced; index 8 is of term 2.
        ([*LEADING, SYNCED, answer(2, 7)], "commit_index", 0),
        ([*LEADING, answer(2, 8)], "commit_index", 0),
        (COMMITTED, "commit_index", 8),
        # Answers of another term are ignored.
        ([*LEADING, SYNCED, answer(1, 8)], "commit_index", 0),
        (LEADING, "quorum_contact_ms", None),
        (COMMITTED, "quorum_contact_ms", 1000.0),
        ([*COMMITTED, 1249, TICK], "role", t.NodeRole.LEADER),
        ([*COMMITTED, 1250, TICK], "role", t.NodeRole.FOLLOWER),
        # A leader with a majority keeps its term if another member asks for
        # votes.
        ([*COMMITTED, 1200, request_vote("m3", 9, 9, 9)], "term", 2),
    ],
)
def test_candidate_or_leader_state(script, attribute, value):
    node, _ = run_script(([1], (1,)), script)
    assert getattr(node, attribute) == value


@pytest.mark.parametrize(
    ("script", "now_ms", "expected"),
    [
        (LEADING, 1001, False),
        ([*LEADING, answer(2, 7)], 1002, False),
        (COMMITTED, 1249, True),
        # No step has run since; the clock alone must end the leadership.
        (COMMITTED, 1250, False),
    ],
)
def test_leadership_with_quorum_ends_without_a_step(script, now_ms, expected):
    node, _ = run_script(([1], (1,)), script)
    assert node.is_leader_with_quorum(now_ms) is expected


ADDED = append("m2", 1, (6, 0), 1, payload=ADD_M4)
REMOVED = append("m2", 1, (6, 0), 1, payload=REMOVE_M3)


@pytest.mark.parametrize(
    ("script", "members"),
    [
        ([ADDED], "m1 m2 m3 m4"),
        ([REMOVED], "m1 m2"),
        # A change whose entry is replaced is undone.
        ([ADDED, REPLACED], "m1 m2 m3"),
    ],
)
def test_configuration_follows_the_appended_log(script, members):
    node, _ = run_script(NEW, script)
    assert " ".join(role.member for role in node.members) == members


FOLLOWING = [append("m2", 1, (6, 0), 1, commit=7), SYNCED]
LEADING_1 = [1000, TICK, grant(1, kind=m.PreVoteResponse), SYNCED, grant(1)]


@pytest.mark.parametrize(
    "script",
    [
        [*FOLLOWING, REPLACED],
        [*FOLLOWING, t.SnapshotTaken(9, b"")],
        [*LEADING_1, append("m3", 1, (6, 0))],
    ],
)
def test_contradiction_stops_the_member(script):
    # If it continued, committed entries would change.
    with pytest.raises(t.ConsensusError):
        run_script(NEW, script)


@pytest.mark.parametrize(
    ("payloads", "refused_count"),
    [
        ([b"{}", b"{}", b"{}"], 0),
        # A second membership change waits for the first, also in a batch.
        ([b"{}", ADD_M4, REMOVE_M3], 1),
    ],
)
def test_batch_takes_one_write_and_one_message(payloads, refused_count):
    # Proposed one by one, each entry costs a synced write and two messages
    # to each follower.  220 changes of primary kept the leader busy that way.
    proposals = tuple(t.Propose(n, p) for n, p in enumerate(payloads))
    node, _ = run_script(([1], (1,)), COMMITTED)
    actions = node.step(t.ProposeBatch(proposals), 1003)
    (written,) = [a for a in actions if isinstance(a, t.Persist)]
    sent = [a for a in actions if isinstance(a, t.Send)]
    (message,) = [a.message for a in sent if a.recipient == "m2"]
    assert message.entries == written.entries
    assert len(message.entries) == len(payloads) - refused_count
    answers = [a for a in actions if isinstance(a, t.Accepted)]
    assert [a.proposal for a in answers] == list(range(len(answers)))
    refused = [a for a in actions if isinstance(a, t.Refused)]
    assert len(refused) == refused_count


SETTINGS = t.ConsensusSettings(member="m1")
PRE_VOTE_OF_SHORTER_LOG = request_vote("m2", 3, 6, 0, kind=m.PreVoteRequest)


@pytest.mark.parametrize(
    ("start", "script", "least_ms", "most_ms"),
    [
        # There is no leader after a restart of all members: the deadline is
        # in the first half of the range, but not before the minimum election
        # timeout, for which an earlier leader may count this member.
        (NEW, [], SETTINGS.election_timeout_min_ms, 450.0),
        # A sender that lacks entries cannot win; this member can, so it
        # starts an election soon.
        (([1, 2], (2,)), [310, PRE_VOTE_OF_SHORTER_LOG], 310.0, 385.0),
        # While there may be a leader, the deadline does not change.
        (([1, 2], (2,)), [200, PRE_VOTE_OF_SHORTER_LOG], 300.0, 450.0),
    ],
)
def test_next_election_starts_in_time(start, script, least_ms, most_ms):
    # Callers are refused while control has no leader.
    node, _ = run_script(start, script, seed=5)
    now_ms = script[0] if script else 0
    assert least_ms <= node.deadline_ms(now_ms) <= most_ms
