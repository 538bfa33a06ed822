"""Tests blocks whose endpoint answers with an unusual error."""

import asyncio

import pytest

from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift_standin.platform import _session


def run(scenario):
    """Run a scenario with a fleet, within a time limit."""

    async def work():
        async with asyncio.timeout(15):
            async with running_statement_fleet() as fleet:
                await asyncio.sleep(0.2)
                return await scenario(fleet)

    return asyncio.run(work())


@pytest.mark.parametrize("code", [b"FAILED", b"TIMEOUT", b"MALFORMED", b"ODD"])
@pytest.mark.parametrize(
    "block, statement",
    [(("BEGIN",), "WRITE 1a4 coal"), ((), "READ 1a4")],
    ids=["write in a block", "read at the primary"],
)
def test_statement_does_not_run_without_its_transaction(
    monkeypatch, block, statement, code
):
    """A write must not commit by itself because BEGIN has failed.

    The caller is told that its transaction ended, and repeats the write.
    """

    async def refuse(session, request, arguments):
        session._send_error(code)

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            monkeypatch.setitem(_session._HANDLERS, b"BEGIN", refuse)
            for text in block:
                assert (await caller.query(text)).is_success
            refused = await caller.query(statement)
            monkeypatch.undo()
            repeated = await caller.query("READ 1a4")
        logs = fleet.group.logs.values()
        assert not any(log.requests() for log in logs)
        return refused, repeated

    refused, repeated = run(scenario)
    assert refused.error.split(b" ")[0] in {b"BUSY", b"ABORTED"}
    assert refused.state == b"I"
    assert repeated.is_success


def test_prepared_statement_lost_in_a_block_is_prepared_again():
    """A server that has lost a statement must not refuse it for ever."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await caller.query("PREPARE r READ 1a4")
            codes = []
            for is_lost in (False, True, False):
                for session in list(fleet.server("s1").sessions):
                    if is_lost:
                        session.prepared.clear()
                await caller.query("BEGIN")
                answer = await caller.query("EXECUTE r 1a4")
                codes.append(answer.error.split(b" ")[0])
                await caller.query("ROLLBACK")
            return codes

    first, lost, last = run(scenario)
    assert (first, last) == (b"", b"")
    assert lost != b""
