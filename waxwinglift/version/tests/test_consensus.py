"""Tests that the control log stays consistent under faults."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from waxwinglift.version import _consensus_types as t
from waxwinglift.version import _entries as e
from waxwinglift.version._consensus_messages import decode_message
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version.tests.virtual_group import ADDRESS
from waxwinglift.version.tests.virtual_group import VirtualGroup

NAMES = ["m1", "m2", "m3", "m4", "m5"]
ROWS = (e.RankRow("urgent", 1, 0, 0, 10, 100),)
TABLE = e.PoolTable("p", "g", ROWS)


def edit(edit_id, version):
    return e.PoolEdited(edit_id, "p", version, TABLE)


def start_group(count, seed=1, **settings):
    group = VirtualGroup(NAMES[:count], seed, **settings)
    group.run(2_000)
    return group, group.leader()


def commit(group, entry, wait_ms=500):
    """Propose ``entry`` until it is committed; return the outcome."""
    for _ in range(20):
        leader = group.leader()
        outcome = leader and group.propose(leader.name, entry)
        group.run(wait_ms)
        if isinstance(outcome, t.Accepted):
            committed_entry = group.committed.get(outcome.index)
            if committed_entry and committed_entry.term == outcome.term:
                return outcome
    raise AssertionError("no commit")


NUMBERS = st.integers(0, 5)
SETS, FLAGS = st.sets(NUMBERS, max_size=3), st.booleans()
# Often empty, so that isolations end.
ISOLATED_SETS = st.just(set()) | SETS
AGES, TIMES = st.integers(0, 2), st.integers(1, 4)
FAULTS = st.sampled_from(["crash", "freeze", "crash_and_restart"])
COUNTS, SEEDS = st.sampled_from([3, 5]), st.integers(0, 999)
TIMEOUTS = st.sampled_from([310.0, 600.0])
DISTURBANCES = st.fixed_dictionaries(
    {
        "loss": st.sampled_from([0.0, 0.1, 0.4]),
        "duplication": st.sampled_from([0.0, 0.3]),
        "delay_ms": st.sampled_from([5.0, 60.0, 300.0]),
        "disk_delay_ms": st.sampled_from([3.0, 50.0, 300.0]),
    }
)
PAUSES = st.sampled_from([1, 3, 10, 40, 200, 700])


class ControlGroupMachine(stateful.RuleBasedStateMachine):
    """Injects random faults; the group asserts its invariants at each step.

    With similar election timeouts, candidates often compete.  With slow disks,
    crashes often fall between a decision and its write.
    """

    @stateful.initialize(count=COUNTS, seed=SEEDS, timeout_ms=TIMEOUTS)
    def start(self, count, seed, timeout_ms):
        settings = {"election_timeout_max_ms": timeout_ms}
        self.group = VirtualGroup(NAMES[:count], seed, **settings)
        self.edits_count = 0
        self.group.run(700)

    def pick(self, number):
        """Return a member name; number 0 selects the latest leader."""
        if number == 0 and self.group.leaders:
            return self.group.leaders[max(self.group.leaders)]
        return NAMES[number % len(self.group.members)]

    @stateful.rule(number=NUMBERS, age=AGES, times=TIMES, pause_ms=PAUSES)
    def propose(self, number, age, times, pause_ms):
        """Send new edits to any member, or resend an earlier one.

        If ``age`` is 0, new edits are sent.  Otherwise the same earlier edit
        is sent ``times`` times: the one ``age`` edits before the latest.
        """
        for _ in range(times):
            self.edits_count += age == 0
            count = max(0, self.edits_count - age)
            entry = edit(f"i{count}", count // 2)
            self.group.propose(self.pick(number), entry)
        self.group.run(pause_ms)

    @stateful.rule(fault=FAULTS, number=NUMBERS, pause_ms=PAUSES)
    def inject_fault(self, fault, number, pause_ms):
        getattr(self.group, fault)(self.pick(number))
        self.group.run(pause_ms)

    @stateful.rule(pause_ms=PAUSES)
    def lose_power(self, pause_ms):
        for name in self.group.members:
            self.group.crash_and_restart(name)
        self.group.run(pause_ms)

    @stateful.rule(numbers=SETS, pause_ms=PAUSES)
    def resume(self, numbers, pause_ms):
        for number in numbers:
            self.group.restart(self.pick(number))
            self.group.thaw(self.pick(number))
        self.group.run(pause_ms)

    @stateful.rule(
        numbers=ISOLATED_SETS,
        blocks_incoming=FLAGS,
        blocks_outgoing=FLAGS,
        pause_ms=PAUSES,
    )
    def isolate(self, numbers, blocks_incoming, blocks_outgoing, pause_ms):
        names = {self.pick(number) for number in numbers}
        self.group.isolate(names, blocks_incoming, blocks_outgoing)
        self.group.run(pause_ms)

    @stateful.rule(disturbances=DISTURBANCES, pause_ms=PAUSES)
    def disturb(self, disturbances, pause_ms):
        for name, value in disturbances.items():
            setattr(self.group, name, value)
        self.group.run(pause_ms)

    def teardown(self):
        """Check that the group works and agrees once all faults ended."""
        if not hasattr(self, "group"):
            return
        self.group.repair()
        self.group.run(5_000)
        commit(self.group, e.NoOperation())
        members = self.group.members.values()
        assert len({encode_fleet(member.fleet) for member in members}) == 1


TestControlGroup = ControlGroupMachine.TestCase
TestControlGroup.settings = hypothesis.settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.mark.parametrize("seed", range(3))
def test_member_isolated_for_an_hour_returns_without_an_election(seed):
    # Without pre-votes, the member's increased term would depose the leader.
    # Timers are 20 times longer than usual to save steps.
    slow = {
        "heartbeat_ms": 1_500.0,
        "check_quorum_ms": 5_000.0,
        "election_timeout_min_ms": 6_000.0,
        "election_timeout_max_ms": 12_000.0,
    }
    group = VirtualGroup(NAMES[:3], seed, **slow)
    group.run(40_000)
    leader = group.leader()
    other = next(n for n in group.members if n != leader.name)
    group.isolate({other})
    group.run(3_600_000)
    term, count = leader.node.term, group.step_downs_count
    group.repair()
    group.run(60_000)
    assert (leader.node.term, group.step_downs_count) == (term, count)
    assert group.members[other].node.term == term


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("blocks_outgoing", [True, False])
def test_isolated_leader_stops_before_another_starts(
    count, seed, blocks_outgoing
):
    # The group asserts at each step that at most one member leads with a
    # quorum.
    group, leader = start_group(count, seed)
    group.isolate({leader.name}, True, blocks_outgoing)
    group.run(260)
    assert not leader.leads()
    assert leader.node.role is not t.NodeRole.LEADER
    group.run(2_500)
    assert group.leader() not in (None, leader)


@pytest.mark.parametrize("stall_ms", [260, 2_000, 60_000])
def test_only_member_leads_on_after_a_stall_of_its_own(stall_ms):
    # A leader of one has a majority at all times.  It stepped down when its
    # process was late, and its proposals ended with an unknown outcome.
    group, leader = start_group(1)
    group.freeze(leader.name)
    group.run(stall_ms)
    assert leader.leads()
    group.thaw(leader.name)
    outcome = group.propose(leader.name, edit("late", 0))
    assert isinstance(outcome, t.Accepted)
    assert group.step_downs_count == 0


@pytest.mark.parametrize("seed", range(4))
def test_second_member_fails_right_after_the_first_is_replaced(seed):
    # The replacement must have the log by the time its vote is counted.
    # Otherwise the group would have no majority with all committed entries.
    group, leader = start_group(3, seed)
    first, second = [n for n in group.members if n != leader.name]
    for version in range(20):
        commit(group, edit(f"i{version}", version), 50)
    group.crash(first)
    group.add("m4")
    for entry in (ADD_4, e.MemberRemoved(first), PROMOTE_4):
        commit(group, entry, 300)
    group.crash(second)
    group.run(2_000)
    commit(group, edit("late", 20))
    assert group.members["m4"].fleet.pools["p"].version == 21
    assert group.installs_count >= 1


ADD_4, ADD_5 = (e.MemberAdded(name, ADDRESS) for name in NAMES[3:])
PROMOTE_4 = e.MemberPromoted("m4")


@pytest.mark.parametrize("seed", range(4))
def test_lagging_member_does_not_cause_endless_messages(seed):
    # The group asserts at each step a limit on the messages in flight.
    group, _ = start_group(3, seed)
    for version in range(20):
        commit(group, edit(f"i{version}", version), 50)
    group.duplication, group.disk_delay_ms = 0.5, 3_000.0
    group.add("m4")
    commit(group, ADD_4, 5_000)
    assert group.members["m4"].fleet.pools["p"].version == 20


# A number among the changes is a time in ms for which the group runs.
@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ([PROMOTE_4], t.ProposalRefusal.INVALID_CHANGE),
        ([e.MemberRemoved("m4")], t.ProposalRefusal.INVALID_CHANGE),
        ([e.MemberAdded("m1", ADDRESS)], t.ProposalRefusal.INVALID_CHANGE),
        ([ADD_4, ADD_5], t.ProposalRefusal.CHANGE_IN_PROGRESS),
        ([ADD_4, 300, PROMOTE_4], t.ProposalRefusal.NOT_CAUGHT_UP),
    ],
)
def test_member_change_is_refused(changes, reason):
    group, leader = start_group(3)
    for change in changes:
        if change == 300:
            group.run(change)
        else:
            outcome = group.propose(leader.name, change)
    assert outcome.reason is reason


@pytest.mark.parametrize("seed", range(3))
def test_removed_leader_steps_down(seed):
    # A leader that is no longer a member would commit entries by majorities
    # that it does not belong to.
    group, leader = start_group(3, seed)
    commit(group, e.MemberRemoved(leader.name), 3_000)
    assert group.leader() not in (None, leader)
    commit(group, edit("i", 0))


@pytest.mark.parametrize("seed", range(3))
def test_concurrent_edits_and_resend_across_a_snapshot(seed):
    # Of two edits of the same version one is applied; a resent edit gets the
    # same answer again, also after restarts from a snapshot.
    group, leader = start_group(3, seed)
    for edit_id in ("a", "b"):
        group.propose(leader.name, edit(edit_id, 0))
    group.run(200)
    for version in range(1, 20):
        commit(group, edit(f"i{version}", version), 50)
    first = dict(group.answers)
    for name in group.members:
        group.crash(name)
        group.restart(name)
    group.run(2_000)
    commit(group, edit("a", 0))
    commit(group, edit("b", 0))
    assert group.answers == first
    applied = [first[edit_id].unwrap().is_applied for edit_id in ("a", "b")]
    assert applied == [True, False]
    assert leader.node.snapshot.index > 10


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_group_of_any_size_commits(count):
    group, _ = start_group(count)
    commit(group, edit("i", 0))
    # Two bootstrap entries per member, the leader's first entry and the edit.
    assert {m.fleet.index for m in group.members.values()} == {2 * count + 2}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("heartbeat_ms", 250.0),
        ("check_quorum_ms", 300.0),
        ("election_timeout_min_ms", 600.0),
    ],
)
def test_settings_with_timeouts_in_wrong_order_are_refused(name, value):
    # A leader must step down by check-quorum before members may vote for
    # another one.
    with pytest.raises(ValueError):
        t.ConsensusSettings(member="m1", **{name: value})


@pytest.mark.parametrize("payload", [b"", b"[]", b'{"kind":"vote"}', b"1"])
def test_malformed_message_is_an_error(payload):
    with pytest.raises(ValueError):
        decode_message(payload)


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("has_one_peer", [False, True])
def test_leader_that_resigned_leads_again_only_without_others(
    seed, has_one_peer
):
    # A leader that resigned because it reaches no server must not win the
    # next election, nor leave the group without a leader.
    group, leader = start_group(3, seed)
    others = [name for name in group.members if name != leader.name]
    if has_one_peer:
        group.crash(others[0])
    leader.handle(t.Resign())
    assert not leader.leads()
    group.run(1_500)
    assert group.leader() is not None
    assert group.leader().name in others
    if has_one_peer:
        # The other running member resigns as well.
        group.leader().handle(t.Resign())
        group.run(3_000)
        assert group.leader() is not None
