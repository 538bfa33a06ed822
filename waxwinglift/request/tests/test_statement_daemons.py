"""Tests which proxies an entry proxy asks to serve an endpoint."""

import types

import pytest

from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._owner_set import OwnerSet
from waxwinglift.request._statement_daemons import StatementDaemons
from waxwinglift.request.tests import virtual_endpoint
from waxwinglift.request.tests.virtual_endpoint import ENDPOINT
from waxwinglift.version._connection_shares import find_temporary_owners
from waxwinglift.version._fleet import Daemon
from waxwinglift.version._types import DaemonState

_OWNER, _STANDBY = DaemonId("proxy-0"), DaemonId("proxy-1")


def _make_state():
    server = types.SimpleNamespace(slots_count=4, connection_limit_count=56)
    state = virtual_endpoint.make_state(server, {})
    for number in range(106):
        name = DaemonId(f"proxy-{number}")
        region = f"r{number % 3}"
        location = Location(
            DataCentre(f"{region}-{number % 2}"), Region(region)
        )
        state.daemons[name] = Daemon(
            name, Address("127.0.0.1", 1), location, DaemonState.ACTIVE
        )
    return state


def _asked_daemons(state, daemon, unreachable, division="shares"):
    """Return the daemons that ``daemon`` asks; each does not serve."""
    view = FleetView(daemon, virtual_endpoint.LOCATION, lambda: True, state)
    settings = OwnerSettings(connection_division=division)
    executor = types.SimpleNamespace(is_unresponsive=False)
    context = types.SimpleNamespace(
        view=view,
        now_ms=lambda: 0.0,
        executors=types.SimpleNamespace(
            executor_for=lambda one: None if one in unreachable else executor,
            temporary_owners=OwnerSet(settings, view).temporary_owners,
        ),
        overload_backoff=types.SimpleNamespace(
            endpoint_left_ms=lambda *args: 0.0
        ),
    )
    policy = types.SimpleNamespace(urgency_index=0)
    session = types.SimpleNamespace(policy=policy)
    daemons = StatementDaemons(context, session)
    attempts = types.SimpleNamespace(unreachable=set())
    route = types.SimpleNamespace(
        endpoint=ENDPOINT, owner=_OWNER, standby=_STANDBY
    )
    asked = []
    while (chosen := daemons.choose(route, attempts)[0]) is not None:
        asked.append(chosen)
        attempts.unreachable.add((ENDPOINT, chosen))
    return asked


@pytest.mark.parametrize("is_temporary_owner", [False, True])
def test_proxies_ask_the_same_temporary_owners(is_temporary_owner):
    # Each proxy that served by itself would open connections, and hundreds
    # may lose contact with the owners at the same time.
    state = _make_state()
    chosen = find_temporary_owners(state, state.endpoints[ENDPOINT])
    assert len(chosen) == 4
    regions = [state.daemons[one].location.region for one in chosen]
    assert regions.count(virtual_endpoint.LOCATION.region) >= 2
    daemon = chosen[2] if is_temporary_owner else DaemonId("proxy-105")
    assert (daemon in chosen) == is_temporary_owner
    asked = _asked_daemons(state, daemon, {_OWNER, _STANDBY})
    assert set(asked) == set(chosen) - {_OWNER, _STANDBY}
    assert (asked[0] == daemon) == is_temporary_owner


def test_owner_and_standby_owner_are_asked_first():
    # They have most of the connections and the queue of the endpoint.
    asked = _asked_daemons(_make_state(), DaemonId("proxy-105"), set())
    assert asked[:2] == [_OWNER, _STANDBY]


def test_each_proxy_serves_by_itself_without_shares():
    # A fleet of few proxies would otherwise lose service in a partition.
    daemon = DaemonId("proxy-105")
    unreachable = {_OWNER, _STANDBY}
    asked = _asked_daemons(_make_state(), daemon, unreachable, "fixed")
    assert asked == [daemon]
