"""Tests of the outcome of each log entry.

Each entry must have the same outcome on all replicas and must never raise.
Each row of the tables is a log whose last entry has the stated outcome.
"""

import pytest

from waxwinglift import process
from waxwinglift.version import _edits
from waxwinglift.version import _entries as e
from waxwinglift.version import _types as types
from waxwinglift.version import FleetState
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._apply import APPLY_FUNCTIONS
from waxwinglift.version._apply import RefusalCode
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift.version._entry_codec import encode_fleet

ADDRESS = process.Address("127.0.0.1", 5432)
LOCATION = process.Location(process.DataCentre("dc1"), process.Region("r1"))


def row(rank="urgent", weight=1, floor=0, deadline_ms=100):
    return e.RankRow(rank, weight, floor, 0, 10, deadline_ms)


def edit(edit_id, version, rows=(row(),), pool="p", table_pool="p"):
    table = e.PoolTable(table_pool, "g", tuple(rows))
    return e.PoolEdited(edit_id, pool, version, table)


def delete(edit_id, version):
    return e.PoolEdited(edit_id, "p", version, None)


def join(endpoint, size=2, group="g"):
    role = types.EndpointRole.REPLICA
    return e.EndpointJoined(
        endpoint, group, ADDRESS, LOCATION, role, 1, 3, 25, size
    )


def own(epoch, owner="d1", standby=None, endpoint="a", copies=1):
    assignment = e.OwnerAssignment(endpoint, owner, standby, epoch)
    return e.OwnersAssigned((assignment,) * copies)


def daemon(name):
    return e.DaemonJoined(name, ADDRESS, LOCATION)


def add(member):
    return e.MemberAdded(member, ADDRESS)


FORMED = [join("a"), join("b"), e.GroupFormed("g", 1, "a")]
FENCING = [*FORMED, e.TermRaised("g", 2)]
PROMOTING = [*FENCING, e.PrimaryChosen("g", 2, "b", 1, 700)]
OWNED = [join("a"), daemon("d1"), own(5)]
VOTER = [add("m1"), e.MemberPromoted("m1")]


def apply_log(entries, state=None):
    state = state or FleetState()
    outcome = None
    for entry in entries:
        outcome = apply_entry(state, state.index + 1, entry)
    return state, outcome


LOST_A = [join("a"), e.EndpointLost("a")]
FLOORS_ABOVE_100 = [row("a", floor=60), row("b", floor=41)]


def chosen(term, primary="b", old_term=1, end_lsn=5):
    return e.PrimaryChosen("g", term, primary, old_term, end_lsn)


@pytest.mark.parametrize(
    ("log", "code"),
    [
        ([edit("i", 0, [])], "invalid_table"),
        ([edit("i", 0, [row(), row()])], "invalid_table"),
        ([edit("i", 0, [row(weight=0)])], "invalid_table"),
        ([edit("i", 0, [row(rank="")])], "invalid_table"),
        ([edit("i", 0, [row(floor=-1)])], "invalid_table"),
        ([edit("i", 0, [row(deadline_ms=0)])], "invalid_table"),
        ([edit("i", 0, FLOORS_ABOVE_100)], "invalid_table"),
        ([edit("i", 0, table_pool="q")], "invalid_table"),
        ([edit("i", 0, pool="x" * 64)], "invalid_table"),
        ([join("a"), join("a", group="h")], "group_mismatch"),
        ([join("a", size=0)], "group_size_mismatch"),
        ([*FORMED, join("b", 3)], "group_size_mismatch"),
        ([*FORMED, join("c")], "group_full"),
        ([e.EndpointLost("a")], "unknown_endpoint"),
        ([*LOST_A, e.EndpointLeaving("a")], "wrong_state"),
        ([join("a"), e.GroupFormed("g", 1, "a")], "group_size_mismatch"),
        ([*FORMED[:2], e.GroupFormed("g", 1, "z")], "unknown_endpoint"),
        ([*FORMED, e.GroupFormed("g", 2, "b")], "wrong_phase"),
        ([e.TermRaised("g", 2)], "unknown_group"),
        ([join("a"), e.TermRaised("g", 1)], "wrong_phase"),
        ([*FORMED, e.TermRaised("g", 1)], "wrong_term"),
        ([*FORMED, e.TermRaised("g", 3)], "wrong_term"),
        ([*FENCING, e.TermRaised("g", 2)], "wrong_phase"),
        ([*FORMED, chosen(1, old_term=0)], "wrong_phase"),
        ([*FENCING, chosen(1, old_term=0)], "wrong_term"),
        ([*FENCING, chosen(2, old_term=2)], "wrong_term"),
        ([*FENCING, join("x", 1, "h"), chosen(2, "x")], "group_mismatch"),
        ([*FENCING, e.PrimaryActive("g", 2, 2)], "wrong_phase"),
        ([*PROMOTING, e.PrimaryActive("g", 1, 2)], "wrong_term"),
        # Two terms with the same timeline could not be distinguished.
        ([*PROMOTING, e.PrimaryActive("g", 2, 1)], "wrong_term"),
        ([e.DaemonDraining("d1")], "unknown_daemon"),
        ([daemon("d1"), *[e.DaemonDraining("d1")] * 2], "wrong_state"),
        ([e.DaemonLeft("d1")], "unknown_daemon"),
        ([daemon("d1"), own(1)], "unknown_endpoint"),
        ([join("a"), own(1)], "unknown_daemon"),
        ([*OWNED, own(5)], "stale_epoch"),
        ([*OWNED, own(6, copies=2)], "invalid_assignment"),
        ([*OWNED, own(6, "d1", "d1")], "invalid_assignment"),
        ([add("m1"), add("m1")], "known_member"),
        ([e.MemberPromoted("m1")], "unknown_member"),
        ([*VOTER, e.MemberPromoted("m1")], "wrong_state"),
        ([e.MemberRemoved("m1")], "unknown_member"),
        ([*VOTER, e.MemberRemoved("m1")], "last_voter"),
    ],
)
def test_contradictory_entry_changes_only_the_index(log, code):
    before, _ = apply_log(log[:-1])
    expected = decode_fleet(encode_fleet(before))
    expected.index += 1
    after, outcome = apply_log(log[-1:], before)
    assert outcome.unwrap_err().code.value == code
    assert after == expected


ACTIVE_AGAIN = [*PROMOTING, e.PrimaryActive("g", 2, 2)]
# The last write of the new primary, b, is of term 1.  Terms 2 and 3 therefore
# end where they diverged from its history.  Without an end of these terms,
# requests with a floor in them would wait forever.
TERM_2_DISCARDED = [
    *FENCING,
    chosen(2, "b", 1, 60),
    e.PrimaryActive("g", 2, 2),
    e.TermRaised("g", 3),
    chosen(3, "a", 2, 80),
    e.TermRaised("g", 4),
    chosen(4, "b", 1, 90),
]
JOINED_AGAIN = [join("a"), e.EndpointLeaving("a"), join("a")]


@pytest.mark.parametrize(
    ("log", "path", "expected"),
    [
        ([e.NoOperation()], "index", 1),
        ([join("a")], "groups.g.phase", types.GroupPhase.FORMING),
        (FORMED, "groups.g.primary", "a"),
        (FENCING, "groups.g.raised_index", 4),
        (FENCING, "groups.g.phase", types.GroupPhase.FENCING),
        (PROMOTING, "groups.g.phase", types.GroupPhase.PROMOTING),
        (PROMOTING, "groups.g.term_ends", {1: 700}),
        (ACTIVE_AGAIN, "groups.g.primary", "b"),
        (ACTIVE_AGAIN, "groups.g.timelines", {0: 0, 1: 1, 2: 2}),
        (TERM_2_DISCARDED, "groups.g.term_ends", {1: 90, 2: 60, 3: 60}),
        (TERM_2_DISCARDED, "groups.g.timelines", {0: 0, 1: 1}),
        (
            [*TERM_2_DISCARDED, e.PrimaryActive("g", 4, 2)],
            "groups.g.timelines",
            {0: 0, 1: 1, 2: 4},
        ),
        (JOINED_AGAIN, "endpoints.a.state", types.EndpointState.JOINED),
        (
            [*LOST_A, join("a")],
            "endpoints.a.state",
            types.EndpointState.JOINED,
        ),
        ([*OWNED, e.DaemonLeft("d1")], "daemons", {}),
        ([*OWNED, e.DaemonLeft("d1")], "owners.a.epoch", 5),
        (VOTER, "members.m1.is_voter", True),
        ([*VOTER, add("m2"), e.MemberRemoved("m2")], "members.m2", None),
    ],
)
def test_accepted_entry_sets_the_field(log, path, expected):
    state, outcome = apply_log(log)
    assert outcome.is_ok()
    value = decode_fleet(encode_fleet(state))
    for name in path.split("."):
        is_dict = isinstance(value, dict)
        value = value.get(name) if is_dict else getattr(value, name)
    assert value == expected


@pytest.mark.parametrize(
    ("log", "is_applied", "version"),
    [
        ([edit("i1", 0)], True, 1),
        ([edit("i1", 0), edit("i2", 1)], True, 2),
        # Two operators edit the same version: the second edit is not applied,
        # and its answer contains the current version, 1.
        ([edit("i1", 0), edit("i2", 0)], False, 1),
        # A resent edit gets its first answer, also after later edits.
        ([edit("i1", 0), edit("i2", 1), edit("i1", 0)], True, 1),
        ([edit("i1", 0), edit("i2", 0), edit("i2", 1)], False, 1),
        ([delete("i1", 0)], False, 0),
        ([edit("i1", 0), delete("i2", 1)], True, 2),
        ([edit("i1", 0), delete("i2", 1), edit("i3", 0)], False, 2),
        ([edit("i1", 0), delete("i2", 1), edit("i3", 2)], True, 3),
    ],
)
@pytest.mark.parametrize("entries_between_count", [0, 1, 2])
def test_edit_answer_survives_snapshot(
    log, is_applied, version, entries_between_count
):
    state, _ = apply_log(log[: -1 - entries_between_count])
    state = decode_fleet(encode_fleet(state))
    _, outcome = apply_log(log[-1 - entries_between_count :], state)
    answer = outcome.unwrap()
    assert (answer.is_applied, answer.version) == (is_applied, version)


def test_oldest_answer_is_dropped_first(monkeypatch):
    # If another answer were dropped, a recent edit that is resent would be
    # applied twice.
    monkeypatch.setattr(_edits, "EDIT_ANSWERS_COUNT", 2)
    state, _ = apply_log([edit(f"i{n}", n) for n in range(4)])
    assert list(decode_fleet(encode_fleet(state)).edit_answers) == ["i2", "i3"]


@pytest.mark.parametrize("index", [0, 2, 3, 5])
def test_other_index_changes_nothing(index):
    # A lower index would revert changes, a higher one would skip entries.
    state, _ = apply_log([join("a"), join("b"), e.NoOperation()])
    before = encode_fleet(state)
    refusal = apply_entry(state, index, e.EndpointLost("a")).unwrap_err()
    assert refusal.code is RefusalCode.WRONG_INDEX
    assert encode_fleet(state) == before


def test_every_kind_has_an_apply_function():
    # A member that cannot apply a committed entry would stop.
    assert set(APPLY_FUNCTIONS) == set(e.EntryKind)


@pytest.mark.parametrize(
    "entry", [*ACTIVE_AGAIN, *OWNED, *VOTER, edit("i", 0), delete("j", 1)]
)
def test_entry_round_trip_is_stable(entry):
    # Replicas must encode the same state to the same bytes.
    payload = encode_entry(entry)
    assert decode_entry(payload) == entry
    assert encode_entry(decode_entry(payload)) == payload


@pytest.mark.parametrize(
    "payload",
    [b"", b"{", b"[]", b'{"kind":"unknown"}', b'{"kind":"term_raised"}'],
)
def test_malformed_entry_is_an_error(payload):
    with pytest.raises(ValueError):
        decode_entry(payload)
