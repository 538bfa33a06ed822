"""A primary leaves while one replica has no path to control."""

import asyncio
import contextlib
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import standin  # noqa: E402

CALLERS_COUNT = 6
# The callers work through a payout run in batches: all write, all COMMIT
# BATCH_PAUSE_S later (txIdleMs is 3000), and the next batch begins.
BATCH_PAUSE_S = 0.7
BATCH_INTERVAL_S = 1.6
# The replica is cut off this long before the primary reports that it leaves.
CUT_BEFORE_S = 1.0
# `srv_cut` in `fleetbench kinds`: for_s (5), share (.2); here 1 of 9 servers.
CUT_S = 5.0
BATCHES_COUNT = 9
LEAVING_BATCH = 3


class Ledger:
    """Transactions of the callers, by the id of their COMMIT."""

    def __init__(self):
        self.acknowledged = []
        self.others = []


async def run(record, has_trouble):
    deployment = standin.Deployment(
        record, ["ub-a", "dk-a", "er-a"], ["ub-a", "dk-a", "er-a"]
    )
    groups = [
        standin.Group(record, name, sync=1)
        for name in ("ledger", "ledger-b", "ledger-c")
    ]
    try:
        return await _run(deployment, groups, record, has_trouble)
    finally:
        deployment.stop()


async def _run(deployment, groups, record, has_trouble):
    numbers = itertools.count(1)
    for group in groups:
        for zone in standin.ZONES:
            await group.add(f"i-{next(numbers)}", zone)
    promotions = standin.Promotions(record, {g.name: g for g in groups})
    deployment.promotion_address = await promotions.start()
    for machine in deployment.control + deployment.proxies:
        deployment.start(machine, bootstrap=True)
    group = groups[0]
    document = standin.desired_state(
        7,
        [("payouts", "primary", 0, group.name)],
        [(one.name, 1) for one in groups],
    )
    addresses = deployment.control_addresses
    if not await standin.send_state(record, document, addresses, 40.0):
        raise standin.CouldNotRun("no daemon acked the desired state")
    for one in groups:
        for server in one.servers.values():
            server.start_beats(addresses)
    for machine in deployment.proxies:
        address = deployment.caller_address(machine)
        await standin.wait_for(
            lambda: standin.can_write(address, "payouts"), 40
        )
    await asyncio.sleep(3.0)
    ledger = Ledger()
    leaving, cut = group.servers["i-1"], group.servers["i-3"]
    for batch in range(BATCHES_COUNT):
        started_s = time.monotonic()
        callers = [
            asyncio.ensure_future(_pay(deployment, record, ledger, number))
            for number in range(CALLERS_COUNT)
        ]
        await asyncio.sleep(0.1)
        if batch == LEAVING_BATCH:
            record("i-1, the primary, reports that it leaves")
            leaving.drain()
        await asyncio.gather(*callers)
        left_s = started_s + BATCH_INTERVAL_S - time.monotonic()
        await asyncio.sleep(max(0.0, left_s - CUT_BEFORE_S))
        if batch == LEAVING_BATCH - 1 and has_trouble:
            asyncio.ensure_future(_cut_for_a_while(record, cut))
        await asyncio.sleep(min(CUT_BEFORE_S, max(0.0, left_s)))
    return _report(group, record, ledger)


async def _cut_for_a_while(record, server):
    record(f"{server.name} and control are partitioned; all others reach it")
    server.is_cut_from_control = True
    await asyncio.sleep(CUT_S)
    server.is_cut_from_control = False
    record("the partition ends")


async def _pay(deployment, record, ledger, number):
    """Run one transaction of two writes with a pause before COMMIT."""
    machine = deployment.proxies[number % len(deployment.proxies)]
    address = deployment.caller_address(machine)
    with contextlib.suppress(OSError, TimeoutError):
        async with standin.Caller.connected(address, "payouts") as caller:
            await _pay_once(caller, record, ledger, number)


async def _pay_once(caller, record, ledger, number):
    ids = [standin.new_request() for _ in range(4)]
    texts = ["BEGIN", f"WRITE a{ids[0]} 1", f"WRITE b{ids[0]} 1", "COMMIT"]
    started_s = time.monotonic()
    for request, text in zip(ids, texts):
        if text == "COMMIT":
            left_s = started_s + BATCH_PAUSE_S - time.monotonic()
            await asyncio.sleep(max(0.0, left_s))
        answer = await caller.query(text, request)
        if not answer.is_success:
            record(f"caller {number}: {text} {request}: {answer}")
            ledger.others.append(ids)
            return
    record(f"caller {number}: COMMIT {ids[3]} of {ids[1:3]} is acked")
    ledger.acknowledged.append(ids)


def _report(group, record, ledger):
    primary = group.servers[group.primary]
    stored = set(primary.requests())
    lost = [ids for ids in ledger.acknowledged if not stored >= set(ids[1:3])]
    for ids in lost:
        record(f"LOST: COMMIT {ids[3]} of the writes {ids[1:3]}")
    record.say(
        f"primary {primary.name}, term {group.term}: "
        f"{len(ledger.acknowledged)} transactions were acked, "
        f"{len(ledger.others)} were not; {len(lost)} that were acked are "
        "not in the log of the server that was promoted"
    )
    if group.term == 1:
        raise standin.CouldNotRun("there was no change of primary")
    return not lost


standin.run_case(FOLDER, run)
