"""Tests the steps of a failover."""

import pytest

from waxwinglift.version import _entries as entries
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import ServerPosition
from waxwinglift.version.tests.failover_rig import Rig
from waxwinglift.version.tests.fleets import endpoint_joined
from waxwinglift.version.tests.fleets import extend


def fail_primary(rig, groups=("g",)):
    rig.report("a", *(f"{g}-a" for g in groups))


def test_failover_runs_all_steps_in_order():
    rig = Rig()
    fail_primary(rig)
    rig.run(2)
    names = [
        type(getattr(a, "entry", a)).__name__
        for a in rig.actions
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
    group = rig.fleet.groups["g"]
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 2)
    assert group.term_ends == {1: 100}
    assert rig.sent(messages.RepointServer) == {"g-a", "g-b", "g-c"} - {
        "g-a",
        group.primary,
    }


@pytest.mark.parametrize("handled_count", range(1, 12))
def test_any_leader_resumes_at_any_step(handled_count, monkeypatch):
    # If only the leader that started a failover could finish it, the group
    # would accept no writes after the loss of that leader.
    rig = Rig()
    execute = rig.execute

    def execute_some(action):
        if len(rig.actions) > handled_count:
            return None
        return execute(action)

    monkeypatch.setattr(rig, "execute", execute_some)
    fail_primary(rig)
    rig.run(2)
    monkeypatch.undo()
    rig.take_over()
    fail_primary(rig)
    rig.run(4)
    group = rig.fleet.groups["g"]
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
    rig = Rig()
    rig.live = frozenset(live or "")
    if live:
        rig.observe()
    for server in rig.servers.values():
        server.is_reachable = live is None
    rig.report(reporter, "g-a", term=term)
    for server in rig.servers.values():
        server.is_reachable = True
    rig.now_ms = age_ms
    if live:
        rig.observe()
    assert bool(rig.proposed(entries.TermRaised)) is is_replaced


def test_leaving_primary_is_replaced():
    rig = Rig()
    extend(rig.fleet, entries.EndpointLeaving("g-a"))
    rig.run(2)
    assert rig.fleet.groups["g"].primary != "g-a"


@pytest.mark.parametrize(
    ("sites", "unreachable", "phase"),
    [
        ("abc", ["g-b"], GroupPhase.FENCING),
        ("abc", [], GroupPhase.ACTIVE),
        ("abcde", ["g-b"], GroupPhase.ACTIVE),
        ("abcde", ["g-b", "g-c"], GroupPhase.FENCING),
    ],
)
def test_never_promotes_with_fewer_fenced_servers(sites, unreachable, phase):
    # A server that is not fenced may have the only second copy of a write.
    rig = Rig(sites=sites)
    extend(rig.fleet, entries.TermRaised("g", 2))
    for name in unreachable:
        rig.servers[name].is_reachable = False
    rig.run()
    assert rig.fleet.groups["g"].phase is phase
    if phase is GroupPhase.FENCING:
        needed_count = len(sites) - len(sites) // 2
        assert rig.planner.statuses()["g"].startswith(
            f"waiting for 1 of {needed_count} servers to be fenced: "
            "g-b (no answer)"
        )
        for name in unreachable:
            rig.servers[name].is_reachable = True
        rig.run(4)
    assert rig.fleet.groups["g"].phase is GroupPhase.ACTIVE


def test_term_is_not_raised_while_too_few_servers_answer():
    # A primary that comes back can continue, but only until its term is over.
    rig = Rig()
    rig.servers["g-b"].is_reachable = False
    fail_primary(rig)
    rig.run(10)
    assert rig.proposed(entries.TermRaised) == []
    assert (
        "waiting for 1 of 2 servers to answer" in (rig.planner.statuses()["g"])
    )
    rig.report("a")
    rig.servers["g-b"].is_reachable = True
    rig.run(10)
    assert rig.fleet.groups["g"].term == 1
    assert rig.planner.statuses() == {}


def test_positions_are_read_after_all_leases_passed():
    # A proxy that has not applied the raise of the term may still confirm
    # writes that are not in the positions read so far.
    rig = Rig()
    rig.min_applied_index = rig.fleet.index
    fail_primary(rig)
    rig.run()
    assert rig.sent(messages.FenceServer, 2) == {"g-b", "g-c"}
    assert rig.sent(messages.ReadPosition, 2) == set()
    assert "leases" in rig.planner.statuses()["g"]
    rig.min_applied_index = rig.fleet.groups["g"].raised_index
    rig.run(1)
    assert rig.fleet.groups["g"].phase is GroupPhase.ACTIVE


@pytest.mark.parametrize(
    ("b", "c", "primary", "term_ends"),
    [
        ((1, 100), (1, 200), "g-c", {1: 200}),
        ((1, 300), (1, 200), "g-b", {1: 300}),
        ((3, 10), (2, 900), "g-b", {3: 10}),
    ],
)
def test_chooses_highest_term_then_offset(b, c, primary, term_ends):
    rig = Rig()
    extend(rig.fleet, entries.TermRaised("g", 2))
    extend(rig.fleet, entries.PrimaryChosen("g", 2, "g-a", 1, 50))
    extend(rig.fleet, entries.PrimaryActive("g", 2, 2))
    extend(rig.fleet, entries.TermRaised("g", 3))
    extend(rig.fleet, entries.PrimaryChosen("g", 3, "g-a", 2, 70))
    extend(rig.fleet, entries.PrimaryActive("g", 3, 3))
    extend(rig.fleet, entries.TermRaised("g", 4))
    rig.servers["g-b"].position = ServerPosition(*b)
    rig.servers["g-c"].position = ServerPosition(*c)
    rig.run(2)
    group = rig.fleet.groups["g"]
    assert group.primary == primary
    assert term_ends.items() <= group.term_ends.items()


def test_groups_change_independently():
    rig = Rig(groups=("g", "h"))
    rig.servers["h-b"].is_reachable = False
    extend(rig.fleet, entries.TermRaised("h", 2))
    fail_primary(rig, ("g",))
    rig.run(2)
    assert rig.fleet.groups["g"].phase is GroupPhase.ACTIVE
    assert rig.fleet.groups["g"].term == 2
    assert rig.fleet.groups["h"].phase is GroupPhase.FENCING
    assert list(rig.planner.statuses()) == ["h"]


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
    rig = Rig()
    fail_primary(rig)
    rig.run(2)
    extend(rig.fleet, entries.EndpointLost("g-a"))
    rig.run(2)
    rig.actions.clear()
    extend(rig.fleet, endpoint_joined("g-a", "a", role, term))
    rig.run(2)
    assert rig.fleet.endpoints["g-a"].state is EndpointState.JOINED
    assert ("g-a" in rig.sent(messages.RepointServer)) is is_repointed


def test_outcomes_of_an_older_term_do_not_count():
    rig = Rig()
    extend(rig.fleet, entries.TermRaised("g", 2))
    for server in rig.servers.values():
        server.is_reachable = False
    rig.run(3)
    rig.handle(messages.ServerFenced("g", 1, "g-b"))
    rig.handle(messages.ServerFenced("g", 1, "g-c"))
    rig.handle(messages.PositionRead("g", 2, "g-b", ServerPosition(1, 5)))
    rig.run(3)
    assert "2 of 2 servers to be fenced" in rig.planner.statuses()["g"]


def test_unanswered_action_is_repeated_after_its_limit(monkeypatch):
    # An unresponsive connection must not block a failover.
    rig = Rig()
    extend(rig.fleet, entries.TermRaised("g", 2))
    monkeypatch.setattr(rig, "execute", lambda action: None)
    rig.run(20, 100)
    fences = [a for a in rig.actions if isinstance(a, messages.FenceServer)]
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
    # that is partitioned from the primary would block all writes.
    rig = Rig()
    for now_ms in (0, age_ms):
        rig.now_ms = now_ms
        rig.report("a", *["g-c"] * owner_down)
        if standby_reports:
            rig.report("b", *["g-c"] * standby_down)
    found = rig.planner.unreachable(rig.fleet, rig.now_ms)
    assert found == ({"g-c"} if is_found else set())


@pytest.mark.parametrize("is_notified", [True, False])
def test_applied_entries_keep_the_scan_up_to_date(is_notified):
    # The scan is updated by single entries; the failover of a group that it
    # misses would wait until the next full scan.
    rig = Rig(groups=("g", "h"))
    rig.observe()
    extend(rig.fleet, entries.TermRaised("g", 2))
    if is_notified:
        rig.handle(messages.EntryApplied(rig.fleet.index, "g"))
        assert rig.sent(messages.FenceServer)
    else:
        rig.run(2)
    rig.run(10)
    assert rig.fleet.groups["g"].phase is GroupPhase.ACTIVE
    assert rig.fleet.groups["g"].term == 2
    assert rig.planner.scan.due_groups(rig.fleet) <= {"g"}


def test_group_continues_once_all_leases_applied_the_raise():
    # Otherwise each failover would wait for the next tick.
    rig = Rig()
    rig.min_applied_index = rig.fleet.index
    rig.observe()
    extend(rig.fleet, entries.TermRaised("g", 2))
    rig.handle(messages.EntryApplied(rig.fleet.index, "g"))
    assert not rig.sent(messages.ReadPosition, 2)
    rig.handle(messages.LeasesPassed(rig.fleet.index))
    assert rig.sent(messages.ReadPosition, 2)
