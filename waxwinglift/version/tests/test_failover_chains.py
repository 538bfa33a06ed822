"""Tests successive failovers and failovers that fail before they end."""

import pytest

from waxwinglift.request._floors import check_floor
from waxwinglift.request._floors import FloorState
from waxwinglift.version import _entries as entries
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version import Position
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import ServerPosition
from waxwinglift.version.tests.failover_harness import Harness
from waxwinglift.version.tests.fleets import endpoint_joined
from waxwinglift.version.tests.fleets import extend


@pytest.mark.parametrize(
    "failures", ["failures_before_promotion", "failures_after_promotion"]
)
def test_another_server_is_chosen_when_the_chosen_one_fails(failures):
    # Five servers tolerate two failures.  Waiting for the chosen server to
    # come back would block all writes although a quorum is left.
    harness = Harness(data_centres="abcde")
    setattr(harness, failures, {2})
    harness.fail_primary()
    group = harness.fleet.groups["g"]
    first = group.primary
    assert (group.phase, group.term) == (GroupPhase.PROMOTING, 2)
    harness.report("a", first, term=2)
    harness.run(2)
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 3)
    assert group.primary not in ("g-a", first)


@pytest.mark.parametrize(
    ("floor", "state"),
    [
        ((3, 101), FloorState.MET),
        # Never acknowledged, and discarded with term 3.
        ((3, 201), FloorState.LOST),
        ((1, 100), FloorState.MET),
        ((1, 101), FloorState.LOST),
    ],
)
def test_floor_of_a_term_whose_number_differs_from_its_timeline(floor, state):
    # Term 3 has timeline 2.  If a floor is compared with the end of the
    # wrong term, its reads wait forever or a discarded write counts as kept.
    harness = Harness(data_centres="abcde")
    harness.failures_before_promotion = {2}
    harness.fail_primary()
    chosen = harness.fleet.groups["g"].primary
    harness.report("a", chosen, term=2)
    harness.run(2)
    harness.servers[chosen].is_reachable = True
    harness.run(20)
    harness.fail_primary()
    group = harness.fleet.groups["g"]
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 4)
    position = Position(group.term, 300)
    assert check_floor(Position(*floor), position, group.term_ends) is state


@pytest.mark.parametrize(
    ("data_centres", "is_reached", "reports", "phase", "term"),
    [
        ("abcde", False, True, GroupPhase.ACTIVE, 3),
        ("abcde", False, False, GroupPhase.ACTIVE, 3),
        # A slow promotion: the next server may be as slow.
        ("abcde", True, False, GroupPhase.PROMOTING, 2),
        # Two of three servers have failed: no quorum is left.
        ("abc", False, True, GroupPhase.PROMOTING, 2),
    ],
)
def test_when_a_chosen_server_is_replaced(
    data_centres, is_reached, reports, phase, term
):
    # Waiting for a failed server would block all writes.  Replacing one that
    # is only slow, or without a quorum of others, would not end the outage.
    harness = Harness(data_centres=data_centres)
    harness.failures_before_promotion = {2}
    harness.fail_primary(steps_count=1)
    harness.is_reached = is_reached
    group = harness.fleet.groups["g"]
    chosen = group.primary
    for _ in range(40):
        harness.report("a", *[chosen] * reports, term=2)
        harness.run(1)
    assert (group.phase, group.term) == (phase, term)
    if phase is GroupPhase.PROMOTING:
        status = harness.planner.statuses()["g"]
        assert status.startswith(f"waiting for {chosen} to be promoted")
        missing = "waiting for 1 of 2 servers to answer"
        assert (missing in status) is (data_centres == "abc")


@pytest.mark.parametrize(
    "failures", ["failures_before_promotion", "failures_after_promotion"]
)
def test_chosen_server_that_returns_is_promoted(failures):
    # If the others form no quorum, the group waits for the chosen server.
    harness = Harness()
    setattr(harness, failures, {2})
    harness.fail_primary()
    group = harness.fleet.groups["g"]
    assert (group.phase, group.term) == (GroupPhase.PROMOTING, 2)
    harness.servers[group.primary].is_reachable = True
    harness.run(20)
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 2)


@pytest.mark.parametrize(
    ("positions", "primary"),
    [
        # Server d replicated from the primary of term 2 and cannot be
        # reached.  Its log could not be distinguished from that of a second
        # timeline numbered 2.
        ({"c": (1, 100), "d": None, "e": (1, 90)}, None),
        ({"c": (1, 100), "d": (1, 90), "e": (1, 90)}, "g-c"),
        ({"c": (1, 100), "d": None, "e": (2, 90)}, "g-e"),
        # A timeline that no term of the group had.
        ({"c": (1, 100), "d": None, "e": (7, 900)}, None),
    ],
)
def test_server_that_may_have_a_later_term_is_not_ignored(positions, primary):
    # Otherwise a server with a different history could later be taken for a
    # replica of the new primary.
    harness = Harness(data_centres="abcde")
    extend(
        harness.fleet,
        endpoint_joined("g-a", "a", size=5),
        entries.TermRaised("g", 2),
        entries.PrimaryChosen("g", 2, "g-b", 1, 100),
        entries.PrimaryActive("g", 2, 2),
        entries.TermRaised("g", 3),
    )
    for data_centre, position in positions.items():
        server = harness.servers[f"g-{data_centre}"]
        server.is_reachable = position is not None
        server.position = ServerPosition(*(position or (2, 120)))
    harness.servers["g-a"].position = ServerPosition(1, 80)
    harness.run(4)
    group = harness.fleet.groups["g"]
    if primary is None:
        assert group.phase is GroupPhase.FENCING
        assert harness.planner.statuses()["g"].startswith("waiting for")
        assert "g-d" in harness.planner.statuses()["g"]
    else:
        assert (group.phase, group.primary) == (GroupPhase.ACTIVE, primary)


def test_replicas_follow_once_the_timeline_is_in_the_log(monkeypatch):
    # If the new primary fails at once, the position of a replica on a
    # timeline that is not in the control log is not counted.
    harness = Harness()
    execute = harness.execute

    def drop_active(action):
        entry = getattr(action, "entry", None)
        is_active = isinstance(entry, entries.PrimaryActive)
        return None if is_active else execute(action)

    monkeypatch.setattr(harness, "execute", drop_active)
    harness.fail_primary()
    assert harness.proposed(entries.PrimaryActive)
    assert harness.sent(messages.RepointServer, 2) == set()
    monkeypatch.undo()
    harness.run(20)
    assert harness.fleet.groups["g"].phase is GroupPhase.ACTIVE
    assert harness.sent(messages.RepointServer, 2) == {"g-c"}


def test_abandoned_promoted_server_is_never_chosen():
    # The log of an abandoned promoted server may be longer than that of the
    # servers with the acknowledged writes, on a timeline of the same number.
    harness = Harness(data_centres="abcde")
    harness.failures_after_promotion = {2}
    harness.fail_primary()
    group = harness.fleet.groups["g"]
    abandoned = group.primary
    harness.report("a", abandoned, term=2)
    harness.run(2)
    harness.servers[abandoned].is_reachable = True
    harness.servers[abandoned].position = ServerPosition(2, 9000)
    harness.run(20)
    # The first primary was rebuilt from the current one.
    extend(harness.fleet, endpoint_joined("g-a", "a", term=2, size=5))
    harness.servers["g-a"].position = harness.servers[group.primary].position
    harness.servers["g-a"].is_reachable = True
    harness.fail_primary()
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 4)
    assert group.primary != abandoned
    assert group.term_ends[3] == 101


@pytest.mark.parametrize("returns", [False, True])
def test_abandoned_server_with_the_last_term_is_waited_for(returns):
    # Only this server replicated from the primary of term 2.  Without it, the
    # next promotion would also create a timeline numbered 2, and the two logs
    # could not be distinguished.
    harness = Harness(data_centres="abcde")
    extend(
        harness.fleet,
        entries.TermRaised("g", 2),
        entries.PrimaryChosen("g", 2, "g-b", 1, 100),
        entries.PrimaryActive("g", 2, 2),
        entries.TermRaised("g", 3),
        entries.PrimaryChosen("g", 3, "g-c", 2, 120),
        entries.TermRaised("g", 4),
    )
    harness.servers["g-c"].position = ServerPosition(2, 120)
    harness.servers["g-c"].is_reachable = returns
    extend(harness.fleet, endpoint_joined("g-a", "a", size=5))
    harness.run(20)
    group = harness.fleet.groups["g"]
    if returns:
        assert (group.phase, group.primary) == (GroupPhase.ACTIVE, "g-c")
    else:
        assert group.phase is GroupPhase.FENCING
        assert "a later term: g-c" in harness.planner.statuses()["g"]


def test_chosen_server_that_control_reaches_is_not_abandoned(monkeypatch):
    # Otherwise an owner that cannot reach the server would cause it to be
    # chosen and abandoned repeatedly.
    harness = Harness(data_centres="abcde")
    execute = harness.execute

    def promote_slowly(action):
        is_slow = isinstance(action, messages.PromoteServer)
        return None if is_slow else execute(action)

    monkeypatch.setattr(harness, "execute", promote_slowly)
    harness.fail_primary()
    group = harness.fleet.groups["g"]
    harness.report("a", group.primary, term=2)
    harness.run(10)
    assert (group.phase, group.term) == (GroupPhase.PROMOTING, 2)


def test_group_whose_replicas_missed_its_first_term_recovers():
    # The first primary may fail before any replica has followed it, and the
    # chosen server may fail too.  With an empty history, no server's
    # position would then be counted.
    harness = Harness(first_term=5)
    for server in harness.servers.values():
        server.position = ServerPosition(4, 50)
    harness.failures_before_promotion = {6}
    harness.fail_primary()
    group = harness.fleet.groups["g"]
    extend(harness.fleet, entries.TermRaised("g", 7))
    harness.servers[group.primary].is_reachable = True
    harness.run(20)
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 7)
    assert group.timelines == {4: 0, 5: 7}
    floor = Position(5, 51)
    found = check_floor(floor, Position(7, 300), group.term_ends)
    assert found is FloorState.LOST
