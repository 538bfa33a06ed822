"""Guards the outcome of each log entry: the same, never a crash, on replicas.

Each row of the table is a log; the last entry has the stated outcome.
"""

import pytest

from waxwinglift.process import Address
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.version import _edits
from waxwinglift.version import _entries as e
from waxwinglift.version import FleetState
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._apply import APPLY_FUNCTIONS
from waxwinglift.version._apply import RefusalCode
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import GroupPhase

ADDRESS = Address("127.0.0.1", 5432)
PLACE = Location(DataCentre("dc1"), Region("r1"))


def row(rank="urgent", weight=1, floor=0, deadline_ms=100):
    return e.RankRow(rank, weight, floor, 0, 10, deadline_ms)


def edit(edit_id, version, rows=(row(),), pool="p", table_pool="p"):
    table = e.PoolTable(table_pool, "g", tuple(rows))
    return e.PoolEdited(edit_id, pool, version, table)


def delete(edit_id, version):
    return e.PoolEdited(edit_id, "p", version, None)


def join(endpoint, size=2, group="g"):
    role = EndpointRole.REPLICA
    return e.EndpointJoined(
        endpoint, group, ADDRESS, PLACE, role, 1, 3, 25, size
    )


def own(epoch, owner="d1", standby=None, endpoint="a", copies=1):
    assignment = e.OwnerAssignment(endpoint, owner, standby, epoch)
    return e.OwnersAssigned((assignment,) * copies)


def daemon(name):
    return e.DaemonJoined(name, ADDRESS, PLACE)


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


@pytest.mark.parametrize(
    ("log", "code"),
    [
        ([edit("i", 0, [])], RefusalCode.INVALID_TABLE),
        ([edit("i", 0, [row(), row()])], RefusalCode.INVALID_TABLE),
        ([edit("i", 0, [row(weight=0)])], RefusalCode.INVALID_TABLE),
        ([edit("i", 0, [row(rank="")])], RefusalCode.INVALID_TABLE),
        ([edit("i", 0, [row(floor=-1)])], RefusalCode.INVALID_TABLE),
        ([edit("i", 0, [row(deadline_ms=0)])], RefusalCode.INVALID_TABLE),
        (
            [edit("i", 0, [row("a", floor=60), row("b", floor=41)])],
            RefusalCode.INVALID_TABLE,
        ),
        ([edit("i", 0, table_pool="q")], RefusalCode.INVALID_TABLE),
        ([edit("i", 0, pool="x" * 64)], RefusalCode.INVALID_TABLE),
        ([join("a"), join("a", group="h")], RefusalCode.GROUP_MISMATCH),
        ([join("a", size=0)], RefusalCode.GROUP_SIZE_MISMATCH),
        ([*FORMED, join("b", 3)], RefusalCode.GROUP_SIZE_MISMATCH),
        ([*FORMED, join("c")], RefusalCode.GROUP_FULL),
        ([e.EndpointLost("a")], RefusalCode.UNKNOWN_ENDPOINT),
        (
            [join("a"), e.EndpointLost("a"), e.EndpointLeaving("a")],
            RefusalCode.WRONG_STATE,
        ),
        (
            [join("a"), e.GroupFormed("g", 1, "a")],
            RefusalCode.GROUP_SIZE_MISMATCH,
        ),
        (
            [join("a"), join("b"), e.GroupFormed("g", 1, "z")],
            RefusalCode.UNKNOWN_ENDPOINT,
        ),
        ([*FORMED, e.GroupFormed("g", 2, "b")], RefusalCode.WRONG_PHASE),
        ([e.TermRaised("g", 2)], RefusalCode.UNKNOWN_GROUP),
        ([join("a"), e.TermRaised("g", 1)], RefusalCode.WRONG_PHASE),
        ([*FORMED, e.TermRaised("g", 1)], RefusalCode.WRONG_TERM),
        ([*FORMED, e.TermRaised("g", 3)], RefusalCode.WRONG_TERM),
        ([*FENCING, e.TermRaised("g", 2)], RefusalCode.WRONG_PHASE),
        (
            [*FORMED, e.PrimaryChosen("g", 1, "b", 0, 5)],
            RefusalCode.WRONG_PHASE,
        ),
        (
            [*FENCING, e.PrimaryChosen("g", 1, "b", 0, 5)],
            RefusalCode.WRONG_TERM,
        ),
        (
            [*FENCING, e.PrimaryChosen("g", 2, "b", 2, 5)],
            RefusalCode.WRONG_TERM,
        ),
        (
            [*FENCING, join("x", 1, "h"), e.PrimaryChosen("g", 2, "x", 1, 5)],
            RefusalCode.GROUP_MISMATCH,
        ),
        ([*FENCING, e.PrimaryActive("g", 2)], RefusalCode.WRONG_PHASE),
        ([*PROMOTING, e.PrimaryActive("g", 1)], RefusalCode.WRONG_TERM),
        ([e.DaemonDraining("d1")], RefusalCode.UNKNOWN_DAEMON),
        (
            [daemon("d1"), e.DaemonDraining("d1"), e.DaemonDraining("d1")],
            RefusalCode.WRONG_STATE,
        ),
        ([e.DaemonLeft("d1")], RefusalCode.UNKNOWN_DAEMON),
        ([daemon("d1"), own(1)], RefusalCode.UNKNOWN_ENDPOINT),
        ([join("a"), own(1)], RefusalCode.UNKNOWN_DAEMON),
        ([*OWNED, own(5)], RefusalCode.STALE_EPOCH),
        ([*OWNED, own(6, copies=2)], RefusalCode.INVALID_ASSIGNMENT),
        ([*OWNED, own(6, "d1", "d1")], RefusalCode.INVALID_ASSIGNMENT),
        ([add("m1"), add("m1")], RefusalCode.KNOWN_MEMBER),
        ([e.MemberPromoted("m1")], RefusalCode.UNKNOWN_MEMBER),
        ([*VOTER, e.MemberPromoted("m1")], RefusalCode.WRONG_STATE),
        ([e.MemberRemoved("m1")], RefusalCode.UNKNOWN_MEMBER),
        ([*VOTER, e.MemberRemoved("m1")], RefusalCode.LAST_VOTER),
    ],
)
def test_contradictory_entry_changes_only_the_index(log, code):
    before, _ = apply_log(log[:-1])
    expected = decode_fleet(encode_fleet(before))
    expected.index += 1
    after, outcome = apply_log(log[-1:], before)
    assert outcome.unwrap_err().code is code
    assert after == expected


@pytest.mark.parametrize(
    ("log", "path", "expected"),
    [
        ([e.NoOperation()], "index", 1),
        ([join("a")], "groups.g.phase", GroupPhase.FORMING),
        (FORMED, "groups.g.primary", "a"),
        (FENCING, "groups.g.raised_index", 4),
        (FENCING, "groups.g.phase", GroupPhase.FENCING),
        (PROMOTING, "groups.g.phase", GroupPhase.PROMOTING),
        (PROMOTING, "groups.g.term_ends", {1: 700}),
        ([*PROMOTING, e.PrimaryActive("g", 2)], "groups.g.primary", "b"),
        # A chosen server that never saw term 2 leaves no end for it.
        (
            [
                *PROMOTING,
                e.TermRaised("g", 3),
                e.PrimaryChosen("g", 3, "a", 2, 800),
                e.TermRaised("g", 4),
                e.PrimaryChosen("g", 4, "b", 1, 650),
            ],
            "groups.g.term_ends",
            {1: 650},
        ),
        (
            [join("a"), e.EndpointLeaving("a"), join("a")],
            "endpoints.a.state",
            EndpointState.JOINED,
        ),
        (
            [join("a"), e.EndpointLost("a"), join("a")],
            "endpoints.a.state",
            EndpointState.JOINED,
        ),
        ([*OWNED, e.DaemonLeft("d1")], "daemons", {}),
        ([*OWNED, e.DaemonLeft("d1")], "owners.a.epoch", 5),
        (VOTER, "members.m1.is_voter", True),
        ([*VOTER, add("m2"), e.MemberRemoved("m2")], "members.m2", None),
    ],
)
def test_entry_sets(log, path, expected):
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
        # Two operators edit the same version: the second is told version 1.
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
@pytest.mark.parametrize("snapshot_before", [0, 1, 2])
def test_edit_answer_survives_snapshot(
    log, is_applied, version, snapshot_before
):
    state, _ = apply_log(log[: -1 - snapshot_before])
    state = decode_fleet(encode_fleet(state))
    _, outcome = apply_log(log[-1 - snapshot_before :], state)
    answer = outcome.unwrap()
    assert (answer.is_applied, answer.version) == (is_applied, version)


def test_oldest_answer_is_dropped_first(monkeypatch):
    # Dropping another id would let a recent resend be applied twice.
    monkeypatch.setattr(_edits, "EDIT_ANSWERS_COUNT", 2)
    state, _ = apply_log([edit(f"i{n}", n) for n in range(4)])
    assert list(decode_fleet(encode_fleet(state)).edit_answers) == ["i2", "i3"]


@pytest.mark.parametrize("index", [0, 2, 3, 5])
def test_other_index_changes_nothing(index):
    # A lower index would revert configuration, a higher one would skip some.
    state, _ = apply_log([join("a"), join("b"), e.NoOperation()])
    before = encode_fleet(state)
    refusal = apply_entry(state, index, e.EndpointLost("a")).unwrap_err()
    assert refusal.code is RefusalCode.WRONG_INDEX
    assert encode_fleet(state) == before


def test_every_kind_has_an_apply_function():
    assert set(APPLY_FUNCTIONS) == set(e.EntryKind)


@pytest.mark.parametrize(
    "entry", [*PROMOTING, *OWNED, *VOTER, edit("i", 0), delete("j", 1)]
)
def test_entry_round_trip_is_stable(entry):
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
