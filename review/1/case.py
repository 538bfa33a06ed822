"""Acknowledged commits are lost although syncReplicas is 1."""

import asyncio
import time

import standin

WRITERS_COUNT = 6
DOWN_S = 7.0
ROUNDS_COUNT = 5
# Replication lags: the sheet's mean is 8 ms, its largest value 48 ms.
FAST_LAG_MS = 4
SLOW_LAG_MS = 40


async def write_forever(record, frontends, acked):
    """Write payments one after another, in a new session after a failure."""
    for number in range(100_000):
        requester = standin.Requester(record)
        if not await requester.open(
            frontends[number % len(frontends)], "payouts"
        ):
            await asyncio.sleep(0.2)
            continue
        while True:
            answer = await requester.query(b"WRITE p%d 100" % number, 3.0)
            if answer.is_success:
                acked[answer.request] = time.monotonic()
            if answer.state != b"I":
                break
            await asyncio.sleep(0.005 if answer.is_success else 0.2)
        requester.close()


async def wait_for_tail(slow, acked):
    """Wait until a payment is acknowledged that ``slow`` lacks."""
    while True:
        held = {r for commit in slow.log[-100:] for r, _ in commit.writes}
        if any(request not in held for request in list(acked)[-3:]):
            return
        await asyncio.sleep(0.001)


async def crash_two(service, acked, record):
    """Crash the primary and the replica close to it, for 7 s."""
    others = [s for s in service.servers.values() if not s.is_primary]
    close, slow = sorted(others, key=lambda server: server.lag_ms)
    await asyncio.wait_for(wait_for_tail(slow, acked), 5)
    down = [service.leader, close]
    for server in down:
        server.crash()
    await asyncio.sleep(DOWN_S)
    for server in down:
        record.say(f"{server.name} starts again")
        await server.start()


def count_missing(service, acked, record):
    """Return how many acknowledged commits the promoted servers lacked."""
    count = 0
    for name, promoted_s, log in service.promotions:
        before = {r for r, s in acked.items() if s < promoted_s}
        missing = before - log
        record.say(
            f"{name} was promoted without {len(missing)} of "
            f"{len(before)} acknowledged payments"
        )
        for request in sorted(missing):
            record.write("acknowledged, but not in the log:", request)
        count += len(missing)
    return count


async def case(record, trouble):
    service = standin.Service("ledger", record, sync=1)
    await service.add("s1", "ub-a", FAST_LAG_MS)
    await service.add("s2", "dk-a", FAST_LAG_MS)
    await service.add("s3", "er-a", SLOW_LAG_MS)
    routes = {"payouts": ("primary", "ledger", 0, 800, 0)}
    async with standin.deployment(record, [service], routes) as fleet:
        acked = {}
        writers = [
            asyncio.ensure_future(
                write_forever(record, fleet.frontends[n % 3 :], acked)
            )
            for n in range(WRITERS_COUNT)
        ]
        missing_count = 0
        for number in range(ROUNDS_COUNT if trouble else 1):
            await asyncio.sleep(4)
            record.say(f"{len(acked)} payments are acknowledged")
            if not acked:
                raise standin.CannotRun("no payment was acknowledged")
            if trouble:
                await crash_two(service, acked, record)
            await asyncio.sleep(6)
            missing_count = count_missing(service, acked, record)
            if missing_count:
                break
        for writer in writers:
            writer.cancel()
        for word in ("proposing an entry", "elected control leader"):
            for line in fleet.logs(word):
                record.write(line)
        return not missing_count


standin.main(case)
