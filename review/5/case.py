"""A line feed inside the data of a write is taken for the end of its line."""

import asyncio

import standin

WRITES_COUNT = 20


async def case(record, trouble):
    service = standin.Service("ledger", record)
    for name, zone in (("s1", "ub-a"), ("s2", "dk-a"), ("s3", "er-a")):
        await service.add(name, zone, 8)
    routes = {"payouts": ("primary", "ledger", 0, 800, 0)}
    async with standin.deployment(record, [service], routes) as fleet:
        sent = {}
        requester = standin.Requester(record)
        if not await requester.open(fleet.frontends[0], "payouts"):
            raise standin.CannotRun("no session")
        for number in range(WRITES_COUNT):
            note = b"tuition, October"
            if trouble:
                # The second line of a note that a student has typed in.
                note += (
                    b"\nQUERY smuggled%02d WRITE payout-9999 1000000" % number
                )
            text = b"WRITE payout-%d %s" % (number, note)
            answer = await requester.query(text, 5.0)
            sent[answer.request] = text
            if answer.state != b"I":
                raise standin.CannotRun("the session has ended")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        requester.close()
        broken = 0
        for server in service.servers.values():
            for _, request, text in server.runs:
                if text == b"READ warm":
                    continue
                if request not in sent:
                    record.write("UNASKED at", server.name, request, text)
                    broken += 1
                elif text != sent[request]:
                    record.write(
                        "CHANGED at",
                        server.name,
                        request,
                        text,
                        "sent as",
                        sent[request],
                    )
                    broken += 1
        record.say(f"{len(sent)} writes sent, {broken} other statements ran")
        return not broken


standin.main(case)
