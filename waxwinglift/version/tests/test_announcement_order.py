"""Tests of announcements that arrive late or are from an earlier start."""

import dataclasses

import pytest

from waxwinglift.process import Address
from waxwinglift.process import Location
from waxwinglift.version import _entries as entries
from waxwinglift.version._announcements import Announcement
from waxwinglift.version._announcements import AnnouncementTable
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._control_settings import AnnouncementSettings
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import EndpointState
from waxwinglift.version.tests.test_desired import plan_and_apply
from waxwinglift.version.tests.test_desired import pool
from waxwinglift.version.tests.test_desired import request

BASE = Announcement(
    endpoint="s1",
    group="g",
    address=Address("10.0.0.1", 8000),
    location=Location("ub-a", "ub"),
    slots_count=3,
    connection_limit_count=0,
    group_size_count=0,
    term=0,
    in_recovery=False,
    started_ms=1000,
    sequence=5,
)


class Table:
    """Announcement table whose proposed entries are committed at once."""

    def __init__(self, is_declared=True):
        self.fleet = FleetState()
        if is_declared:
            plan_and_apply(self.fleet, request(1, pool("a")))
        self.table = AnnouncementTable(AnnouncementSettings())
        self.now_ms = 0.0

    def announce(self, **changes):
        self.now_ms += 1000
        announcement = dataclasses.replace(BASE, **changes)
        found = self.table.announce(announcement, self.fleet, self.now_ms)
        for entry in found:
            apply_entry(self.fleet, self.fleet.index + 1, entry)
        return found

    def expire(self):
        found = self.table.expire(self.fleet, self.now_ms)
        for entry in found:
            apply_entry(self.fleet, self.fleet.index + 1, entry)


@pytest.mark.parametrize(
    "late",
    [
        {"sequence": 4, "slots_count": 9},
        {"started_ms": 900, "sequence": 99, "slots_count": 9},
        {"sequence": 4, "is_leaving": True},
        {"started_ms": 900, "sequence": 99, "is_gone": True},
        {"endpoint": "s0", "started_ms": 900, "sequence": 1},
    ],
    ids=[
        "overtaken",
        "earlier start",
        "overtaken leave",
        "earlier start's end",
        "predecessor at the address",
    ],
)
def test_late_announcements_change_nothing(late):
    # An announcement that the network delayed must not undo a newer one.
    table = Table()
    table.announce()
    assert table.announce(**late) == []
    assert set(table.fleet.endpoints) == {"s1"}
    assert table.fleet.endpoints["s1"].slots_count == 3


def test_a_later_server_at_the_same_address_replaces_the_earlier_one():
    # Requests for the old endpoint must not be sent to the new server.
    table = Table()
    table.announce()
    found = table.announce(endpoint="s2", started_ms=2000, in_recovery=True)
    assert entries.EndpointRemoved("s1") in found


def test_a_server_starts_again_under_its_name():
    # Its sequence restarts; if start times were not compared first, its
    # announcements would seem outdated.
    table = Table()
    table.announce()
    table.announce(started_ms=5000, sequence=1, slots_count=2)
    assert table.fleet.endpoints["s1"].slots_count == 2


@pytest.mark.parametrize("started_ms", [0, 1000])
def test_a_departure_removes_a_replica(started_ms):
    # Otherwise a change of primary could wait for a server that has left.
    table = Table()
    table.announce()
    table.announce(
        endpoint="s2", address=Address("10.0.0.2", 1), in_recovery=True
    )
    table.announce(
        endpoint="s2", started_ms=started_ms, sequence=2**62, is_gone=True
    )
    assert set(table.fleet.endpoints) == {"s1"}


def test_a_departed_primary_is_kept_until_it_is_replaced():
    # The change of primary needs the state of the endpoint that it replaces.
    table = Table()
    table.announce()
    table.announce(sequence=6)
    assert table.fleet.groups["g"].primary == "s1"
    table.announce(started_ms=0, is_gone=True)
    assert table.fleet.endpoints["s1"].state is EndpointState.LOST


def test_a_server_of_an_undeclared_group_is_not_logged():
    # Any client may announce a server, but only operators declare groups.
    table = Table(is_declared=False)
    assert table.announce() == []
    plan_and_apply(table.fleet, request(1, pool("a")))
    assert table.announce(sequence=6) != []


_FAR = 2**63


@pytest.mark.parametrize(
    "odd",
    [
        {"started_ms": _FAR},
        {"sequence": _FAR},
        {"endpoint": "s2", "started_ms": _FAR, "in_recovery": True},
        {"started_ms": _FAR, "is_gone": True},
    ],
    ids=["start", "sequence", "start at the same address", "departure"],
)
@pytest.mark.parametrize("is_leader_new", [False, True])
def test_an_announcement_from_the_future_is_forgotten(odd, is_leader_new):
    # Another writer's announcement with a start or a sequence far above the
    # server's own makes those of the server look outdated.  The server must
    # come back once nothing has confirmed that announcement for a while.
    table = Table()
    table.announce()
    table.announce(**odd)
    if is_leader_new:
        table.table.start_leadership(table.fleet, table.now_ms)
    for sequence in range(6, 12):
        table.expire()
        table.announce(sequence=sequence)
    assert table.fleet.endpoints["s1"].state is EndpointState.JOINED
    assert table.fleet.endpoints["s1"].started_ms == BASE.started_ms


def test_a_departed_server_stays_removed_after_its_time_to_live():
    # A heartbeat that was delayed for longer than the time to live must not
    # bring back the primary that has left.
    table = Table()
    table.announce()
    table.announce(sequence=6)
    table.announce(sequence=2**62, is_gone=True)
    for sequence in range(7, 12):
        table.expire()
        table.announce(sequence=sequence)
    assert table.fleet.endpoints["s1"].state is EndpointState.LOST


def test_an_earlier_departure_does_not_remove_a_lost_server():
    # The later start of the server may only be out of reach, and its log is
    # needed in a change of primary.
    table = Table()
    table.announce()
    table.announce(
        endpoint="s2", address=Address("10.0.0.2", 1), in_recovery=True
    )
    table.now_ms += 5000
    table.expire()
    assert table.fleet.endpoints["s2"].state is EndpointState.LOST
    found = table.announce(endpoint="s2", started_ms=900, is_gone=True)
    assert found == []


@pytest.mark.parametrize(
    "late",
    [{"sequence": 4}, {"started_ms": 900, "sequence": 99}],
    ids=["overtaken", "earlier start"],
)
def test_one_late_announcement_does_not_bring_back_a_lost_server(late):
    # The network may deliver it long after its sender has crashed; requests
    # would be sent there until it expires again.
    table = Table()
    table.announce()
    table.now_ms += 5000
    table.expire()
    assert table.announce(**late) == []
    assert table.fleet.endpoints["s1"].state is EndpointState.LOST


_REPLICA = {
    "endpoint": "s2",
    "address": Address("10.0.0.2", 1),
    "in_recovery": True,
}


@pytest.mark.parametrize("started_ms", [0, 1000])
@pytest.mark.parametrize("leaders_count", [0, 1, 3])
def test_new_leader_does_not_bring_back_a_departed_server(
    leaders_count, started_ms
):
    # A heartbeat that a partition has delayed may reach a control daemon that
    # has become the leader since; requests would be sent to nobody.
    table = Table()
    table.announce()
    table.announce(**_REPLICA)
    table.announce(
        **_REPLICA | {"started_ms": started_ms, "sequence": 9, "is_gone": True}
    )
    for _ in range(leaders_count):
        table.fleet = decode_fleet(encode_fleet(table.fleet))
        table.table = AnnouncementTable(AnnouncementSettings())
        table.table.start_leadership(table.fleet, table.now_ms)
    for sequence in range(6, 9):
        table.expire()
        assert table.announce(**_REPLICA, sequence=sequence) == []
    assert set(table.fleet.endpoints) == {"s1"}
    # A new start of the server is another matter.
    table.announce(**_REPLICA | {"started_ms": 7000, "sequence": 1})
    assert set(table.fleet.endpoints) == {"s1", "s2"}
    assert not table.fleet.departed


def test_departure_that_was_not_the_servers_own_does_not_last():
    # Any client can send one; the server must not be shut out for ever.
    table = Table()
    table.announce()
    table.announce(**_REPLICA)
    table.announce(**_REPLICA | {"started_ms": 0, "is_gone": True})
    for sequence in range(6, 40):
        table.expire()
        table.announce(**_REPLICA, sequence=sequence)
    assert set(table.fleet.endpoints) == {"s1", "s2"}
