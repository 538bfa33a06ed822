"""Guards each rule of one member: what it may say, and only when durable.

A row gives the terms of stored entries from index 7 on (1 to 6 set up the
members), the stored vote and a script of events with their times.
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


def ask(sender, term, index=6, log_term=0, kind=m.VoteRequest):
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


def played(terms, vote, script):
    entries = bootstrap_entries([(name, ADDRESS) for name in NAMES])
    entries += tuple(
        m.LogEntry(7 + n, term, b"{}") for n, term in enumerate(terms)
    )
    settings = t.ConsensusSettings(member="m1")
    storage = t.StorageState(t.Vote(*vote), None, entries)
    node = ConsensusNode(settings, storage, random.Random(1))
    actions = []
    for now_ms, event in [(0, TICK), *script]:
        actions = node.step(event, now_ms)
    return node, [a for a in actions if isinstance(a, t.Send)]


PRE_VOTE = ask("m2", 1, kind=m.PreVoteRequest)
TWO_TERMS = [
    (10, append("m2", 1, (6, 0), 1, 1, 1)),
    (11, append("m3", 2, (6, 0), 2)),
]


@pytest.mark.parametrize(
    ("terms", "vote", "script", "sends"),
    [
        # A vote is answered once it is durable, and given once in a term.
        ([], (), [(400, ask("m2", 1))], []),
        (
            [],
            (),
            [(400, ask("m2", 1)), (401, SYNCED)],
            [voted("m2", 1, True)],
        ),
        (
            [],
            (),
            [(400, ask("m2", 1)), (401, SYNCED), (402, ask("m3", 1))],
            [voted("m3", 1, False)],
        ),
        ([], (1, "m2"), [(400, ask("m3", 1))], [voted("m3", 1, False)]),
        (
            [],
            (1, "m2"),
            [(400, ask("m2", 1)), (401, SYNCED)],
            [voted("m2", 1, True)],
        ),
        # A candidate must hold all that may be committed.
        ([], (), [(400, ask("m2", 1, index=5))], [voted("m2", 1, False)]),
        ([2], (2,), [(400, ask("m2", 3, 9, 1))], [voted("m2", 3, False)]),
        ([], (4,), [(400, ask("m2", 3))], [voted("m2", 4, False)]),
        # A member that may have answered a leader is loyal to it.
        ([], (), [(299, ask("m2", 1))], []),
        (
            [],
            (),
            [(299, PRE_VOTE)],
            [t.Send("m2", m.PreVoteResponse(0, False))],
        ),
        (
            [],
            (),
            [(300, PRE_VOTE)],
            [t.Send("m2", m.PreVoteResponse(1, True))],
        ),
        (
            [],
            (),
            [(400, append("m2", 1, (6, 0))), (699, ask("m3", 2))],
            [],
        ),
        (
            [],
            (),
            [
                (400, append("m2", 1, (6, 0))),
                (700, ask("m3", 2)),
                (701, SYNCED),
            ],
            [voted("m3", 2, True)],
        ),
        # Entries are confirmed once they and the term are durable.
        ([], (), [(10, append("m2", 1, (6, 0)))], [acked(1, 0)]),
        ([], (1,), [(10, append("m2", 1, (6, 0)))], [acked(1, 6)]),
        ([], (1,), [(10, append("m2", 1, (6, 0), 1))], [acked(1, 6)]),
        (
            [],
            (),
            [(10, append("m2", 1, (6, 0), 1)), (11, SYNCED)],
            [acked(1, 7)],
        ),
        # Entries behind the leader's are not known to be equal.
        ([1, 1], (2,), [(10, append("m2", 2, (7, 1)))], [acked(2, 7)]),
        # A write of replaced entries says nothing about the new ones.
        (
            [],
            (),
            [*TWO_TERMS, (12, t.Persisted(3))],
            [acked(2, 6, to="m3")],
        ),
        ([], (), [*TWO_TERMS, (12, SYNCED)], [acked(2, 7, to="m3")]),
        # Neither do durable entries that were replaced since.
        (
            [],
            (),
            [TWO_TERMS[0], (11, SYNCED), TWO_TERMS[1], (13, t.Persisted(3))],
            [acked(2, 6, to="m3")],
        ),
        # Agreement with an earlier leader is none with this one.
        (
            [],
            (),
            [
                TWO_TERMS[0],
                (11, SYNCED),
                (12, append("m3", 2, (6, 0))),
                (13, SYNCED),
            ],
            [acked(2, 6, to="m3")],
        ),
        # A gap or another term before the entries is refused with a hint.
        (
            [],
            (1,),
            [(10, append("m2", 1, (9, 1), 1))],
            [acked(1, 6, False)],
        ),
        (
            [1, 1],
            (3,),
            [(10, append("m2", 3, (8, 2), 3))],
            [acked(3, 6, False)],
        ),
        ([], (5,), [(10, append("m2", 4, (6, 0)))], [acked(5, 0, False)]),
    ],
)
def test_member_sends(terms, vote, script, sends):
    _, sent = played(terms, vote, script)
    assert sent == sends


STANDING = [(1000, TICK), (1000, grant(2, kind=m.PreVoteResponse))]
LEADING = [*STANDING, (1000, SYNCED), (1000, grant(2))]
COMMITTED = [*LEADING, (1001, SYNCED), (1002, answer(2, 8))]


@pytest.mark.parametrize(
    ("script", "attribute", "value"),
    [
        # The own vote counts once it is durable.
        ([*STANDING, (1000, grant(2))], "role", t.NodeRole.CANDIDATE),
        (
            [*STANDING, (1000, grant(2)), (1000, SYNCED)],
            "role",
            t.NodeRole.LEADER,
        ),
        (LEADING, "role", t.NodeRole.LEADER),
        # Index 7 of term 1 may still be replaced; index 8 is of term 2.
        ([*LEADING, (1001, SYNCED), (1002, answer(2, 7))], "commit_index", 0),
        ([*LEADING, (1002, answer(2, 8))], "commit_index", 0),
        (COMMITTED, "commit_index", 8),
        # Answers of another term say nothing.
        ([*LEADING, (1001, SYNCED), (1002, answer(1, 8))], "commit_index", 0),
        (LEADING, "quorum_contact_ms", None),
        (COMMITTED, "quorum_contact_ms", 1000.0),
        ([*COMMITTED, (1249, TICK)], "role", t.NodeRole.LEADER),
        ([*COMMITTED, (1250, TICK)], "role", t.NodeRole.FOLLOWER),
        # A leader with a majority keeps its term against a rival.
        ([*COMMITTED, (1200, ask("m3", 9, 9, 9))], "term", 2),
    ],
)
def test_candidate_or_leader_state(script, attribute, value):
    node, _ = played([1], (1,), script)
    assert getattr(node, attribute) == value


@pytest.mark.parametrize(
    ("script", "now_ms", "expected"),
    [
        (LEADING, 1001, False),
        ([*LEADING, (1001, answer(2, 7))], 1002, False),
        (COMMITTED, 1249, True),
        # No step has run since: the clock alone must end the lease.
        (COMMITTED, 1250, False),
    ],
)
def test_lease_ends_by_the_clock(script, now_ms, expected):
    node, _ = played([1], (1,), script)
    assert node.is_leader_with_quorum(now_ms) is expected


@pytest.mark.parametrize(
    ("script", "members"),
    [
        ([append("m2", 1, (6, 0), 1, payload=ADD_M4)], "m1 m2 m3 m4"),
        ([append("m2", 1, (6, 0), 1, payload=REMOVE_M3)], "m1 m2"),
        # A change that is replaced was never in force.
        (
            [
                append("m2", 1, (6, 0), 1, payload=ADD_M4),
                append("m3", 2, (6, 0), 2),
            ],
            "m1 m2 m3",
        ),
    ],
)
def test_configuration_follows_the_appended_log(script, members):
    node, _ = played([], (), [(10, event) for event in script])
    assert " ".join(role.member for role in node.members) == members


@pytest.mark.parametrize(
    "event",
    [
        append("m3", 2, (6, 0), 2),
        append("m3", 1, (6, 0)),
        t.SnapshotTaken(9, b""),
    ],
)
def test_contradiction_stops_the_member(event):
    # Going on would change what has been committed.
    synced = [(10, append("m2", 1, (6, 0), 1, commit=7)), (11, SYNCED)]
    if event.__class__ is t.MessageReceived and event.message.term == 1:
        synced = [
            (1000, TICK),
            (1000, grant(1, kind=m.PreVoteResponse)),
            (1000, SYNCED),
            (1000, grant(1)),
        ]
    with pytest.raises(t.ConsensusError):
        played([], (), [*synced, (1001, event)])
