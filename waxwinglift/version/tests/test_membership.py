"""Tests of the planned membership changes of the control group."""

import pytest

from waxwinglift.process import Address
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._convert import join_location_from_wire
from waxwinglift.version import FleetState
from waxwinglift.version import LogIndex
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._consensus_messages import MemberRole
from waxwinglift.version._entries import MemberAdded
from waxwinglift.version._entries import MemberPromoted
from waxwinglift.version._entries import MemberRemoved
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version._membership import ControlGroupView
from waxwinglift.version._membership import JoinRequest
from waxwinglift.version._membership import MembershipPlanner
from waxwinglift.version._control_settings import MembershipSettings

REPLACE_AFTER_MS = MembershipSettings().replace_after_ms
FORGET_LEARNER_MS = MembershipSettings().forget_learner_ms


def address(number):
    return Address("10.0.0.1", 7000 + number)


def make_view(voters="abcde", learners="", unresponsive_ms=None, lagging=""):
    """Return a view; members a, b, ... have ports 7000, 7001, ..."""
    names = [*voters, *learners]
    return ControlGroupView(
        leader="a",
        members=[MemberRole(n, n in voters) for n in names],
        addresses={n: address(ord(n) - ord("a")) for n in names},
        time_since_answer_ms={
            n: (unresponsive_ms or {}).get(n, 0.0) for n in names[1:]
        },
        caught_up=frozenset(n for n in names if n not in lagging),
    )


def join(name, port_of=None):
    number = ord(port_of or name) - ord("a")
    return JoinRequest(name, address(number))


def test_added_member_has_its_location():
    """Proxies choose their relay by it."""
    location = Location(DataCentre("dc-1"), Region("region-1"))
    planner = MembershipPlanner(MembershipSettings())
    request = JoinRequest("b", address(1), location)
    planner.record_request(request, 0.0)
    entry = planner.plan(make_view("a"), 0.0)
    fleet = FleetState()
    assert apply_entry(fleet, LogIndex(1), entry).is_ok()
    restored = decode_fleet(encode_fleet(fleet))
    assert restored.members["b"].location == location


@pytest.mark.parametrize(
    ("location", "expected"),
    [
        ({"data_centre": "dc-1", "region": "r"}, Location("dc-1", "r")),
        # Sent by an older build.
        ({}, None),
    ],
)
def test_join_request_may_lack_a_location(location, expected):
    """Members of older builds must be able to join."""
    message = control_pb2.JoinRequest(member="b", **location)
    assert join_location_from_wire(message) == expected


def test_entry_of_an_older_build_has_no_location():
    """Logs of older builds must be read."""
    payload = (
        b'{"member":"b","address":{"host":"10.0.0.1","port":1},'
        b'"kind":"member_added"}'
    )
    assert decode_entry(payload).location is None


@pytest.mark.parametrize(
    ("known", "requests", "expected"),
    [
        (make_view("a"), [join("b")], MemberAdded("b", address(1))),
        (make_view("a", "b"), [join("b")], MemberPromoted("b")),
        (make_view("a", "b", lagging="b"), [], None),
        (make_view(), [], None),
        (make_view(), [join("f")], MemberAdded("f", address(5))),
        (make_view(learners="f"), [join("f")], None),
        (
            make_view(learners="f", unresponsive_ms={"c": REPLACE_AFTER_MS}),
            [],
            MemberRemoved("c"),
        ),
        (make_view(unresponsive_ms={"c": REPLACE_AFTER_MS}), [], None),
        (make_view("abde", "f"), [], MemberPromoted("f")),
        (
            make_view(
                learners="f",
                unresponsive_ms={"f": FORGET_LEARNER_MS},
                lagging="f",
            ),
            [],
            MemberRemoved("f"),
        ),
        (make_view(), [join("x", "c")], MemberRemoved("c")),
        (make_view("abde"), [join("x", "c")], MemberAdded("x", address(2))),
        (make_view("abcde", "fghi"), [join("x", "m")], None),
    ],
    ids=[
        "a new daemon starts as a learner",
        "a learner that has caught up votes while voters are missing",
        "one that has not caught up waits",
        "a group with all voters does not change",
        "a daemon beyond the number of voters becomes a learner",
        "a learner beyond the number of voters does not vote",
        "an unresponsive voter is removed if a learner can replace it",
        "an unresponsive voter stays while no learner can replace it",
        "after the removal the learner votes",
        "an unresponsive learner is removed",
        "a new disk at a voter's address replaces the voter",
        "and joins once the old name is removed",
        "no daemon joins while the number of members is at its limit",
    ],
)
def test_next_membership_change(known, requests, expected):
    # A wrong change could lose the majority, or count the vote of a member
    # that has lost its previous votes with its disk.
    planner = MembershipPlanner(MembershipSettings())
    for request in requests:
        planner.record_request(request, 0.0)
    assert planner.plan(known, 1.0) == expected


def test_old_requests_do_not_count():
    # A daemon that has left permanently must not become a member again.
    planner = MembershipPlanner(MembershipSettings())
    planner.record_request(join("f"), 0.0)
    assert planner.plan(make_view(), 60_000.0) is None


def test_two_lost_disks_are_replaced_one_by_one():
    # If both were removed at once, a majority of the remaining members might
    # not overlap a majority of the old ones.
    planner = MembershipPlanner(MembershipSettings())
    planner.record_request(join("x", "b"), 0.0)
    planner.record_request(join("y", "c"), 0.0)
    assert planner.plan(make_view(), 1.0) == MemberRemoved("b")
    assert planner.plan(make_view("acde"), 2.0) == MemberAdded("x", address(1))
