"""Tests statements that the queues of endpoints refuse."""

import asyncio

import pytest

from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run

_BY_LOAD = {"routing": {"server_policy": "load"}}
_RETRY_AFTER_MS = 900


def run(scenario, full, entry=_BY_LOAD):
    """Run a scenario with two proxies while the queues in ``full`` refuse."""

    async def work():
        async with asyncio.timeout(15):
            async with running_statement_fleet(
                proxy_count=2, entry=entry
            ) as fleet:
                counts = {name: _fill(fleet, name) for name in full}
                result = await scenario(fleet)
                return result, sum(len(offers) for offers in counts.values())

    return asyncio.run(work())


def _fill(fleet, name):
    """Make an endpoint's queues refuse all; return the refused tickets."""
    owner = fleet.proxies[-1].owners.owner(name)
    offers = []
    failure = not_run(FailureCode.REJECTED, "full", _RETRY_AFTER_MS)

    async def enter(ticket):
        offers.append(ticket)
        return failure

    owner.slots.enter = owner.blocks.enter = enter
    return offers


async def _ask(fleet, pool, statement, count):
    async with fleet.connected(pool) as caller:
        return [await caller.query(statement) for _ in range(count)]


@pytest.mark.parametrize(
    "pool, statement, full",
    [
        ("refill", "WRITE 1a4 coal", ("s1",)),
        ("pay", "READ 1a4", ("s1",)),
        ("look", "READ 1a4", ("s1", "s2", "s3")),
    ],
)
def test_full_queue_is_asked_once_until_the_advised_time(
    pool, statement, full
):
    """Repeated requests use up the processor time of a full owner.

    Each one was sent again after 5 ms, and so were all that came later.
    """

    async def scenario(fleet):
        return await _ask(fleet, pool, statement, 6)

    answers, asked_count = run(scenario, full)
    errors = [answer.error for answer in answers]
    assert asked_count == len(full)
    assert all(error.startswith(b"BUSY ") for error in errors)
    assert all(b"retry after" in error for error in errors)


def test_refused_block_keeps_back_blocks_only():
    """Blocks wait for connections, which single statements do not need."""

    async def scenario(fleet):
        async with fleet.connected("refill") as caller:
            for _ in range(3):
                await caller.query("BEGIN")
                await caller.query("WRITE 1a4 coal")
            await caller.query("WRITE 1a4 coal")

    assert run(scenario, ("s1",))[1] == 2


@pytest.mark.parametrize("full", [("s1",), ("s1", "s2"), ("s3",)])
def test_read_goes_to_an_endpoint_with_room(full):
    """A read must not be refused while another endpoint can serve it."""

    async def scenario(fleet):
        return await _ask(fleet, "look", "READ 1a4", 12)

    answers, asked_count = run(scenario, full)
    assert [answer.error for answer in answers] == [b""] * 12
    assert asked_count <= len(full)


def test_more_urgent_rank_is_still_sent():
    """The refusal of one rank must not keep back a more urgent one."""

    async def scenario(fleet):
        await _ask(fleet, "refill", "WRITE 1a4 coal", 2)
        await _ask(fleet, "pay", "WRITE 1a4 coal", 1)

    assert run(scenario, ("s1",))[1] == 2
