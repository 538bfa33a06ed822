"""Tests the steps of a failover."""

import pytest

from waxwinglift.version import _entries as entries
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import ServerPosition
from waxwinglift.version.tests.failover_harness import Harness
from waxwinglift.version.tests.fleets import endpoint_joined
from waxwinglift.version.tests.fleets import extend


def report_primary_down(harness, groups=("g",)):
    harness.report("a", *(f"{g}-a" for g in groups))


def test_failover_runs_all_steps_in_order():
    harness = Harness()
    report_primary_down(harness)
    harness.run(2)
    names = [
        type(getattr(a, "entry", a)).__name__
        for a in harness.actions
        if not isinstance(a, messages.RepointServer)
    ]
    assert names == [
        *["ReadPosition"] * 2,
        "TermRaised",
        *["FenceServer"] * 2,
        *["ReadPosition"] * 2,
        "PrimaryChosen",
        "PromoteServer",
        "PrimaryActive",
    ]
    group = harness.fleet.groups["g"]
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 2)
    assert group.term_ends == {1: 100}
    assert harness.sent(messages.RepointServer) == {"g-a", "g-b", "g-c"} - {
        "g-a",
        group.primary,
    }


@pytest.mark.parametrize("handled_count", range(1, 12))
def test_any_leader_resumes_at_any_step(handled_count, monkeypatch):
    # If only the leader that started a failover could finish it, the group
    # would accept no writes after a failure of that leader.
    harness = Harness()
    execute = harness.execute

    def execute_some(action):
        if len(harness.actions) > handled_count:
            return None
        return execute(action)

    monkeypatch.setattr(harness, "execute", execute_some)
    report_primary_down(harness)
    harness.run(2)
    monkeypatch.undo()
    harness.change_leader()
    report_primary_down(harness)
    harness.run(4)
    group = harness.fleet.groups["g"]
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 2)
    assert group.primary in ("g-b", "g-c")


@pytest.mark.parametrize(
    ("reporter", "live", "term", "age_ms", "is_replaced"),
    [
        ("a", "abc", 1, 200, True),
        ("b", "abc", 1, 200, False),
        ("b", "bc", 1, 200, True),
        ("c", "bc", 1, 200, False),
        ("a", "abc", 0, 200, False),
        ("a", "abc", 1, 1000, False),
        # A new leader that has not observed the leases yet.
        ("b", None, 1, 200, False),
    ],
)
def test_which_reports_replace_a_primary(
    reporter, live, term, age_ms, is_replaced
):
    # Neither a proxy that does not own the endpoint nor an old report may
    # cause the replacement of a healthy primary.
    harness = Harness()
    harness.live = frozenset(live or "")
    if live:
        harness.observe()
    for server in harness.servers.values():
        server.is_reachable = live is None
    harness.report(reporter, "g-a", term=term)
    for server in harness.servers.values():
        server.is_reachable = True
    harness.now_ms = age_ms
    if live:
        harness.observe()
    assert bool(harness.proposed(entries.TermRaised)) is is_replaced


def test_leaving_primary_is_replaced():
    # Otherwise the group would have no primary once the server has stopped.
    harness = Harness()
    extend(harness.fleet, entries.EndpointLeaving("g-a"))
    harness.run(2)
    assert harness.fleet.groups["g"].primary != "g-a"


@pytest.mark.parametrize(
    ("data_centres", "unreachable", "phase"),
    [
        ("abc", ["g-b"], GroupPhase.FENCING),
        ("abc", [], GroupPhase.ACTIVE),
        ("abcde", ["g-b"], GroupPhase.ACTIVE),
        ("abcde", ["g-b", "g-c"], GroupPhase.FENCING),
    ],
)
def test_promotes_only_with_enough_fenced_servers(
    data_centres, unreachable, phase
):
    # A server that is not fenced may have the only copy of a write besides
    # that of the old primary.
    harness = Harness(data_centres=data_centres)
    extend(harness.fleet, entries.TermRaised("g", 2))
    for name in unreachable:
        harness.servers[name].is_reachable = False
    harness.run()
    assert harness.fleet.groups["g"].phase is phase
    if phase is GroupPhase.FENCING:
        needed_count = len(data_centres) - len(data_centres) // 2
        assert harness.planner.statuses()["g"].startswith(
            f"waiting for 1 of {needed_count} servers to be fenced: "
            "g-b (no answer)"
        )
        for name in unreachable:
            harness.servers[name].is_reachable = True
        harness.run(4)
    assert harness.fleet.groups["g"].phase is GroupPhase.ACTIVE


def test_term_is_not_raised_while_too_few_servers_answer():
    # Until the term is raised, a primary that comes back can continue.  After
    # that, the group has no primary until enough servers answer.
    harness = Harness()
    harness.servers["g-b"].is_reachable = False
    report_primary_down(harness)
    harness.run(10)
    assert harness.proposed(entries.TermRaised) == []
    assert (
        "waiting for 1 of 2 servers to answer"
        in (harness.planner.statuses()["g"])
    )
    harness.report("a")
    harness.servers["g-b"].is_reachable = True
    harness.run(10)
    assert harness.fleet.groups["g"].term == 1
    assert harness.planner.statuses() == {}


def test_positions_are_read_after_all_lease_holders_applied_the_raise():
    # A proxy that has not applied the raise of the term may still confirm
    # writes that are not in the positions read so far.
    harness = Harness()
    harness.min_applied_index = harness.fleet.index
    report_primary_down(harness)
    harness.run()
    assert harness.sent(messages.FenceServer, 2) == {"g-b", "g-c"}
    assert harness.sent(messages.ReadPosition, 2) == set()
    assert "lease holders" in harness.planner.statuses()["g"]
    harness.min_applied_index = harness.fleet.groups["g"].raised_index
    harness.run(1)
    assert harness.fleet.groups["g"].phase is GroupPhase.ACTIVE


@pytest.mark.parametrize(
    ("b", "c", "primary", "term_ends"),
    [
        ((1, 100), (1, 200), "g-c", {1: 200}),
        ((1, 300), (1, 200), "g-b", {1: 300}),
        ((3, 10), (2, 900), "g-b", {3: 10}),
    ],
)
def test_chooses_highest_timeline_then_offset(b, c, primary, term_ends):
    # A longer log of an older term lacks acknowledged writes of later terms.
    harness = Harness()
    extend(harness.fleet, entries.TermRaised("g", 2))
    extend(harness.fleet, entries.PrimaryChosen("g", 2, "g-a", 1, 50))
    extend(harness.fleet, entries.PrimaryActive("g", 2, 2))
    extend(harness.fleet, entries.TermRaised("g", 3))
    extend(harness.fleet, entries.PrimaryChosen("g", 3, "g-a", 2, 70))
    extend(harness.fleet, entries.PrimaryActive("g", 3, 3))
    extend(harness.fleet, entries.TermRaised("g", 4))
    harness.servers["g-b"].position = ServerPosition(*b)
    harness.servers["g-c"].position = ServerPosition(*c)
    harness.run(2)
    group = harness.fleet.groups["g"]
    assert group.primary == primary
    assert term_ends.items() <= group.term_ends.items()


def test_groups_fail_over_independently():
    # A group that waits for its servers must not block the others.
    harness = Harness(groups=("g", "h"))
    harness.servers["h-b"].is_reachable = False
    extend(harness.fleet, entries.TermRaised("h", 2))
    report_primary_down(harness, ("g",))
    harness.run(2)
    assert harness.fleet.groups["g"].phase is GroupPhase.ACTIVE
    assert harness.fleet.groups["g"].term == 2
    assert harness.fleet.groups["h"].phase is GroupPhase.FENCING
    assert list(harness.planner.statuses()) == ["h"]


@pytest.mark.parametrize(
    ("role", "term", "is_repointed"),
    [
        (EndpointRole.REPLICA, 1, True),
        (EndpointRole.REPLICA, 2, False),
        (EndpointRole.PRIMARY, 1, False),
    ],
)
def test_returning_server_is_repointed_unless_it_was_primary(
    role, term, is_repointed
):
    # A former primary may have writes that the group does not have.
    harness = Harness()
    report_primary_down(harness)
    harness.run(2)
    extend(harness.fleet, entries.EndpointLost("g-a"))
    harness.run(2)
    harness.actions.clear()
    extend(harness.fleet, endpoint_joined("g-a", "a", role, term))
    harness.run(2)
    assert harness.fleet.endpoints["g-a"].state is EndpointState.JOINED
    assert ("g-a" in harness.sent(messages.RepointServer)) is is_repointed


def test_outcomes_of_an_older_term_do_not_count():
    # A server that was fenced in an earlier term may have received writes
    # since.
    harness = Harness()
    extend(harness.fleet, entries.TermRaised("g", 2))
    for server in harness.servers.values():
        server.is_reachable = False
    harness.run(3)
    harness.handle(messages.ServerFenced("g", 1, "g-b"))
    harness.handle(messages.ServerFenced("g", 1, "g-c"))
    harness.handle(messages.PositionRead("g", 2, "g-b", ServerPosition(1, 5)))
    harness.run(3)
    assert "2 of 2 servers to be fenced" in harness.planner.statuses()["g"]


def test_unanswered_action_is_repeated_after_its_limit(monkeypatch):
    # An unresponsive connection must not block a failover.
    harness = Harness()
    extend(harness.fleet, entries.TermRaised("g", 2))
    monkeypatch.setattr(harness, "execute", lambda action: None)
    harness.run(20, 100)
    fences = [
        a for a in harness.actions if isinstance(a, messages.FenceServer)
    ]
    assert len(fences) == 2 * 4


@pytest.mark.parametrize(
    ("owner_down", "standby_down", "standby_reports", "age_ms", "is_found"),
    [
        (True, False, True, 400, True),
        (True, False, True, 399, False),
        (True, True, True, 400, False),
        # Without a report, the standby owner may be partitioned itself.
        (True, False, False, 400, False),
        (False, True, True, 400, False),
        # The last report of a standby owner that stopped is outdated.
        (True, False, False, 900, False),
    ],
)
def test_endpoint_that_only_its_owner_cannot_reach(
    owner_down, standby_down, standby_reports, age_ms, is_found
):
    # While a replica is missing, the primary cannot be replaced, so an owner
    # that is partitioned from the primary would block all writes.  The
    # planner reports such endpoints, so that their ownership can move.
    harness = Harness()
    for now_ms in (0, age_ms):
        harness.now_ms = now_ms
        harness.report("a", *["g-c"] * owner_down)
        if standby_reports:
            harness.report("b", *["g-c"] * standby_down)
    found = harness.planner.unreachable_by_owner(harness.fleet, harness.now_ms)
    assert found == ({"g-c"} if is_found else set())


@pytest.mark.parametrize("is_notified", [True, False])
def test_applied_entries_keep_the_scan_up_to_date(is_notified):
    # The scan is updated by single entries; the failover of a group that it
    # misses would wait until the next full scan.
    harness = Harness(groups=("g", "h"))
    harness.observe()
    extend(harness.fleet, entries.TermRaised("g", 2))
    if is_notified:
        harness.handle(messages.EntryApplied(harness.fleet.index, "g"))
        assert harness.sent(messages.FenceServer)
    else:
        harness.run(2)
    harness.run(10)
    assert harness.fleet.groups["g"].phase is GroupPhase.ACTIVE
    assert harness.fleet.groups["g"].term == 2
    assert harness.planner.scan.due_groups(harness.fleet) <= {"g"}


def test_group_continues_once_all_lease_holders_applied_the_raise():
    # If only a tick continued the failover, each one would take up to one
    # tick interval longer.
    harness = Harness()
    harness.min_applied_index = harness.fleet.index
    harness.observe()
    extend(harness.fleet, entries.TermRaised("g", 2))
    harness.handle(messages.EntryApplied(harness.fleet.index, "g"))
    assert not harness.sent(messages.ReadPosition, 2)
    harness.handle(messages.MinAppliedIndexObserved(harness.fleet.index))
    assert harness.sent(messages.ReadPosition, 2)
