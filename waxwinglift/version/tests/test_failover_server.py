"""Tests failovers in groups whose servers fence themselves."""

import pytest

from waxwinglift.version import _entries as entries
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._daemon_reports import DaemonReports
from waxwinglift.version._types import GroupPhase
from waxwinglift.version._types import ServerPosition
from waxwinglift.version.tests.fleets import extend
from waxwinglift.version.tests.server_failover_harness import Harness
from waxwinglift.version.tests.server_failover_harness import joined


def test_a_healthy_group_keeps_its_primary():
    # Every unnecessary failover discards writes.
    harness = Harness()
    harness.report("a")
    harness.report("b")
    harness.run(5000)
    assert harness.group.phase is GroupPhase.ACTIVE
    assert harness.promoted == []


@pytest.mark.parametrize(
    ("ahead", "expected"), [("s1", "s1"), ("s2", "s2"), (None, "s1")]
)
def test_the_replica_that_received_most_takes_over(ahead, expected):
    # Otherwise the writes that only the other one has received are lost.
    harness = Harness()
    if ahead is not None:
        harness.servers[ahead].position = ServerPosition(1, 120)
    harness.servers["s0"].is_reachable = False
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(1000)
    assert harness.promoted == [expected]
    assert harness.group.primary == expected
    assert harness.group.phase is GroupPhase.ACTIVE


def test_a_higher_timeline_beats_a_longer_log():
    # A promotion that was executed late may have promoted another server.
    harness = Harness()
    harness.servers["s1"].position = ServerPosition(1, 500)
    harness.servers["s2"].position = ServerPosition(2, 90)
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(1000)
    assert harness.promoted == ["s2"]


def test_a_failover_does_not_wait_for_leases():
    # The servers themselves refuse outdated writes, so waiting for a
    # partitioned proxy would only make the outage longer.
    harness = Harness()
    harness.min_applied_index = 0
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(600)
    assert harness.group.phase is GroupPhase.ACTIVE
    assert harness.promoted == ["s1"]


def test_a_primary_that_only_its_owner_reports_down_is_kept():
    # The owner may be partitioned itself; the standby owner then serves.
    harness = Harness()
    harness.report("a", "s0")
    harness.report("b")
    harness.run(3000)
    assert harness.promoted == []


@pytest.mark.parametrize(
    ("sync_count", "is_promoted"), [(0, True), (1, False)]
)
def test_an_unresponsive_replica_delays_only_if_it_may_have_unique_commits(
    sync_count, is_promoted
):
    # With synchronous replicas, a commit may be only on the unresponsive one.
    harness = Harness(sync_count)
    harness.servers["s2"].is_reachable = False
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(3000)
    assert bool(harness.promoted) is is_promoted


@pytest.mark.parametrize(
    ("sync_count", "is_promoted"), [(0, True), (1, False), (2, True)]
)
def test_a_lost_replica_is_waited_for_if_it_may_have_unique_commits(
    sync_count, is_promoted
):
    # Its check-ins have stopped, but commits that it acknowledged before, or
    # acknowledges still if only control cannot reach it, may be nowhere else.
    harness = Harness(sync_count)
    extend(harness.fleet, entries.EndpointLost("s2"))
    harness.servers["s2"].is_reachable = False
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(20_000)
    assert bool(harness.promoted) is is_promoted


def test_the_primary_continues_while_a_replica_is_waited_for():
    # Once the term is raised, no write is served, although the primary may be
    # back before the replica.
    harness = Harness(sync_count=1)
    harness.servers["s2"].is_reachable = False
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(3000)
    assert (harness.group.phase, harness.group.term) == (GroupPhase.ACTIVE, 1)


def test_the_replica_that_was_waited_for_takes_over_with_its_commits():
    # It alone has the commits that were acknowledged last.
    harness = Harness(sync_count=1)
    extend(harness.fleet, entries.EndpointLost("s2"))
    harness.servers["s2"].is_reachable = False
    harness.servers["s2"].position = ServerPosition(1, 130)
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(8000)
    harness.servers["s2"].is_reachable = True
    harness.run(2000)
    assert harness.promoted == ["s2"]


def test_an_abandoned_choice_is_chosen_again_when_it_is_back():
    # The server with all acknowledged commits stops before its promotion,
    # and the others may lack some of them.
    harness = Harness(sync_count=1)
    harness.servers["s1"].position = ServerPosition(1, 130)
    harness.servers["s0"].is_reachable = False
    harness.report("a", "s0")
    harness.report("b", "s0")
    original = harness._execute

    def fail_chosen(action):
        if isinstance(action, messages.PromoteServer):
            server = harness.servers["s1"]
            server.is_reachable, server.is_not_running = False, True
        return original(action)

    harness._execute = fail_chosen
    harness.run(5000)
    assert harness.promoted == []
    harness._execute = original
    harness.servers["s1"].is_reachable = True
    harness.servers["s0"].is_reachable = True
    harness.run(3000)
    assert harness.promoted[:1] == ["s1"]


def test_a_leaving_primary_hands_over_although_a_replica_is_lost():
    # The successor has received all writes of the primary, which include
    # every commit that the lost replica may have acknowledged.
    harness = Harness(sync_count=1)
    harness.report("a")
    harness.report("b")
    extend(harness.fleet, entries.EndpointLost("s2"))
    harness.servers["s2"].is_reachable = False
    extend(harness.fleet, entries.EndpointLeaving("s0"))
    harness.run(3000)
    assert harness.promoted == ["s1"]


def test_a_primary_that_has_left_is_not_waited_for():
    # It has handed over all its commits and does not come back.
    harness = Harness(sync_count=1)
    harness.report("a", "s0")
    harness.report("b", "s0")
    extend(harness.fleet, entries.EndpointLeaving("s0"))
    extend(harness.fleet, entries.EndpointRemoved("s0"))
    harness.run(3000)
    assert harness.promoted == ["s1"]
    assert "s0" not in harness.fleet.endpoints


def test_a_leaving_primary_hands_over_without_losing_writes():
    # Writes stop first; then the successor must receive all of them.
    harness = Harness()
    harness.report("a")
    harness.report("b")
    harness.min_applied_index = 0
    harness.servers["s0"].position = ServerPosition(1, 110)
    extend(harness.fleet, entries.EndpointLeaving("s0"))
    harness.run(200)
    assert harness.promoted == []
    harness.min_applied_index = harness.fleet.index
    harness.servers["s2"].position = ServerPosition(1, 110)
    harness.run(1000)
    assert harness.promoted == ["s2"]


@pytest.mark.parametrize(("live", "elapsed_ms"), [("ab", 2500), ("a", 4000)])
def test_a_new_leader_does_not_wait_for_a_leaving_primary_again(
    live, elapsed_ms
):
    # The primary stops 7 s after it announced that it leaves, whoever leads
    # control.  Waiting anew would leave requests there beyond that.
    harness = Harness()
    harness.live = frozenset("abcdef")
    for daemon in harness.live:
        harness.report(daemon)
    harness.run(200)
    harness.down = {}
    for daemon in live:
        harness.report(daemon)
    # No replica is close behind the primary.
    harness.servers["s0"].position = ServerPosition(1, 300)
    extend(harness.fleet, entries.EndpointLeaving("s0"))
    harness.run(elapsed_ms)
    assert harness.group.term == 1
    harness.planner.step(
        harness.fleet, messages.LeadershipStarted(), harness.now_ms
    )
    harness.run(300)
    assert harness.group.term == 2


@pytest.mark.parametrize("lag", [200, 21])
def test_a_leaving_primary_is_kept_while_replicas_are_far_behind(lag):
    # Stopping writes that early would only make the outage longer.
    harness = Harness()
    harness.report("a")
    harness.report("b")
    harness.servers["s0"].position = ServerPosition(1, 100 + lag)
    extend(harness.fleet, entries.EndpointLeaving("s0"))
    harness.run(1000)
    assert harness.group.phase is GroupPhase.ACTIVE
    assert harness.group.term == 1


def test_a_chosen_server_that_does_not_run_is_replaced_at_once():
    # The platform reports that the server no longer runs, so it will not
    # come back.
    harness = Harness()
    harness.servers["s1"].position = ServerPosition(1, 130)
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.servers["s0"].is_reachable = False
    original = harness._execute

    def fail_chosen(action):
        if isinstance(action, messages.PromoteServer):
            server = harness.servers[action.endpoint]
            if action.endpoint == "s1":
                server.is_reachable, server.is_not_running = False, True
        return original(action)

    harness._execute = fail_chosen
    harness.run(1500)
    assert harness.promoted == ["s2"]


def test_the_old_primary_is_kept_when_no_other_server_answers():
    # A group without a primary serves no writes at all.
    harness = Harness()
    harness.servers["s1"].is_reachable = False
    harness.servers["s2"].is_reachable = False
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(1500)
    assert harness.group.primary == "s0"
    assert harness.promoted == ["s0"]


@pytest.mark.parametrize("sync_count", [0, 1])
def test_replicas_receive_again_after_the_old_primary_was_kept(sync_count):
    # A replica that stays fenced falls behind for ever, and with it all
    # commits that the next change of primary needs.
    harness = Harness(sync_count)
    harness.servers["s1"].is_reachable = False
    harness.servers["s2"].is_reachable = False
    extend(harness.fleet, entries.TermRaised("g", 2))
    while not harness.promoted:
        harness.run(20)
    assert harness.promoted == ["s0"]
    harness.servers["s1"].is_reachable = True
    extend(harness.fleet, entries.EndpointLost("s2"))
    harness.run(1000)
    assert harness.unfenced == ["s1"]
    harness.servers["s2"].is_reachable = True
    extend(harness.fleet, joined(2))
    harness.run(1000)
    assert harness.unfenced == ["s1", "s2"]
    # A new leader does not know which ones are done.
    harness.planner.step(
        harness.fleet, messages.LeadershipStarted(), harness.now_ms
    )
    harness.run(1000)
    assert harness.unfenced[2:] == ["s1", "s2"]


def test_the_end_of_a_timeline_is_recorded():
    # Without it, sessions with a later floor on that timeline would not get
    # the error that commits before their floor were lost.
    harness = Harness()
    harness.servers["s1"].position = ServerPosition(1, 117)
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(1000)
    assert harness.group.term_ends == {1: 117}


@pytest.mark.parametrize(
    ("live", "is_leaving", "wait_ms", "is_promoted"),
    [
        # Most proxies are on the primary's side of a partition.  It still
        # serves them, and a new primary would serve only the others.
        ("a", False, 5000, False),
        # The primary may have failed with them; callers must not wait
        # forever.
        ("a", False, 9500, True),
        # The loss of a region makes half of the proxies unresponsive.
        ("abc", False, 1000, True),
        # The primary announces that it leaves, and stops 7 s later.
        ("a", True, 4000, False),
        ("a", True, 6500, True),
    ],
)
def test_a_primary_that_most_proxies_may_use_is_kept(
    live, is_leaving, wait_ms, is_promoted
):
    harness = Harness()
    harness.live = frozenset("abcdef")
    for daemon in harness.live:
        harness.report(daemon)
    harness.run(200)
    # The other proxies are unresponsive, but their leases have not expired.
    harness.down = {}
    for daemon in live:
        harness.report(daemon)
    harness.run(1100)
    for daemon in live:
        harness.report(daemon, "s0")
    if is_leaving:
        extend(harness.fleet, entries.EndpointLeaving("s0"))
    harness.run(wait_ms)
    assert bool(harness.promoted) is is_promoted


def test_proxies_that_stop_cleanly_do_not_count_as_unresponsive():
    # Proxies that are restarted one by one must not delay a failover.
    daemon_reports = DaemonReports(report_ttl_ms=1000.0)
    daemon_reports.record_leases(frozenset("abcde"), 0.0)
    for daemon in "abcde":
        daemon_reports.record_report(daemon, 0.0)
    assert not daemon_reports.are_most_unresponsive(900.0)
    for daemon in "abc":
        daemon_reports.drop(daemon)
    for daemon in "de":
        daemon_reports.record_report(daemon, 1000.0)
    assert not daemon_reports.are_most_unresponsive(1900.0)
    assert daemon_reports.are_most_unresponsive(2100.0)
    # Proxies that do not come back are removed.
    daemon_reports.record_leases(frozenset(), 20_000.0)
    assert not daemon_reports.are_most_unresponsive(20_000.0)
