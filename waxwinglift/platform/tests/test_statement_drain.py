"""Tests that a proxy that shuts down answers the requests that it has read."""

import asyncio

import pytest

from waxwinglift.process._drain_phase import DrainPhase
from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift_standin.platform import ServerSettings

_WORK_MS = 300.0
# Shorter than a statement, as the half of the grace period may be.
_BLOCK_LIMIT_MS = 200.0
_DRAIN = {"drain_timeout_ms": _BLOCK_LIMIT_MS, "drain_linger_ms": 100.0}


def run(scenario, **options):
    """Run a scenario with a fleet, within a time limit."""

    async def work():
        async with asyncio.timeout(15):
            async with running_statement_fleet(**options) as fleet:
                return await scenario(fleet)

    return asyncio.run(work())


async def _shut_down(proxy):
    await proxy.entry.drain()
    await proxy.entry.stop()


async def _code_of(answer):
    """Return the answer's error code, empty after a success."""
    result = await answer
    return result.state, result.error.split(b" ")[0]


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize(
    "pool, block, statement",
    [
        ("look", (), "READ 1a4"),
        ("pay", (), "WRITE 1a4 coal"),
        ("refill", ("BEGIN", "WRITE 1a4 coal"), "COMMIT"),
    ],
    ids=["read", "write", "commit"],
)
def test_statement_that_outlasts_the_block_limit_of_a_drain_is_served(
    pool, block, statement, proxy_count
):
    """The limit for open transactions must not cut a running statement.

    A statement sent shortly before that limit lost its connection without
    an answer.
    """

    async def scenario(fleet):
        async with fleet.connected(pool) as caller:
            for text in block:
                await caller.query(text)
            stopped = asyncio.ensure_future(_shut_down(fleet.proxies[0]))
            await asyncio.sleep(0.05)
            outcome = await _code_of(caller.query(statement))
            await stopped
            return outcome

    options = {"settings": ServerSettings(work_ms=_WORK_MS), "entry": _DRAIN}
    assert run(scenario, proxy_count=proxy_count, **options) == (b"I", b"")


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize(
    "pool, block, statement, expected_code",
    [
        ("look", (), "READ 1a4", b"ABORTED"),
        ("pay", (), "READ 1a4", b"ABORTED"),
        ("pay", (), "WRITE 1a4 coal", b"INDOUBT"),
        ("pay", ("BEGIN",), "WRITE 1a4 coal", b"ABORTED"),
        ("refill", ("BEGIN", "WRITE 1a4 coal"), "READ 1a4", b"ABORTED"),
        ("refill", ("BEGIN", "WRITE 1a4 coal"), "COMMIT", b"INDOUBT"),
        ("refill", ("BEGIN", "READ 1a4"), "COMMIT", b"ABORTED"),
    ],
    ids=[
        "read at a replica",
        "read at the primary",
        "write",
        "first write of a block",
        "read in a block",
        "commit of a write",
        "commit without a write",
    ],
)
def test_statement_that_runs_when_the_proxy_stops_gets_its_outcome(
    pool, block, statement, expected_code, proxy_count
):
    """A session that is stopped must not close without an answer.

    The code says that nothing is kept only if that is certain.
    """

    async def scenario(fleet):
        async with fleet.connected(pool) as caller:
            await caller.query("READ 1a4")
            for text in block:
                assert (await caller.query(text)).is_success
            for name in ("s1", "s2", "s3"):
                fleet.server(name).stop_answering()
            answer = asyncio.ensure_future(_code_of(caller.query(statement)))
            await asyncio.sleep(0.1)
            await fleet.proxies[0].entry.stop()
            return await answer

    outcome = run(scenario, proxy_count=proxy_count)
    assert outcome == (b"I", expected_code)


def test_statement_in_the_buffer_of_an_idle_session_is_served():
    """A drain must not close a session whose next statement has arrived.

    A session counted as idle until its task had taken the statement from
    the buffer.
    """

    async def scenario(fleet):
        async with fleet.connected("look") as caller:
            assert (await caller.query("READ 1a4")).is_success
            entry = fleet.proxies[0].entry
            (session,) = entry.sessions.values()
            stopped = asyncio.ensure_future(_shut_down(fleet.proxies[0]))
            session._connection.data_received(b"QUERY x READ 1a4\r\n")
            outcome = await _code_of(caller.answer(b"x"))
            await stopped
            return outcome

    entry = {"drain_timeout_ms": _BLOCK_LIMIT_MS}
    assert run(scenario, entry=entry) == (b"I", b"")


def test_idle_transaction_is_aborted_with_notice_at_the_block_limit():
    """The caller of a transaction that a drain ends learns its outcome."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await caller.query("BEGIN")
            await caller.query("WRITE 1a4 coal")
            await _shut_down(fleet.proxies[0])
            notice = await caller.answer(b"")
        assert fleet.group.logs["s1"].requests() == []
        return notice.error.split(b" ")[0]

    assert run(scenario, entry=_DRAIN) == b"ABORTED"


@pytest.mark.parametrize(
    "pool, block, expected_code",
    [
        ("look", (), b"BUSY"),
        ("pay", (), b"BUSY"),
        ("pay", ("BEGIN", "WRITE 1a4 coal"), b"ABORTED"),
    ],
    ids=["read", "read at the primary", "in a block"],
)
def test_statement_after_the_block_limit_of_a_drain_is_refused(
    pool, block, expected_code
):
    """A stopping proxy must not start work that it cannot finish.

    A busy session went on to take statements until the process was killed.
    """

    async def scenario(fleet):
        async with fleet.connected(pool) as caller:
            for text in block:
                assert (await caller.query(text)).is_success
            entry = fleet.proxies[0].entry
            entry.drain_phase = DrainPhase.ENDING_BLOCKS
            refused = await _code_of(caller.query("READ 1a4"))
            ended = await caller.answer(b"")
            return refused, ended.state

    assert run(scenario) == ((b"I", expected_code), b"")


def test_block_ends_after_its_running_statement_at_the_block_limit():
    """A drain must not rely on seeing a busy session between statements."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await caller.query("BEGIN")
            answer = asyncio.ensure_future(caller.query("WRITE 1a4 coal"))
            await asyncio.sleep(_WORK_MS / 3000)
            fleet.proxies[0].entry.drain_phase = DrainPhase.ENDING_BLOCKS
            written = await answer
            notice = await caller.answer(b"")
            return written.is_success, notice.error.split(b" ")[0]

    settings = ServerSettings(work_ms=_WORK_MS)
    assert run(scenario, settings=settings) == (True, b"ABORTED")
