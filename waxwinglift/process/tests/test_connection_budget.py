"""Tests that the proxies' shares of a server's connections add up."""

import asyncio

import pytest

from waxwinglift.connection._protocol_registry import ENDPOINT_PROTOCOLS
from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._connection_budget import ConnectionBudget
from waxwinglift.process._connection_budget import ConnectionRole
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


# Role, time, age of the state, and whether a former owner is named.
@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([(_OWNER, 0, 0, False)], "transition"),
        ([(_OWNER, 0, 0, False), (_OWNER, _LONG_MS, 0, False)], "owner"),
        ([(_OWNER, 0, 0, False), (_OWNER, _LONG_MS, 0, True)], "transition"),
        (
            [
                (_OWNER, 0, 0, False),
                (_OWNER, _LONG_MS, 0, False),
                (_OWNER, _LONG_MS + 1, 3001, False),
            ],
            "transition",
        ),
        ([(_STANDBY, 0, 0, False)], "probe"),
        ([(_STANDBY, 0, 0, False), (_STANDBY, _LONG_MS, 0, False)], "standby"),
        (
            [
                (_STANDBY, 0, 0, False),
                (_STANDBY, _LONG_MS, 0, False),
                (_OWNER, _LONG_MS + 1, 0, False),
            ],
            "promoted",
        ),
        (
            [(_STANDBY, 0, 0, False), (_OWNER, 1, 0, False)],
            "transition",
        ),
        (
            [
                (_OWNER, 0, 0, False),
                (_OWNER, _LONG_MS, 0, False),
                (_NONE, _LONG_MS + 1, 0, False),
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
        "transition": shares.transition_count,
        "standby": shares.standby_count,
        "promoted": shares.standby_count + shares.transition_count,
        "probe": PROBE_COUNT,
        "none": 0,
    }
    budget = ConnectionBudget()
    for role, now_ms, age_ms, has_former_owner in steps:
        budget.update(
            role,
            now_ms,
            view_age_ms=age_ms,
            has_former_owner=has_former_owner,
        )
    assert budget.limit_count(shares, steps[-1][1]) == counts[expected]


def test_refused_connection_lowers_the_share_for_some_seconds():
    # The server may have connections that this proxy does not know of.
    shares = divide_connections(56)
    budget = ConnectionBudget()
    budget.update(_OWNER, 0.0, is_first=True)
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
        settings = OwnerSettings(protocol="virtual")
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
