"""Tests what the probes of idle endpoints detect and what they cost."""

import asyncio
import dataclasses

import pytest

from waxwinglift.connection import HealthState
from waxwinglift.process.tests.data_path_fleet import is_up
from waxwinglift.process.tests.test_data_path import drop_sessions
from waxwinglift.process.tests.test_data_path import run
from waxwinglift.process.tests.test_data_path_states import primary_of


async def start_standby(proxies):
    """Make the first proxy the standby owner of every endpoint."""
    fleet = proxies[0].view.fleet
    for endpoint, assignment in list(fleet.owners.items()):
        fleet.owners[endpoint] = dataclasses.replace(
            assignment, standby=proxies[0].view.daemon
        )
    for proxy in proxies:
        proxy.view.notify()
    async with asyncio.timeout(5):
        while not all(is_up(proxy) for proxy in proxies):
            await asyncio.sleep(0.01)


async def wait_for_health(proxy, endpoint, state):
    async with asyncio.timeout(5):
        while proxy.owners.health()[endpoint] is not state:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("proxy_index", [0, 1], ids=["standby", "owner"])
@pytest.mark.parametrize("fault", ["freeze", "kill"])
def test_failed_idle_endpoint_is_reported_down(fault, proxy_index):
    # The standby owner probes less often, but must detect the failure as well:
    # control acts on the reports of both.
    async def scenario(servers, proxies):
        await start_standby(proxies)
        primary = primary_of(proxies)
        if fault == "kill":
            await servers[0].kill()
        else:
            servers[0].set_fault(fault, "on")
        await wait_for_health(proxies[proxy_index], primary, HealthState.DOWN)

    run(scenario, proxy_count=2)


@pytest.mark.parametrize("fault", ["silence", "drop_sessions"])
def test_broken_idle_connections_are_replaced(fault):
    # A request on a broken connection would end with may_have_run.
    async def scenario(servers, proxies):
        owner = proxies[0].owners.owner(primary_of(proxies))
        pool = owner.connections.pool
        async with asyncio.timeout(5):
            # 3 slots of a stand-in server and 2 spare connections.
            while pool.connection_count < 5 or not is_up(proxies[0]):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        before = set(owner.connections._connections)
        assert len(before) == 5
        if fault == "drop_sessions":
            drop_sessions(servers[0])
        else:
            servers[0].set_fault(fault, "on")
        async with asyncio.timeout(2):
            while before & set(owner.connections._connections):
                assert owner.health is not HealthState.DOWN
                await asyncio.sleep(0.01)

    run(scenario)


def test_only_the_owner_polls_positions():
    # A standby owner needs no positions, and polling them would cost as much
    # as its probes.
    async def scenario(servers, proxies):
        await start_standby(proxies)
        polls = {}
        for proxy_index, proxy in enumerate(proxies):
            monitor = proxy.owners.owner(primary_of(proxies)).monitor
            polls[proxy_index] = count_calls(monitor, "query")
        await asyncio.sleep(1.5)
        assert not polls[0]
        assert 1 <= len(polls[1]) <= 3

    run(scenario, proxy_count=2, owner={"replica_use_ms": 1})


def count_calls(target, name):
    """Return a list to which each call of a method is appended."""
    calls = []
    method = getattr(target, name)

    def count(*arguments):
        calls.append(arguments)
        return method(*arguments)

    setattr(target, name, count)
    return calls
