"""Tests of the limits of an owner while its share of connections changes."""

import asyncio

import pytest

from waxwinglift.request._admission_types import Ticket
from waxwinglift.request.tests import virtual_endpoint
from waxwinglift.request.tests.virtual_endpoint import now_ms
from waxwinglift.version import PoolName
from waxwinglift.version._connection_shares import divide_connections
from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._rank_rows import rank_name
from waxwinglift.version._types import Consistency

_POLICIES = {
    name: PoolPolicy(Consistency.PRIMARY, index, 3000, 3000)
    for index, name in enumerate(("decision", "ledger"))
}
_SETTINGS = {"pool": {"keeps_surplus": True}}
_OFFERED_COUNT = 60
_RESERVED_FOR_URGENT_COUNT = 2


async def _enter_blocks(owner, urgency_index):
    """Offer more blocks than fit; return the places and the refusals."""
    tickets = [
        Ticket(
            owner.next_request(),
            PoolName(""),
            rank_name(urgency_index),
            "caller",
            now_ms(),
            now_ms() + 500.0,
            is_block=True,
        )
        for _ in range(_OFFERED_COUNT)
    ]
    tasks = [asyncio.ensure_future(owner.blocks.enter(t)) for t in tickets]
    await asyncio.sleep(0.01)
    placed = [
        ticket
        for ticket, task in zip(tickets, tasks, strict=True)
        if task.done() and task.result() is None
    ]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return placed


@pytest.mark.parametrize("urgency_index", [0, 1])
@pytest.mark.parametrize(
    "course",
    [
        # Ages of the state, each for 3.5 s, and the share at the end.
        [(0, "owner_count")],
        [(0, "owner_count"), (6600, "half_count")],
        [(0, "owner_count"), (21_000, "transition_count")],
        [(0, "owner_count"), (6600, "half_count"), (0, "owner_count")],
        [(6600, "half_count"), (21_000, "transition_count")],
        [(21_000, "transition_count"), (0, "owner_count")],
    ],
)
@pytest.mark.parametrize("has_fleet_changes", [False, True])
def test_blocks_of_each_rank_follow_the_share(
    urgency_index, course, has_fleet_changes
):
    # Load: blocks whose callers pause while control has no leader.  The limit
    # of the ranks that are not urgent was that of the last fleet change.
    async def play():
        server = virtual_endpoint.VirtualServer(4, 78)
        state = virtual_endpoint.make_state(server, _POLICIES)
        shares = divide_connections(78)
        async with virtual_endpoint.running_owner(
            server, state, _SETTINGS
        ) as owner:
            for age_ms, share in course:
                owner.view.age_ms = lambda age_ms=age_ms: age_ms
                await asyncio.sleep(0.1)
                if has_fleet_changes:
                    owner.on_fleet_change()
                await asyncio.sleep(3.4)
                placed = await _enter_blocks(owner, urgency_index)
                share_count = getattr(shares, share)
                # Up to half of them are for statements outside of blocks.
                slots_count = owner.slots.queue.slots_count
                expected_count = share_count - min(
                    slots_count, share_count // 2
                )
                if urgency_index > 0:
                    expected_count -= _RESERVED_FOR_URGENT_COUNT
                assert len(placed) == expected_count
                for ticket in placed:
                    owner.blocks.leave(ticket, None)

    virtual_endpoint.run_in_virtual_time(play())


@pytest.mark.parametrize("age_ms", [6600, 21_000])
def test_open_blocks_keep_their_places_when_the_share_falls(age_ms):
    # A block whose caller pauses would lose the work that it has done.
    async def play():
        server = virtual_endpoint.VirtualServer(4, 78)
        state = virtual_endpoint.make_state(server, _POLICIES)
        async with virtual_endpoint.running_owner(
            server, state, _SETTINGS
        ) as owner:
            placed = await _enter_blocks(owner, 0)
            held = [
                await owner.connections.acquire(ticket.request, 1000.0)
                for ticket in placed
            ]
            owner.view.age_ms = lambda: age_ms
            await asyncio.sleep(5.0)
            assert all(connection.is_usable for _, connection in held)
            assert owner.blocks.queue.running_count == len(placed)
            assert not await _enter_blocks(owner, 0)
            # Others may enter as soon as the blocks fit the share again.
            limit_count = owner.blocks.queue.slots_count
            assert limit_count < len(placed)
            for ticket in placed[limit_count - 1 :]:
                owner.blocks.leave(ticket, None)
            assert len(await _enter_blocks(owner, 0)) == 1

    virtual_endpoint.run_in_virtual_time(play())


def test_lowered_share_is_reported_once(caplog):
    # Operators see why an owner uses fewer connections than it may.
    async def play():
        server = virtual_endpoint.VirtualServer(4, 78)
        state = virtual_endpoint.make_state(server, _POLICIES)
        async with virtual_endpoint.running_owner(
            server, state, _SETTINGS
        ) as owner:
            for age_ms in (0, 6600, 21_000, 0, 0):
                owner.view.age_ms = lambda age_ms=age_ms: age_ms
                await asyncio.sleep(2.0)

    virtual_endpoint.run_in_virtual_time(play())
    reported = [r for r in caplog.records if "too old" in r.message]
    assert [r.share_count for r in reported] == [26]
