"""Tests of what a proxy knows of an endpoint's former owner."""

import pytest

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._connection_budget import FormerOwner
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._owner_succession import OwnerSuccession
from waxwinglift.version import EndpointId
from waxwinglift.version import Epoch
from waxwinglift.version import FleetState
from waxwinglift.version import LogIndex
from waxwinglift.version import OwnerAssignment
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._entries import DaemonJoined
from waxwinglift.version._entries import DaemonLeft

_ENDPOINT = EndpointId("s1")
_LOCATION = Location(DataCentre("d1"), Region("r1"))
_FORMER = DaemonId("b")
_LEAVES = DaemonLeft(_FORMER)
_JOINS = DaemonJoined(_FORMER, Address("127.0.0.1", 1), _LOCATION)


def _assign(owner, standby, epoch, previous=None):
    return OwnerAssignment(_ENDPOINT, owner, standby, Epoch(epoch), previous)


_NAMED = _assign("a", "c", 5, _FORMER)
_UNNAMED = _assign("a", "c", 6)


# Assignments and entries of proxies; the proxy looks after each inner list.
@pytest.mark.parametrize(
    ("batches", "expected", "has_missed_changes"),
    [
        ([[_assign("a", "c", 1)]], FormerOwner.ABSENT, False),
        # A new standby owner has a predecessor.
        (
            [[_assign("a", "c", 1)], [_assign("a", "d", 2)]],
            FormerOwner.LOST,
            False,
        ),
        ([[_assign("a", "c", 5)]], FormerOwner.LOST, False),
        (
            [[_assign("b", "a", 4)], [_assign("a", "c", 5)]],
            FormerOwner.LOST,
            False,
        ),
        ([[_NAMED]], FormerOwner.NAMED, False),
        ([[_NAMED], [_UNNAMED]], FormerOwner.RELEASED, False),
        # What is known is kept when the standby owner changes later.
        (
            [[_NAMED], [_UNNAMED], [_assign("a", "d", 7)]],
            FormerOwner.RELEASED,
            False,
        ),
        ([[_NAMED], [_LEAVES, _UNNAMED]], FormerOwner.LOST, False),
        ([[_NAMED], [_LEAVES], [_UNNAMED]], FormerOwner.LOST, False),
        # Its lease ran out, and it joined again at once.
        ([[_NAMED], [_LEAVES, _UNNAMED, _JOINS]], FormerOwner.LOST, False),
        ([[_NAMED], [_LEAVES, _JOINS, _UNNAMED]], FormerOwner.LOST, False),
        # The proxy has not seen why the name was removed.
        ([[_NAMED, _UNNAMED]], FormerOwner.LOST, False),
        ([[_NAMED], [_assign("a", "c", 7)]], FormerOwner.LOST, True),
        ([[_assign("a", "c", 5)], [_assign("a", "c", 7)]], None, True),
    ],
)
def test_former_owner_counts_as_released_only_if_it_must_have(
    batches, expected, has_missed_changes
):
    # The successor of one that has not released the endpoint takes its full
    # share later, since the former owner may still use its own.
    state = FleetState(index=LogIndex(0))
    state.owners[_ENDPOINT] = None
    assert apply_entry(state, LogIndex(1), _JOINS).is_ok()
    view = FleetView(DaemonId("a"), _LOCATION, lambda: True, state)
    succession = OwnerSuccession()
    for batch in batches:
        for one in batch:
            if isinstance(one, OwnerAssignment):
                state.owners[_ENDPOINT] = one
            else:
                index = LogIndex(state.index + 1)
                assert apply_entry(state, index, one).is_ok()
        succession.update(view, _ENDPOINT)
    assert succession.former_owner is (expected or FormerOwner.LOST)
    assert succession.has_missed_changes is has_missed_changes
    succession.update(view, _ENDPOINT)
    assert not succession.has_missed_changes
