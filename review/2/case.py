"""A session does not see its own write after the old primary was kept."""

import asyncio

import standin

PRIMARY_DARK_S = 3.0
REPLICAS_DARK_S = 7.0
SESSIONS_COUNT = 6
ROUNDS_COUNT = 40
# Replication lag: within the sheet's largest value of 48 ms.
LAG_MS = 40


async def leave_dark(server, duration_s):
    """Keep a server silent for a while."""
    server.go_dark()
    await asyncio.sleep(duration_s)
    server.wake()


async def read_own_writes(record, service, frontend, number, stale):
    """Write and read by turns in one session; collect stale reads.

    A read that is refused with a promise is sent again in the same session,
    with a new id, as requesters do.
    """
    requester = standin.Requester(record)
    if not await requester.open(frontend, "bursars"):
        raise standin.CannotRun("no session")
    for turn in range(ROUNDS_COUNT):
        wrote = await requester.query(b"WRITE i%d v%d" % (number, turn))
        if wrote.state != b"I":
            break
        if not wrote.is_success:
            await asyncio.sleep(0.1)
            continue
        for _ in range(3):
            read = await requester.query(b"READ i%d" % number)
            if read.is_success or read.state != b"I":
                break
        if read.state != b"I":
            break
        if read.is_success:
            check(record, service, wrote, read, stale)
        await asyncio.sleep(0.05)
    requester.close()


def check(record, service, wrote, read, stale):
    """Compare the read with the log that it ran on."""
    server = read.receipt.split(b".")[0].decode()
    log_position = SEEN[read.request]
    write_position = WRITTEN[wrote.request]
    if log_position < write_position:
        stale.append(read.request)
        record.write(
            f"STALE read {read.request} at {server}: its log had reached "
            f"{log_position}, the session's write {wrote.request} is "
            f"{write_position}"
        )


# Position of the log that each read ran on, and of each write.
SEEN = {}
WRITTEN = {}


def observe(service):
    """Note the positions of reads and writes at the servers."""
    original = standin.ServerSession.run

    def run(session, request, text):
        server = session.server
        SEEN[request] = server.position
        if text.startswith(b"WRITE"):
            WRITTEN[request] = next(
                commit.position
                for commit in reversed(server.log)
                if any(r == request for r, _ in commit.writes)
            )
        return original(session, request, text)

    standin.ServerSession.run = run


async def case(record, trouble):
    service = standin.Service("ledger", record)
    observe(service)
    primary = await service.add("s1", "ub-a", LAG_MS)
    replicas = [
        await service.add("s2", "dk-a", LAG_MS),
        await service.add("s3", "er-a", LAG_MS),
    ]
    routes = {
        "payouts": ("primary", "ledger", 0, 800, 0),
        "bursars": ("read_your_writes", "ledger", 2, 800, 2500),
    }
    async with standin.deployment(record, [service], routes) as fleet:
        if trouble:
            await asyncio.gather(
                leave_dark(primary, PRIMARY_DARK_S),
                *(leave_dark(one, REPLICAS_DARK_S) for one in replicas),
            )
        await asyncio.sleep(6)
        record.say(
            f"{service.primary} leads, {len(service.promotions)} promotions"
        )
        stale = []
        await asyncio.gather(
            *(
                read_own_writes(
                    record, service, fleet.frontends[n % 3], n, stale
                )
                for n in range(SESSIONS_COUNT)
            )
        )
        record.say(f"{len(stale)} of {len(WRITTEN)} reads were stale")
        if not WRITTEN:
            raise standin.CannotRun("no write was acknowledged")
        for line in fleet.logs(""):
            record.write(line)
        return not stale


standin.main(case)
