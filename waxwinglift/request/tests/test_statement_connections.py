"""Tests of slots and connections where connections belong to workspaces.

The load is that of one endpoint with 4 slots and 78 connections, of which its
owner may use 38, for 83 workspaces with Zipf-like popularity (exponent 1.2).
Three routes have lognormal work of 6, 18 and 30 ms, 3% of it 7 times longer.
A burst of 2.5 times lasts from 3 s to 7 s.  Meanwhile, one workspace has 7
times its usual load.
"""

import asyncio
import dataclasses
import random

import pytest

from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request.tests import virtual_endpoint
from waxwinglift.request.tests.virtual_endpoint import now_ms
from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._types import Consistency

_SETTINGS = {
    "admission": {"wait_fraction": 0.5},
    "pool": {"keeps_surplus": True, "opening_limit_count": 2},
}
_WORKSPACES_COUNT = 83
_HOT_INDEX = 20


def _policy(index, timeout_ms):
    return PoolPolicy(
        Consistency.PRIMARY, index, timeout_ms, timeout_ms, is_public=False
    )


# Policy, mean work in ms and weight of each route.
_ROUTES = {
    "decision": (_policy(0, 800), 6.0, 54),
    "history": (_policy(1, 1600), 30.0, 95),
    "ledger": (_policy(2, 3000), 18.0, 255),
}
_POLICIES = {name: route[0] for name, route in _ROUTES.items()}
_POPULARITY = [1 / (k + 1) ** 1.2 for k in range(_WORKSPACES_COUNT)]
_BURST_POPULARITY = [
    weight * (7 if k == _HOT_INDEX else 1)
    for k, weight in enumerate(_POPULARITY)
]


@dataclasses.dataclass
class _Burst:
    """What was seen of the requests that arrived in the burst."""

    failures: list = dataclasses.field(default_factory=list)
    served_count: int = 0
    openings_count: int = 0
    slot_times_ms: list = dataclasses.field(default_factory=list)

    @property
    def mean_slot_ms(self):
        return sum(self.slot_times_ms) / len(self.slot_times_ms)


def _draw_work_ms(rng, mean_ms):
    work_ms = mean_ms * rng.lognormvariate(-0.245, 0.7) / 1.18
    return 7 * work_ms if rng.random() < 0.03 else work_ms


async def _play(seed, rate_per_s):
    """Play the load; return what was seen of its burst."""
    rng = random.Random(seed)
    burst = _Burst()
    server = virtual_endpoint.VirtualServer(4, 78)
    state = virtual_endpoint.make_state(server, _POLICIES)
    routes = list(_ROUTES.values())
    weights = [route[2] for route in routes]

    async def request(number, is_in_burst, popularity):
        policy, mean_ms, _ = rng.choices(routes, weights)[0]
        workspace = f"w{rng.choices(range(_WORKSPACES_COUNT), popularity)[0]}"
        key = b"%d" % number
        server.work_ms[key] = workspace, _draw_work_ms(rng, mean_ms)
        failure, _ = await virtual_endpoint.run_write(
            owner, key, workspace, policy
        )
        if is_in_burst and failure is None:
            burst.served_count += 1
        elif is_in_burst:
            burst.failures.append(failure)

    async with virtual_endpoint.running_owner(
        server, state, _SETTINGS
    ) as owner:
        leave = owner.slots.leave

        def record_leave(ticket, service_ms, work_ms=None):
            if service_ms and 3000 <= now_ms() < 7000:
                burst.slot_times_ms.append(service_ms)
            leave(ticket, service_ms, work_ms)

        owner.slots.leave = record_leave
        tasks = []
        openings_counts = []
        while now_ms() < 10_000:
            is_in_burst = 3000 <= now_ms() < 7000
            popularity = _BURST_POPULARITY if is_in_burst else _POPULARITY
            factor = sum(popularity) / sum(_POPULARITY)
            factor *= 2.5 if is_in_burst else 1.0
            await asyncio.sleep(rng.expovariate(rate_per_s * factor))
            if is_in_burst:
                openings_counts.append(server.openings_count)
            work = request(len(tasks), is_in_burst, popularity)
            tasks.append(asyncio.ensure_future(work))
        await asyncio.gather(*tasks)
        burst.openings_count = openings_counts[-1] - openings_counts[0]
    assert server.refusals_count == 0
    return burst


@pytest.mark.parametrize(
    ("seed", "rate_per_s", "min_served_count", "max_openings_count"),
    [(1, 80, 780, 150), (2, 80, 760, 160), (1, 100, 800, 150)],
)
def test_burst_is_served_at_the_pace_of_the_slots(
    seed, rate_per_s, min_served_count, max_openings_count
):
    # A slot that waits for a connection serves nobody, and each opening takes
    # 12 ms of a slot.  The mean statement takes 23 ms with its round trip.
    play = _play(seed, rate_per_s)
    burst = virtual_endpoint.run_in_virtual_time(play)
    assert all(f.verdict is Verdict.NOT_RUN for f in burst.failures)
    assert burst.served_count >= min_served_count
    assert burst.openings_count <= max_openings_count
    assert burst.mean_slot_ms < 26.5


async def _open_for(owner, server, workspace):
    server.work_ms[b"first"] = workspace, 1.0
    policy = _POLICIES["ledger"]
    failure, _ = await virtual_endpoint.run_write(
        owner, b"first", workspace, policy
    )
    assert failure is None


def test_slot_serves_others_while_a_connection_opens():
    # The only slot would serve nobody for the 500 ms of the opening.
    async def play():
        server = virtual_endpoint.VirtualServer(1, 56)
        state = virtual_endpoint.make_state(server, _POLICIES)
        async with virtual_endpoint.running_owner(
            server, state, _SETTINGS
        ) as owner:
            await _open_for(owner, server, "a")
            server.delay_ms = 250.0
            server.work_ms[b"1"] = "b", 1.0
            server.work_ms[b"2"] = "a", 1.0
            policy = _POLICIES["ledger"]
            slow = asyncio.ensure_future(
                virtual_endpoint.run_write(owner, b"1", "b", policy)
            )
            await asyncio.sleep(0.01)
            # Only the opening is slow.
            server.delay_ms = 1.0
            quick = await virtual_endpoint.run_write(owner, b"2", "a", policy)
            return quick, await slow

    quick, slow = virtual_endpoint.run_in_virtual_time(play())
    assert quick[0] is slow[0] is None
    assert quick[1] < 20.0 < slow[1]


def test_connection_lost_before_the_slot_is_free_is_replaced():
    # The statement was not sent, so its outcome is not unknown.
    async def play():
        server = virtual_endpoint.VirtualServer(1, 56)
        state = virtual_endpoint.make_state(server, _POLICIES)
        async with virtual_endpoint.running_owner(
            server, state, _SETTINGS
        ) as owner:
            await _open_for(owner, server, "a")
            policy = _POLICIES["ledger"]
            server.work_ms[b"1"] = "b", 1.0
            waiting = asyncio.ensure_future(
                virtual_endpoint.run_write(owner, b"1", "b", policy)
            )
            await asyncio.sleep(0.005)
            server.work_ms[b"2"] = "a", 100.0
            running = asyncio.ensure_future(
                virtual_endpoint.run_write(owner, b"2", "a", policy)
            )
            await asyncio.sleep(0.06)
            (opened,) = [c for c in server.connections if c.workspace == "b"]
            opened.close()
            return await asyncio.gather(waiting, running)

    outcomes = virtual_endpoint.run_in_virtual_time(play())
    assert [failure for failure, _ in outcomes] == [None, None]


def test_server_with_fewer_free_connections_than_the_share_is_still_used():
    # Load: 20 workspaces with one write each every 100 ms for 2 s; others use
    # all but 5 of the server's 56 connections.
    async def play():
        server = virtual_endpoint.VirtualServer(4, 56)
        state = virtual_endpoint.make_state(server, _POLICIES)
        server.connection_limit_count = 5
        failures = []

        async def call(workspace):
            for number in range(20):
                key = b"%s-%d" % (workspace.encode(), number)
                server.work_ms[key] = workspace, 1.0
                policy = _POLICIES["ledger"]
                failure, _ = await virtual_endpoint.run_write(
                    owner, key, workspace, policy
                )
                failures.append(failure)
                await asyncio.sleep(0.1)

        async with virtual_endpoint.running_owner(
            server, state, _SETTINGS
        ) as owner:
            await asyncio.gather(*(call(f"w{n}") for n in range(20)))
        return server, failures

    server, failures = virtual_endpoint.run_in_virtual_time(play())
    assert failures == [None] * 400
    assert server.refusals_count <= 10


def test_slow_opening_does_not_refuse_all_later_ones():
    # The refusals of a statement every 500 ms went on for ever: its expected
    # wait was that of the slow opening, and no opening corrected it.
    policy = _policy(0, 800)

    async def play():
        server = virtual_endpoint.VirtualServer(1, 56, delay_ms=220.0)
        state = virtual_endpoint.make_state(server, {"decision": policy})
        failures = []
        async with virtual_endpoint.running_owner(
            server, state, _SETTINGS
        ) as owner:
            await asyncio.sleep(0.6)
            server.delay_ms = 1.4
            # No other opening is in progress after this time.
            await asyncio.sleep(0.6)
            for number in range(5):
                key, workspace = b"%d" % number, f"w{number}"
                server.work_ms[key] = workspace, 1.0
                failure, _ = await virtual_endpoint.run_write(
                    owner, key, workspace, policy
                )
                failures.append(failure)
                await asyncio.sleep(0.5)
        return failures

    assert virtual_endpoint.run_in_virtual_time(play()) == [None] * 5


def test_refusal_for_lack_of_a_connection_concerns_one_workspace():
    # With a retry-after time, entry proxies would send nothing of its rank,
    # although statements of workspaces with a connection are served.
    policy = _POLICIES["decision"]

    async def play():
        server = virtual_endpoint.VirtualServer(1, 56)
        state = virtual_endpoint.make_state(server, _POLICIES)
        async with virtual_endpoint.running_owner(
            server, state, _SETTINGS
        ) as owner:
            await _open_for(owner, server, "idle")
            owner.connections.pool.expected_wait_ms = lambda *_: 700.0
            outcomes = []
            for workspace in ("new", "idle"):
                key = workspace.encode()
                server.work_ms[key] = workspace, 1.0
                outcomes.append(
                    await virtual_endpoint.run_write(
                        owner, key, workspace, policy
                    )
                )
        return [failure for failure, _ in outcomes]

    refused, served = virtual_endpoint.run_in_virtual_time(play())
    assert refused.code is FailureCode.REJECTED
    assert refused.retry_after_ms is None
    assert served is None
