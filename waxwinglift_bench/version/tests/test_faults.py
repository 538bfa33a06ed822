"""Guards the promises under faults, and that the tables notice a lost rule."""

import dataclasses

import click.testing
import pytest

from waxwinglift.version import _failover_steps as steps
from waxwinglift.version._failover import FailoverPlanner
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._leases import LeaseTable
from waxwinglift_bench.process.faults import faults
from waxwinglift_bench.version import _proxies
from waxwinglift_bench.version._fault_run import FaultRun
from waxwinglift_bench.version._fault_table import Case
from waxwinglift_bench.version._fault_table import run_case
from waxwinglift_bench.version._fault_table import Timing
from waxwinglift_bench.version._faults import FAULTS

ENTRY_FROZEN = "entry proxy frozen with an answer, primary isolated"
LEADER_LOST = "entry proxy frozen with an answer, primary and leader lost"
OWNER_FROZEN = "owner frozen with an answer, primary isolated"
NO_ENTRIES = "proxy without log entries, primary killed"


@pytest.mark.parametrize(
    ("first", "second", "seed"),
    [
        ("primary killed", None, 1),
        ("primary killed", "primary killed", 1),
        ("old primary returns", "old primary returns", 1),
        ("primary frozen briefly", "control leader killed", 1),
        (LEADER_LOST, None, 1),
        (OWNER_FROZEN, None, 1),
        (NO_ENTRIES, None, 1),
        # These three once stopped writes for 2.8 to 3.6 s.
        ("data centre of the primary lost", None, 1),
        ("primary cut from its owner", "replica killed", 1),
        ("primary frozen", "primary cut from its owner", 1),
    ],
)
def test_promises_are_kept(first, second, seed):
    outcome = run_case(Case(first, second, seed))
    assert outcome.is_kept, outcome


LONG_INTERVALS = Timing(500.0, 2000.0, 10_000.0)
SHORT_INTERVALS = Timing(100.0, 400.0)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ("primary frozen", None),
        ("primary isolated", None),
        ("owner killed", "primary frozen"),
        ("primary frozen", "owner killed"),
    ],
)
def test_long_intervals_keep_the_bound_of_the_target(first, second):
    # docs/CAPACITY.md offers them to save processor time.  A stalled
    # position may give a frozen primary away sooner than its probes do, so
    # one seed alone does not show that the intervals are in force.
    outcomes = [
        run_case(Case(first, second, seed, LONG_INTERVALS))
        for seed in (1, 2, 3)
    ]
    assert all(outcome.is_kept for outcome in outcomes), outcomes
    worst_ms = max(outcome.gap_ms for outcome in outcomes)
    assert worst_ms > 2000.0, "the intervals were not in force"


def choose_lowest(change, read):
    positions = change.progress.positions
    name = min(sorted(read), key=lambda n: positions[n][0])
    position = positions[name][0]
    group = change.group
    old_term = steps.find_term(group, position.timeline)
    entry = steps.PrimaryChosen(
        group.group, group.term, name, old_term, position.lsn
    )
    change.propose(entry)


def is_ever_granted(lease, now_ms):
    return lease.left_ms(0.0) > 0


def forget_leases(table, daemons, now_ms):
    table._leases = {}


def answer_not_run(proxy, request, verdict, answer=_proxies.Proxy.answer):
    answer(proxy, request, "ok" if verdict == "ok" else "not_run")


SEEDS = range(1, 7)

# Name of the rule that is left out, what replaces it, and a case.
MUTATIONS = [
    (
        "wait for a quorum before acknowledging",
        (_proxies, "quorum_count", lambda size_count: 1),
        Case("primary cut from replicas", "primary isolated", 1),
    ),
    (
        "fence a quorum",
        (steps, "fenced_needed_count", lambda size_count: 1),
        Case("replica killed", "primary killed", 1),
    ),
    (
        "choose the highest position",
        (steps, "_choose", choose_lowest),
        Case(ENTRY_FROZEN, None, 2),
    ),
    (
        "wait for the leases",
        (steps.StepContext, "is_old_primary_unused", lambda change: True),
        Case(ENTRY_FROZEN, None, 1),
    ),
    (
        "wait for the leases of an earlier leader",
        (LeaseTable, "start_leadership", forget_leases),
        # At the usual intervals the frozen proxy's lease has mostly run out
        # before the primary is found down.
        Case(LEADER_LOST, None, 1, SHORT_INTERVALS),
    ),
    (
        "acknowledge under a lease only",
        (DaemonLease, "is_live", is_ever_granted),
        Case(OWNER_FROZEN, None, 1),
    ),
    (
        "end the leases of proxies behind the raise",
        (LeaseTable, "require", lambda table, index: None),
        Case(NO_ENTRIES, None, 1),
    ),
    (
        "compare positions with floors",
        (_proxies, "check_floor", lambda *_: _proxies.FloorState.MET),
        Case(NO_ENTRIES, None, 1),
    ),
    (
        "report an unknown outcome as unknown",
        (_proxies.Proxy, "answer", answer_not_run),
        Case(OWNER_FROZEN, None, 1),
    ),
    (
        "repoint the other replicas",
        (steps, "_repoint_outdated_replicas", lambda change: None),
        Case("primary killed", None, 1),
    ),
    (
        "move endpoints that only their owner cannot reach",
        (FailoverPlanner, "unreachable", lambda *_: set()),
        Case("primary cut from its owner", "replica killed", 1),
    ),
]


@pytest.mark.parametrize(
    ("patch", "case"),
    [(patch, case) for _, patch, case in MUTATIONS],
    ids=[rule for rule, _, _ in MUTATIONS],
)
def test_tables_notice_a_missing_rule(patch, case, monkeypatch):
    # A table that passes without a rule would not notice its loss.  The same
    # pair with all rules is kept at each of these seeds.
    monkeypatch.setattr(*patch)
    cases = [dataclasses.replace(case, seed=seed) for seed in SEEDS]
    assert not all(run_case(c).is_kept for c in cases)


@pytest.mark.parametrize("has_rule", [True, False])
def test_leader_cut_from_all_servers_is_replaced(has_rule, monkeypatch):
    # It keeps the leadership of the log, because it reaches the members, and
    # no other member may replace the primary.
    if not has_rule:
        monkeypatch.setattr(FailoverPlanner, "is_cut_off", lambda *_: False)
    run = FaultRun(1)
    run.world.run_until(6200.0)
    run.world.cut([run.leader.name], [s.name for s in run.servers])
    run.apply(FAULTS["primary killed"])
    run.world.run_until(run.now_ms + 6000.0)
    run.finish()
    assert run.ledger.violations.count == 0
    assert (run.gap_ms < Timing().gap_bound_ms) is has_rule


@pytest.mark.parametrize("is_broken", [False, True])
def test_command_exits_with_the_verdict(is_broken, monkeypatch):
    if is_broken:
        monkeypatch.setattr(
            steps, "_repoint_outdated_replicas", lambda change: None
        )
    arguments = ["--first", "primary killed", "--second", "none"]
    result = click.testing.CliRunner().invoke(faults, arguments)
    assert result.exit_code == int(is_broken)
    assert f"1 cases, {int(is_broken)} broken" in result.output
    assert ("broken: " in result.output) is is_broken
