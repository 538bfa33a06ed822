"""Tests that the proxies' shares of a server's connections add up."""

import asyncio
import collections
import math

import pytest

from waxwinglift.connection._protocol_registry import ENDPOINT_PROTOCOLS
from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._connection_budget import ConnectionBudget
from waxwinglift.process._connection_budget import ConnectionRole
from waxwinglift.process._connection_budget import FormerOwner
from waxwinglift.process._connection_budget import LOST_CONNECTION_MS
from waxwinglift.process._connection_budget import SETTLING_MS
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._owner_set import OwnerSet
from waxwinglift.process._statement_owner import StatementOwner
from waxwinglift.request.tests import virtual_endpoint
from waxwinglift.request.tests.virtual_endpoint import ENDPOINT
from waxwinglift.version import Epoch
from waxwinglift.version import OwnerAssignment
from waxwinglift.version._connection_shares import divide_connections
from waxwinglift.version._connection_shares import find_temporary_owners
from waxwinglift.version._connection_shares import PROBE_COUNT
from waxwinglift.version._connection_shares import RESERVED_COUNT
from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._fleet import Daemon
from waxwinglift.version._types import Consistency
from waxwinglift.version._types import DaemonState

_OWNER, _STANDBY = ConnectionRole.OWNER, ConnectionRole.STANDBY
_NONE = ConnectionRole.NONE
_ABSENT, _NAMED = FormerOwner.ABSENT, FormerOwner.NAMED
_RELEASED, _LOST = FormerOwner.RELEASED, FormerOwner.LOST
_LONG_MS = 2 * SETTLING_MS
_POLICY = PoolPolicy(Consistency.PRIMARY, 0, 800, 400)


@pytest.mark.parametrize("limit_count", [9, 23, 56, 78, 200])
def test_shares_of_all_roles_add_up_to_the_limit(limit_count):
    # A server resets connections beyond its limit.
    shares = divide_connections(limit_count)
    temporary_count = shares.temporary_count * shares.temporary_owners_count
    total = (
        shares.owner_count
        + shares.transition_count
        + shares.standby_count
        + temporary_count
        + PROBE_COUNT
    )
    assert total + RESERVED_COUNT == limit_count


# Role, time, age of the state, and what is known of the former owner.
@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([(_OWNER, 0, 0, _ABSENT)], "owner"),
        ([(_OWNER, 0, 0, _LOST)], "transition"),
        ([(_OWNER, 0, 0, _LOST), (_OWNER, 5999, 0, _LOST)], "transition"),
        ([(_OWNER, 0, 0, _LOST), (_OWNER, 6000, 0, _LOST)], "half"),
        ([(_OWNER, 0, 0, _LOST), (_OWNER, 22_999, 0, _LOST)], "half"),
        ([(_OWNER, 0, 0, _LOST), (_OWNER, 23_000, 0, _LOST)], "owner"),
        (
            [(_OWNER, 0, 0, _NAMED), (_OWNER, _LONG_MS, 0, _NAMED)],
            "transition",
        ),
        (
            [
                (_OWNER, 0, 0, _NAMED),
                (_OWNER, _LONG_MS, 0, _NAMED),
                (_OWNER, _LONG_MS + 2999, 0, _RELEASED),
            ],
            "transition",
        ),
        (
            [
                (_OWNER, 0, 0, _NAMED),
                (_OWNER, _LONG_MS, 0, _NAMED),
                (_OWNER, _LONG_MS + 3000, 0, _RELEASED),
            ],
            "owner",
        ),
        (
            [
                (_OWNER, 0, 0, _NAMED),
                (_OWNER, _LONG_MS, 0, _NAMED),
                (_OWNER, _LONG_MS + 6000, 0, _LOST),
            ],
            "half",
        ),
        ([(_OWNER, 0, 0, _ABSENT), (_OWNER, 1, 3001, _ABSENT)], "half"),
        ([(_OWNER, 0, 0, _ABSENT), (_OWNER, 1, 20_000, _ABSENT)], "half"),
        (
            [(_OWNER, 0, 0, _ABSENT), (_OWNER, 1, 20_001, _ABSENT)],
            "transition",
        ),
        # The server may count connections that were closed for 3 s more.
        (
            [
                (_OWNER, 0, 0, _ABSENT),
                (_OWNER, 1, 3001, _ABSENT),
                (_OWNER, 3000, 0, _ABSENT),
            ],
            "half",
        ),
        (
            [
                (_OWNER, 0, 0, _ABSENT),
                (_OWNER, 1, 3001, _ABSENT),
                (_OWNER, 3001, 0, _ABSENT),
            ],
            "owner",
        ),
        (
            [
                (_OWNER, 0, 0, _ABSENT),
                (_OWNER, 1, 20_001, _ABSENT),
                (_OWNER, 3000, 0, _ABSENT),
            ],
            "transition",
        ),
        # An owner without contact does not take more than its phase allows.
        (
            [(_OWNER, 0, 0, _LOST), (_OWNER, 5000, 5000, _LOST)],
            "transition",
        ),
        # A process that starts has closed nothing.
        (
            [(_OWNER, 0, math.inf, _ABSENT), (_OWNER, 1, 0, _ABSENT)],
            "owner",
        ),
        ([(_STANDBY, 0, 0, _LOST)], "probe"),
        ([(_STANDBY, 0, 0, _LOST), (_STANDBY, _LONG_MS, 0, _LOST)], "standby"),
        (
            [(_STANDBY, 0, 0, _RELEASED), (_STANDBY, 5999, 0, _RELEASED)],
            "probe",
        ),
        ([(_STANDBY, 0, 0, _ABSENT), (_STANDBY, 1, 3001, _ABSENT)], "probe"),
        (
            [
                (_STANDBY, 0, 0, _LOST),
                (_STANDBY, _LONG_MS, 0, _LOST),
                (_OWNER, _LONG_MS + 1, 0, _LOST),
            ],
            "promoted",
        ),
        (
            [
                (_STANDBY, 0, 0, _LOST),
                (_STANDBY, _LONG_MS, 0, _LOST),
                (_STANDBY, _LONG_MS + 1, 3001, _LOST),
                (_OWNER, _LONG_MS + 2, 0, _LOST),
            ],
            "transition",
        ),
        ([(_STANDBY, 0, 0, _LOST), (_OWNER, 1, 0, _LOST)], "transition"),
        (
            [
                (_OWNER, 0, 0, _LOST),
                (_OWNER, _LONG_MS, 0, _LOST),
                (_NONE, _LONG_MS + 1, 0, _LOST),
            ],
            "none",
        ),
    ],
)
def test_share_grows_only_when_others_have_reduced_theirs(steps, expected):
    # An owner and a former one that does not know of it must fit together.
    shares = divide_connections(56)
    counts = {
        "owner": shares.owner_count,
        "half": shares.half_count,
        "transition": shares.transition_count,
        "standby": shares.standby_count,
        "promoted": shares.standby_count + shares.transition_count,
        "probe": PROBE_COUNT,
        "none": 0,
    }
    budget = ConnectionBudget()
    for role, now_ms, age_ms, former_owner in steps:
        budget.update(
            role, now_ms, view_age_ms=age_ms, former_owner=former_owner
        )
    assert budget.limit_count(shares, steps[-1][1]) == counts[expected]


@pytest.mark.parametrize(
    ("has_missed_changes", "expected"),
    [(False, "owner"), (True, "transition")],
)
def test_owner_that_may_have_been_replaced_settles_again(
    has_missed_changes, expected
):
    # Another proxy may have become the owner and have lost contact since.
    shares = divide_connections(56)
    budget = ConnectionBudget()
    budget.update(_OWNER, 0.0, former_owner=_ABSENT)
    budget.update(_OWNER, 9000.0, view_age_ms=9000, former_owner=_ABSENT)
    budget.update(
        _OWNER,
        9100.0,
        former_owner=_LOST if has_missed_changes else _ABSENT,
        has_missed_changes=has_missed_changes,
    )
    budget.update(_OWNER, 12_000.0, former_owner=_LOST)
    counts = {
        "owner": shares.owner_count,
        "transition": shares.transition_count,
    }
    assert budget.limit_count(shares, 12_000.0) == counts[expected]


@pytest.mark.parametrize("limit_count", [9, 23, 56, 78, 200])
@pytest.mark.parametrize("was_standby", [False, True])
@pytest.mark.parametrize("named_ms", [0, 2000, 10_000, 60_000])
@pytest.mark.parametrize("returns_ms", [4000, 8000, 24_000, None])
def test_isolated_owner_and_its_successor_stay_within_the_limit(
    limit_count, was_standby, named_ms, returns_ms
):
    # Each moment after an owner lost contact with control: the successor may
    # name it for some time, a new standby owner settles, and the former owner
    # may learn of the change.  Connections count for 3 s after their end.
    shares = divide_connections(limit_count)
    former, successor = ConnectionBudget(), ConnectionBudget()
    standby = ConnectionBudget()
    former.update(_OWNER, -_LONG_MS, former_owner=_ABSENT)
    if was_standby:
        successor.update(_STANDBY, -_LONG_MS, former_owner=_ABSENT)
        successor.update(_STANDBY, 0.0, former_owner=_ABSENT)
    highest = collections.deque()
    for now_ms in range(0, 70_000, 100):
        known = _NAMED if now_ms < named_ms else _LOST
        has_returned = returns_ms is not None and now_ms >= returns_ms
        former.update(
            _NONE if has_returned else _OWNER,
            now_ms,
            view_age_ms=0 if has_returned else now_ms,
            former_owner=_ABSENT,
        )
        successor.update(_OWNER, now_ms, former_owner=known)
        standby.update(_STANDBY, now_ms, former_owner=known)
        count = former.limit_count(shares, now_ms)
        highest.append((now_ms, count))
        while highest[0][0] <= now_ms - LOST_CONNECTION_MS:
            highest.popleft()
        total = (
            max(count for _, count in highest)
            + successor.limit_count(shares, now_ms)
            + standby.limit_count(shares, now_ms)
            + shares.temporary_count * shares.temporary_owners_count
        )
        assert total <= limit_count - RESERVED_COUNT, now_ms
    assert successor.limit_count(shares, now_ms) == (
        shares.owner_count if named_ms < 40_000 else shares.half_count
    )


def test_refused_connection_lowers_the_share_for_some_seconds():
    # The server may have connections that this proxy does not know of.
    shares = divide_connections(56)
    budget = ConnectionBudget()
    budget.update(_OWNER, 0.0, former_owner=_ABSENT)
    budget.record_full(5, 10.0)
    limits = [budget.limit_count(shares, now_ms) for now_ms in (11, 3009)]
    assert limits == [5, 5]
    assert budget.limit_count(shares, 3011.0) == shares.owner_count


def _add_daemons(state, count):
    for number in range(count):
        name = DaemonId(f"proxy-{number}")
        location = Location(
            DataCentre(f"d{number % 6}"), Region(f"r{number % 3}")
        )
        state.daemons[name] = Daemon(
            name, Address("127.0.0.1", 1), location, DaemonState.ACTIVE
        )


@pytest.fixture
def _virtual_protocol():
    """Register a protocol whose connections are those of ``server``."""

    class _Protocol:
        owner_class = StatementOwner
        server = None

        @classmethod
        def attach(cls, owner, find_executor):
            owner.attach(cls.server.open, find_executor)

    ENDPOINT_PROTOCOLS["virtual"] = _Protocol
    yield _Protocol
    del ENDPOINT_PROTOCOLS["virtual"]


@pytest.mark.parametrize("daemons_count", [4, 106, 448])
def test_proxies_without_contact_to_owners_stay_within_the_limit(
    daemons_count, _virtual_protocol
):
    # Load: each proxy gets one write, at the same time, for an endpoint with
    # 56 connections whose owners no proxy can reach.
    async def play():
        server = virtual_endpoint.VirtualServer(4, 56)
        _virtual_protocol.server = server
        state = virtual_endpoint.make_state(server, {"pool": _POLICY})
        _add_daemons(state, daemons_count)
        state.owners[ENDPOINT] = OwnerAssignment(
            ENDPOINT, DaemonId("lost-1"), DaemonId("lost-2"), Epoch(3)
        )
        settings = OwnerSettings(
            protocol="virtual", connection_division="shares"
        )
        owner_sets = {}
        for name in state.daemons:
            view = FleetView(
                name, virtual_endpoint.LOCATION, lambda: True, state
            )
            owner_sets[name] = OwnerSet(
                settings, view, now_ms=virtual_endpoint.now_ms
            )
            owner_sets[name].start()
        for number in range(daemons_count):
            server.work_ms[b"%d" % number] = None, 5.0
        outcomes = await asyncio.gather(
            *(
                virtual_endpoint.run_write(
                    owner_set,
                    b"%d" % number,
                    None,
                    _POLICY,
                    to_standby=True,
                )
                for number, owner_set in enumerate(owner_sets.values())
            )
        )
        served = {
            name
            for name, (failure, _) in zip(owner_sets, outcomes, strict=True)
            if failure is None
        }
        chosen = find_temporary_owners(state, state.endpoints[ENDPOINT])
        for owner_set in owner_sets.values():
            await owner_set.stop()
        return server, served, set(chosen)

    server, served, chosen = virtual_endpoint.run_in_virtual_time(play())
    assert server.refusals_count == 0
    assert server.openings_count <= 8
    assert served == chosen
