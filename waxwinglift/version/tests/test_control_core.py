"""Tests of what a control leader grants and proposes, and when it must not."""

import dataclasses
import itertools
import random

import pytest

from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import _entries as entries
from waxwinglift.version._control_core import ControlCore
from waxwinglift.version._control_settings import ControlCoreSettings
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._failover_messages import Propose
from waxwinglift.version._failover_messages import ReadPosition
from waxwinglift.version._leases import LeaseSettings
from waxwinglift.version._renewals import Renewal
from waxwinglift.version._types import DaemonState
from waxwinglift.version.tests.fleets import daemon_joined
from waxwinglift.version.tests.fleets import endpoint_joined
from waxwinglift.version.tests.fleets import group_entries
from waxwinglift.version.tests.test_announcements import make_announcement

SEQUENCES = itertools.count(1)
LEASE_ANSWERS = (messages.GrantLease, messages.RefuseLease)
FORMED = [*map(daemon_joined, "abc"), *group_entries()]


def renewal(daemon, applied_index, **fields):
    joined = daemon_joined(daemon)
    sequence = fields.pop("sequence", None) or next(SEQUENCES)
    return Renewal(
        daemon,
        joined.address,
        joined.location,
        applied_index,
        sequence,
        **fields,
    )


class Leader:
    """Control core that leads; its proposals are committed at once."""

    def __init__(self, logged=FORMED):
        leases = LeaseSettings(lease_ms=1200)
        settings = ControlCoreSettings(leases=leases)
        self.core = ControlCore(settings, random.Random(1))
        self.now_ms = 0.0
        self.proposed = []
        for entry in logged:
            self.commit(entry)
        self.proposed.clear()
        self.core.step(messages.BecameLeader(), self.now_ms)

    @property
    def fleet(self):
        return self.core.fleet

    def commit(self, entry):
        index = self.fleet.index + 1
        return self.step(messages.EntryCommitted(index, entry))

    def step(self, event):
        others = []
        for action in self.core.step(event, self.now_ms):
            if isinstance(action, Propose):
                self.proposed.append(action.entry)
                others += self.commit(action.entry)
            else:
                others.append(action)
        return others

    def renew(self, daemon, has_quorum=True, behind_count=0, **fields):
        applied_index = self.fleet.index - behind_count
        event = renewal(daemon, applied_index, **fields)
        return self.step(messages.RenewalReceived(event, has_quorum))

    def run(self, daemons="abc", steps_count=10, has_quorum=True, **fields):
        """Tick every 50 ms and renew the leases of ``daemons`` each time."""
        others = []
        for _ in range(steps_count):
            self.now_ms += 50
            for daemon in daemons:
                others += self.renew(daemon, has_quorum, **fields)
            others += self.step(messages.ControlTick(has_quorum))
        return others

    def proposals(self, entry_type):
        return [e for e in self.proposed if isinstance(e, entry_type)]


@pytest.mark.parametrize(
    ("daemon", "fields", "is_granted", "proposed"),
    [
        ("a", {}, True, None),
        # Without a quorum another leader may have been elected.
        ("a", {"has_quorum": False}, False, None),
        ("a1", {}, False, entries.DaemonJoined),
        ("a", {"behind_count": 99}, False, None),
        ("a", {"is_draining": True}, True, entries.DaemonDraining),
        ("a", {"is_stopped": True}, False, entries.DaemonLeft),
    ],
)
def test_answers_to_renewals(daemon, fields, is_granted, proposed):
    leader = Leader()
    leader.core.leases.require(1)
    first, *_ = leader.renew(daemon, **fields, sequence=7)
    # A duplicate of the renewal, via another relay, changes nothing.
    (second,) = leader.renew(daemon, **fields, sequence=7)
    assert isinstance(second, messages.RefuseLease)
    assert isinstance(first, messages.GrantLease) is is_granted
    assert (first.daemon, first.sequence) == (daemon, 7)
    assert [type(e) for e in leader.proposed][:1] == (
        [proposed] if proposed else []
    )


def test_follower_applies_entries_but_proposes_and_grants_nothing():
    leader = Leader()
    leader.core.step(messages.SteppedDown(), 0.0)
    leader.step(messages.AnnouncementReceived(make_announcement("h-a")))
    refused = leader.run()
    assert {type(a) for a in refused} == {messages.RefuseLease}
    assert leader.proposed == []
    leader.commit(entries.DaemonLeft("c"))
    assert "c" not in leader.fleet.daemons
    with pytest.raises(ValueError, match="does not follow"):
        leader.core.step(messages.EntryCommitted(99, FORMED[0]), 0.0)


def test_announced_group_is_formed_and_owned():
    leader = Leader(FORMED[:3])
    leader.run()
    for name in ("g-a", "g-b", "g-c", "g-a"):
        announced = make_announcement(
            name, name[-1], in_recovery=name != "g-a"
        )
        leader.step(messages.AnnouncementReceived(announced))
    leader.run()
    assert leader.fleet.groups["g"].primary == "g-a"
    owners = {e: a.owner for e, a in leader.fleet.owners.items()}
    assert owners == {"g-a": "a", "g-b": "b", "g-c": "c"}
    assert len(leader.proposals(entries.OwnersAssigned)) <= 3


def test_expired_daemon_leaves_and_its_standby_takes_over():
    leader = Leader()
    leader.run()
    first = leader.fleet.owners["g-a"]
    leader.run("bc", 23)
    assert "a" in leader.fleet.daemons
    leader.run("bc", 5)
    assert "a" not in leader.fleet.daemons
    assert leader.fleet.owners["g-a"].owner == first.standby
    leader.run("abc", 100)
    assert leader.fleet.owners["g-a"].owner == "a"


@pytest.mark.parametrize("has_quorum", [True, False])
def test_raised_term_waits_for_leases_after_an_election(has_quorum):
    # A new leader has no record of the leases that the previous leader
    # granted, nor of the indexes that their holders have applied.
    leader = Leader([*FORMED, entries.TermRaised("g", 2)])
    refused = leader.run("a", 26, behind_count=99, has_quorum=has_quorum)
    assert not [a for a in refused if isinstance(a, messages.GrantLease)]
    assert not [a for a in refused if isinstance(a, ReadPosition)]
    core = leader.core
    raised_index = leader.fleet.groups["g"].raised_index
    assert not core.leases.all_applied(raised_index, 1319.0)
    assert core.leases.all_applied(raised_index, 1321.0)


def test_owner_report_starts_a_change_of_primary():
    leader = Leader()
    leader.run()
    down = (DownEndpoint("g-a", 1),)
    leader.renew(leader.fleet.owners["g-a"].owner, down=down)
    reads = leader.run("", 1)
    assert leader.core.statuses()["g"].startswith("owner reports")
    assert {type(a) for a in reads} <= {ReadPosition}


def test_daemon_that_does_not_apply_loses_its_lease():
    # Otherwise an edit would never take effect at a proxy whose stream of
    # entries hangs while its renewals arrive.
    leader = Leader()
    leader.run()
    leader.commit(endpoint_joined("h-a", "a"))
    leader.run("bc", 18)
    answers = leader.run("a", 6, behind_count=9)
    assert isinstance(answers[-1], messages.RefuseLease)


@pytest.mark.parametrize(
    ("behind_count", "is_cleared"), [(0, True), (2, False)]
)
def test_released_report_counts_only_from_the_new_assignment(
    behind_count, is_cleared
):
    # A report from before the handover does not cover connections that were
    # opened since.
    leader = Leader()
    leader.run()
    moved = entries.OwnerAssignment("g-a", "b", "c", 9, "a")
    leader.commit(entries.OwnersAssigned((moved,)))
    leader.commit(entries.NoOperation())
    event = renewal("a", leader.fleet.index - behind_count, released=("g-a",))
    leader.step(messages.RenewalReceived(event, True))
    leader.run("abc", 1)
    assert (leader.fleet.owners["g-a"].previous is None) is is_cleared


def test_draining_daemon_loses_its_endpoints_and_may_come_back():
    leader = Leader()
    leader.run()
    leader.run("a", 5, is_draining=True)
    assert leader.fleet.daemons["a"].state is DaemonState.DRAINING
    assert leader.fleet.owners["g-a"].owner != "a"
    assert leader.fleet.owners["g-a"].previous == "a"
    leader.run("abc", 30)
    assert leader.fleet.daemons["a"].state is DaemonState.ACTIVE


def test_snapshot_replaces_the_state():
    leader = Leader([])
    fleet = dataclasses.replace(Leader().fleet)
    leader.step(messages.StateInstalled(fleet))
    assert leader.fleet.index == len(FORMED)


def test_late_report_of_an_earlier_process_does_not_end_a_lease():
    # The leader would treat a proxy that holds a lease as stopped.
    leader = Leader()
    leader.renew("a", sequence=10)
    leader.renew("a", sequence=9, is_stopped=True)
    assert leader.core.leases.is_live("a", 1319.0)
    assert leader.proposals(entries.DaemonLeft) == []


def test_joining_daemon_does_not_delay_a_change_of_primary():
    # Its previous lease has expired and it has no new one.  A proxy that stops
    # before its first renewal must still be removed like any other.
    leader = Leader([*FORMED, entries.TermRaised("g", 2)])
    leader.run()
    leader.renew("d")
    raised_index = leader.fleet.groups["g"].raised_index
    assert "d" in leader.fleet.daemons
    assert leader.core.leases.all_applied(raised_index, leader.now_ms)
    leader.run(steps_count=28)
    assert "d" not in leader.fleet.daemons


def test_daemon_that_applies_no_entries_cannot_join():
    # It would get no lease, leave and join again, with two entries each time.
    leader = Leader([*FORMED, entries.TermRaised("g", 2)])
    leader.run()
    leader.renew("d", behind_count=99)
    assert leader.proposals(entries.DaemonJoined) == []


@pytest.mark.parametrize(
    ("behind_count", "is_granted"), [(3, True), (9, False)]
)
def test_renewal_a_round_trip_behind_raised_terms_is_granted(
    behind_count, is_granted
):
    # While many terms are raised in succession, no renewal is up to date when
    # it arrives.  Refusing them all ended the leases of the whole fleet.
    names = [f"g{number}" for number in range(30)]
    formed = [e for name in names for e in group_entries(name)]
    leader = Leader([*map(daemon_joined, "abc"), *formed])
    leader.run()
    for name in names:
        leader.commit(entries.TermRaised(name, 2))
        answers = leader.run("abc", 1, behind_count=behind_count)
    last = [a for a in answers if isinstance(a, LEASE_ANSWERS)][-1]
    assert isinstance(last, messages.GrantLease) is is_granted


@pytest.mark.parametrize(
    ("pause_steps_count", "is_granted"), [(0, True), (20, False)]
)
def test_single_raised_term_is_required_for_renewals_at_once(
    pause_steps_count, is_granted
):
    # A proxy that applies no entries but still renews would delay the change
    # of primary.  It only gets extra time while terms are raised in
    # succession.
    names = ["g1", "g2"]
    formed = [e for name in names for e in group_entries(name)]
    leader = Leader([*map(daemon_joined, "abc"), *formed])
    leader.run()
    leader.commit(entries.TermRaised("g1", 2))
    leader.run("abc", pause_steps_count)
    leader.commit(entries.TermRaised("g2", 2))
    answers = leader.run("abc", 1, behind_count=1)
    last = [a for a in answers if isinstance(a, LEASE_ANSWERS)][-1]
    assert isinstance(last, messages.GrantLease) is is_granted
