"""Tests statements whose owners are short of processor time."""

import asyncio

import pytest

from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.process import DaemonId
from waxwinglift.version import OwnerAssignment

_OWNER, _STANDBY = 1, 2


def run(scenario):
    """Run a scenario with three proxies, within a time limit."""

    async def work():
        async with asyncio.timeout(15):
            async with running_statement_fleet(proxy_count=3) as fleet:
                _assign_standby(fleet)
                return await scenario(fleet)

    return asyncio.run(work())


def _assign_standby(fleet):
    """Make the second proxy owner and the third one standby owner."""
    owners = fleet.state.owners
    for endpoint, assignment in list(owners.items()):
        owners[endpoint] = OwnerAssignment(
            endpoint,
            DaemonId("proxy-2"),
            DaemonId("proxy-3"),
            assignment.epoch,
        )
    for proxy in fleet.proxies:
        proxy.view.notify()


def _overload(proxy):
    """Make a proxy refuse all but the most urgent rank."""
    shedder = proxy.owners.load_shedder
    shedder.observe_lag = lambda lag_ms: None
    shedder.refusal_ms = lambda index, floor_share: (
        None if index == 0 else 1000.0
    )


def _shed_count(proxy):
    counts = proxy.metrics.counts
    return sum(
        n for name, n in counts.items() if name.startswith("owner.shed")
    )


@pytest.mark.parametrize(
    "overloaded, pool, expected_code",
    [
        ((), "refill", b""),
        ((_OWNER,), "refill", b""),
        ((_OWNER, _STANDBY), "refill", b"BUSY"),
        ((_OWNER, _STANDBY), "look", b"BUSY"),
        ((_OWNER, _STANDBY), "pay", b""),
    ],
)
@pytest.mark.parametrize("statement", ["READ 1a4", "WRITE 1a4 coal"])
def test_standby_serves_for_an_overloaded_owner(
    overloaded, pool, expected_code, statement
):
    """Urgent work is served, the rest by the standby or refused at once."""

    async def scenario(fleet):
        for number in overloaded:
            _overload(fleet.proxies[number])
        async with fleet.connected(pool) as caller:
            answer = await caller.query(statement)
        return answer.error

    error = run(scenario)
    assert error.split(b" ")[0] == expected_code
    assert not expected_code or b"retry after" in error


def test_overloaded_owners_get_no_further_requests_of_the_rank():
    """Requests that owners refuse must not use up their processor time."""

    async def scenario(fleet):
        for number in (_OWNER, _STANDBY):
            _overload(fleet.proxies[number])
        async with fleet.connected("refill") as caller:
            await caller.query("WRITE 1a4 coal")
            first = sum(_shed_count(p) for p in fleet.proxies)
            for _ in range(10):
                await caller.query("WRITE 1a4 coal")
        return first, sum(_shed_count(p) for p in fleet.proxies)

    first, last = run(scenario)
    assert first == last == 2


@pytest.mark.parametrize("pool", ["pay", "refill"])
def test_owner_that_does_not_answer_gets_no_further_requests(pool):
    """An owner with full sockets cannot refuse; its silence must count.

    Without that, the entry proxies went on to send it all requests.
    """

    async def scenario(fleet):
        silent = fleet.proxies[_OWNER].owners
        opened = []
        silent.open = lambda header: opened.append(header) or _SilentStream()
        async with fleet.connected(pool) as caller:
            first = await caller.query("WRITE 1a4 coal")
            others = [await caller.query("WRITE 1a4 coal") for _ in range(3)]
        return first, others, len(opened)

    first, others, opened_count = run(scenario)
    assert first.error.split(b" ")[0] == b"INDOUBT"
    assert [answer.error for answer in others] == [b""] * 3
    assert opened_count == 1


def test_entry_serves_while_no_owner_can_be_reached():
    """Owners that cannot be reached must not count as overloaded.

    The statement was then refused although the entry proxy can serve it.
    """

    async def scenario(fleet):
        for number in (_OWNER, _STANDBY):
            fleet.proxies[number].peer_server.close()
        await asyncio.sleep(0.05)
        async with fleet.connected("pay") as caller:
            return await caller.query("WRITE 1a4 coal")

    assert run(scenario).error == b""


class _SilentStream:
    """Stream of an owner that does not answer."""

    async def run(self, exchange, sink):
        await asyncio.sleep(60)

    def cancel(self):
        """Do nothing."""

    async def close(self):
        """Do nothing."""
