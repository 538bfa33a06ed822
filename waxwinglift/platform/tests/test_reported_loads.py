"""Tests that proxies tell each other the load and lag of endpoints."""

import asyncio

import pytest

from waxwinglift.platform.tests import statement_fleet
from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.process import DaemonId
from waxwinglift.request._queue_load import QueueLoad
from waxwinglift.version import OwnerAssignment
from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._types import Consistency
from waxwinglift_standin.platform import ServerSettings

_BY_LOAD = {"routing": {"server_policy": "load"}}
_OWNERS = {"s1": "proxy-2", "s2": "proxy-3", "s3": "proxy-2"}
_LOOK = PoolPolicy(Consistency.BOUNDED_STALENESS, 1, 800, 600, 700, 2)


def run(scenario, monkeypatch):
    """Run a scenario with an entry proxy and two owners."""
    monkeypatch.setitem(statement_fleet.POOLS, "look", _LOOK)

    async def work():
        async with asyncio.timeout(20):
            async with running_statement_fleet(
                proxy_count=3, entry=_BY_LOAD
            ) as fleet:
                _assign(fleet)
                # Reads go to the replicas while these are faster.
                fleet.server("s1").settings = ServerSettings(work_ms=40.0)
                return await scenario(fleet)

    return asyncio.run(work())


def _assign(fleet):
    for name, daemon in _OWNERS.items():
        epoch = fleet.state.owners[name].epoch
        fleet.state.owners[name] = OwnerAssignment(
            name, DaemonId(daemon), None, epoch
        )
    for proxy in fleet.proxies:
        proxy.view.notify()


def _behind_count(fleet):
    counts = [proxy.metrics.counts for proxy in fleet.proxies]
    return sum(count.get("endpoint.behind", 0) for count in counts)


async def _read(caller, duration_s):
    """Read continuously; return the errors of the answers."""
    ends_s = asyncio.get_running_loop().time() + duration_s
    errors = set()
    while asyncio.get_running_loop().time() < ends_s:
        errors.add((await caller.query("READ 1a4")).error)
        await asyncio.sleep(0.01)
    return errors


def test_replica_that_is_behind_is_not_asked_until_it_has_caught_up(
    monkeypatch,
):
    """Each read was sent to a replica that refused it, for as long as 30 s.

    The replica has to serve reads again soon after it has caught up.
    """

    async def scenario(fleet):
        async with (
            fleet.connected("pay") as writer,
            fleet.connected("look") as reader,
        ):
            await _read(reader, 0.5)
            fleet.group.cut_off.update(("s2", "s3"))
            await writer.query("WRITE 1a4 coal")
            errors = await _read(reader, 2.5)
            refused_count = _behind_count(fleet)
            errors |= await _read(reader, 1.0)
            last_count = _behind_count(fleet)
            fleet.group.cut_off.clear()
            await asyncio.sleep(0.5)
            served = fleet.proxies[0].metrics.counts
            before_count = served.get("entry.served.replica", 0)
            errors |= await _read(reader, 0.5)
            after_count = served.get("entry.served.replica", 0)
            return (
                errors,
                refused_count,
                last_count,
                after_count - before_count,
            )

    errors, refused_count, last_count, replica_count = run(
        scenario, monkeypatch
    )
    assert errors == {b""}
    assert refused_count <= 6
    assert last_count - refused_count <= 1
    assert replica_count > 0


@pytest.mark.parametrize("takes_loads, is_reported", [(True, 1), (False, 0)])
def test_owners_report_only_to_proxies_that_take_it(
    monkeypatch, takes_loads, is_reported
):
    """A proxy of an older version closes the connection at such a frame."""

    async def scenario(fleet):
        _, first, second = fleet.proxies
        peer = first.peers.executor_for(DaemonId("proxy-3"))
        peer.takes_loads = takes_loads
        second.owners.loads.find_executor = lambda daemon: None
        owner = first.owners.owner("s1")
        owner.slots.queue.load = lambda: _full_load()
        await asyncio.sleep(0.5)
        found = second.owners.loads.book.find("s1", owner.now_ms())
        return found is not None and found.expected_wait_ms

    assert bool(run(scenario, monkeypatch)) is bool(is_reported)


def _full_load():
    return QueueLoad(3, 3, 9, 300.0)
