"""Tests of the desired state, which operators send as a whole."""

import dataclasses

import pytest

from waxwinglift.version import _entries as entries
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._apply import RefusalCode
from waxwinglift.version._desired import DesiredStateRequest
from waxwinglift.version._desired import plan_replacement
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._rank_rows import rank_row
from waxwinglift.version._types import Consistency
from waxwinglift.version._workspaces import WorkspaceSettings
from waxwinglift.version._workspaces import digest_key


def pool(name, timeout_ms=800, group="g"):
    policy = entries.PoolPolicy(Consistency.PRIMARY, 0, timeout_ms, 400)
    return entries.PoolTable(name, group, (rank_row(policy),), policy)


def workspace(name, *keys, rate_per_s=10.0):
    digests = tuple(digest_key(key.encode()) for key in keys)
    return WorkspaceSettings(name, digests, rate_per_s, 5.0)


def request(version, *pools, groups=("g",), workspaces=()):
    return DesiredStateRequest(
        version=version,
        document=tuple(f"{p.pool}:{p.policy}" for p in pools),
        pools=pools,
        groups=tuple(entries.GroupSettings(name, 23) for name in groups),
        limits=entries.ServingLimits(3000),
        workspaces=workspaces,
    )


def plan_and_apply(fleet, wanted):
    """Plan and apply a request; return the entry or None."""
    entry = plan_replacement(fleet, wanted)
    if entry is not None:
        stored = decode_entry(encode_entry(entry))
        assert apply_entry(fleet, fleet.index + 1, stored).is_ok()
    return entry


def test_higher_version_replaces_the_whole_state():
    # Pools that a version omits must no longer be served.
    fleet = FleetState()
    plan_and_apply(fleet, request(3, pool("a"), pool("b")))
    plan_and_apply(fleet, request(7, pool("b", 900), pool("c")))
    assert set(fleet.pools) == {"b", "c"}
    assert fleet.pools["b"].table.policy.statement_timeout_ms == 900
    assert fleet.desired.version == 7
    assert fleet.groups["g"].is_server_fenced
    assert (
        fleet.desired.document
        == request(7, pool("b", 900), pool("c")).document
    )


@pytest.mark.parametrize("version", [1, 4, 5])
def test_a_version_that_is_not_higher_changes_nothing(version):
    # Operators send concurrently and resend.  Different content under the
    # version in force must never be applied.
    fleet = FleetState()
    plan_and_apply(fleet, request(5, pool("a")))
    before = encode_fleet(fleet)
    assert plan_and_apply(fleet, request(version, pool("other"))) is None
    assert encode_fleet(fleet) == before


def test_an_entry_carries_only_what_changed():
    # Otherwise the whole state would be sent to each daemon 310 times a day.
    fleet = FleetState()
    plan_and_apply(fleet, request(1, *(pool(f"p{n}") for n in range(300))))
    wanted = [pool(f"p{n}") for n in range(300)]
    wanted[7] = pool("p7", 1234)
    entry = plan_and_apply(fleet, request(2, *wanted))
    assert [table.pool for table in entry.pools] == ["p7"]
    assert len(encode_entry(entry)) < 2000


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"base_version": 4}, RefusalCode.WRONG_VERSION),
        ({"version": 5}, RefusalCode.WRONG_VERSION),
        (
            {"edits": (entries.LineEdit(8, 9, ()),)},
            RefusalCode.BAD_DOCUMENT,
        ),
    ],
    ids=["other base", "not higher", "edits of another text"],
)
def test_an_entry_for_another_state_is_refused(changes, code):
    # Two successive leaders may have planned entries from different states.
    fleet = FleetState()
    plan_and_apply(fleet, request(5, pool("a")))
    entry = plan_replacement(fleet, request(6, pool("b")))
    outcome = apply_entry(
        fleet, fleet.index + 1, dataclasses.replace(entry, **changes)
    )
    assert outcome.err_value.code is code
    assert set(fleet.pools) == {"a"}


def test_a_snapshot_keeps_the_desired_state():
    # A member that starts from a snapshot must return the same document.
    fleet = FleetState()
    plan_and_apply(fleet, request(5, pool("a")))
    copy = decode_fleet(encode_fleet(fleet))
    assert copy.desired == fleet.desired
    assert copy.groups["g"].settings == fleet.groups["g"].settings
    assert plan_replacement(copy, request(5, pool("b"))) is None


@pytest.mark.parametrize(
    ("later", "holders"),
    [
        pytest.param((workspace("a", "k2"),), {"k2": "a"}, id="key removed"),
        pytest.param((), {}, id="workspace removed"),
        pytest.param(
            (workspace("a", "k2"), workspace("b", "k1", "k3")),
            {"k1": "b", "k2": "a", "k3": "b"},
            id="key moved",
        ),
        pytest.param(
            (workspace("b", "k1"), workspace("a", "k2")),
            {"k1": "b", "k2": "a"},
            id="key moved to an earlier workspace",
        ),
        pytest.param(
            (workspace("c", "k1", "k2"),),
            {"k1": "c", "k2": "c"},
            id="workspace renamed",
        ),
    ],
)
def test_keys_follow_the_version_in_force(later, holders):
    # A key that stayed in force after its removal would let its former
    # holder in; the state of a snapshot must agree with the applied log.
    fleet = FleetState()
    plan_and_apply(fleet, request(1, workspaces=(workspace("a", "k1", "k2"),)))
    plan_and_apply(fleet, request(2, workspaces=later))
    for state in (fleet, decode_fleet(encode_fleet(fleet))):
        found = {
            key: state.workspace_of(digest_key(key.encode()))
            for key in ("k1", "k2", "k3")
        }
        assert {k: t for k, t in found.items() if t is not None} == holders


def test_an_entry_carries_only_the_changed_workspaces():
    # Otherwise each change would send every workspace to each daemon.
    fleet = FleetState()
    first = tuple(workspace(f"t{n}", f"k{n}") for n in range(300))
    plan_and_apply(fleet, request(1, workspaces=first))
    changed = (workspace("t0", "other"), *first[1:-1])
    entry = plan_and_apply(fleet, request(2, workspaces=changed))
    assert [settings.workspace for settings in entry.workspaces] == ["t0"]
    assert entry.removed_workspaces == ("t299",)
