"""Tests callers' statements from the caller to a server and back."""

import asyncio

import pytest

from waxwinglift.platform.tests.statement_fleet import fleet_state
from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.process import DaemonId
from waxwinglift_standin.platform import ServerSettings


def run(scenario, **options):
    """Run a scenario with a fleet, within a time limit."""

    async def work():
        async with asyncio.timeout(15):
            async with running_statement_fleet(**options) as fleet:
                return await scenario(fleet)

    return asyncio.run(work())


async def _write_and_read(caller):
    written = await caller.query("WRITE 1a4 coal")
    read = await caller.query("READ 1a4")
    return written, read


async def _in_block(caller):
    await caller.query("BEGIN")
    written = await caller.query("WRITE 1a4 coal")
    read = await caller.query("READ 1a4")
    committed = await caller.query("COMMIT")
    assert read.is_success and committed.receipt != b"-"
    return written, await caller.query("READ 1a4")


async def _prepared(caller):
    await caller.query("PREPARE w WRITE q1")
    await caller.query("PREPARE r READ q2")
    written = await caller.query("EXECUTE w 1a4 coal")
    return written, await caller.query("EXECUTE r 1a4")


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize("pool", ["pay", "refill"])
@pytest.mark.parametrize("use", [_write_and_read, _in_block, _prepared])
def test_own_writes_are_read(use, pool, proxy_count):
    """A session reads its own writes, through any proxy."""

    async def scenario(fleet):
        async with fleet.connected(pool) as caller:
            return await use(caller)

    written, read = run(scenario, proxy_count=proxy_count)
    assert written.is_success and written.receipt not in (b"", b"-")
    assert read.rows == (b"coal",)
    assert read.state == b"I"


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_rolled_back_writes_are_not_kept(proxy_count):
    """A rolled-back transaction has no effect."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await caller.query("BEGIN")
            await caller.query("WRITE 1a4 coal")
            ended = await caller.query("ROLLBACK")
            return ended.state, (await caller.query("READ 1a4")).rows

    assert run(scenario, proxy_count=proxy_count) == (b"I", (b"",))


def test_disconnected_caller_releases_its_connection():
    """The transaction of a disconnected caller must not keep a connection."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await caller.query("BEGIN")
            await caller.query("WRITE 1a4 coal")
        await asyncio.sleep(0.1)
        owner = fleet.proxies[0].owners.owner("s1")
        assert not owner.is_busy
        return fleet.group.logs["s1"].requests()

    assert run(scenario) == []


def test_idle_transaction_is_ended():
    """An idle caller must not keep its transaction open for ever."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await caller.query("BEGIN")
            await caller.query("WRITE 1a4 coal")
            await asyncio.sleep(0.3)
            committed = await caller.query("COMMIT")
            after = await caller.query("READ 1a4")
            return committed.error.split(b" ")[0], committed.state, after.rows

    assert run(scenario, idle_block_ms=100) == (b"ABORTED", b"I", (b"",))


@pytest.mark.parametrize(
    "statement, error_code, state",
    [
        ("DROP 1a4", b"MALFORMED", b"I"),
        ("READ", b"MALFORMED", b"I"),
        ("EXECUTE none 1a4", b"NOSTMT", b"I"),
        ("DEALLOC none", b"", b"I"),
        ("COMMIT", b"", b"I"),
    ],
)
def test_session_continues_after_a_refused_statement(
    statement, error_code, state
):
    """An invalid statement must not end the session."""

    async def scenario(fleet):
        async with fleet.connected("refill") as caller:
            refused = await caller.query(statement)
            served = await caller.query("READ 1a4")
            return (
                refused.error.split(b" ")[0],
                refused.state,
                served.is_success,
            )

    assert run(scenario) == (error_code, state, True)


def test_unknown_database_is_refused():
    """The caller must get the error for an unknown database."""

    async def scenario(fleet):
        with pytest.raises(ConnectionError, match="NODB"):
            async with fleet.connected("nowhere"):
                pass

    run(scenario)


def test_oversized_statement_is_refused():
    """A line beyond the limit must not end or disturb the session."""

    async def scenario(fleet):
        async with fleet.connected("refill") as caller:
            caller.send(b"QUERY x READ " + b"a" * 2**20 + b"\r\n")
            refused = await caller.answer(b"x")
            served = await caller.query("READ 1a4")
            return refused.error.split(b" ")[0], served.is_success

    assert run(scenario) == (b"TOOLARGE", True)


def test_prepared_statement_names_of_sessions_do_not_collide():
    """Callers share connections, so their names must not collide."""

    async def scenario(fleet):
        async with fleet.connected("refill") as first:
            async with fleet.connected("refill") as second:
                await first.query("PREPARE p READ q1")
                await second.query("PREPARE p WRITE q1")
                for _ in range(5):
                    read = await first.query("EXECUTE p 1a4")
                    written = await second.query("EXECUTE p 1a4 coal")
                    assert read.is_success and written.is_success
                    assert len(read.rows) == 1 and not written.rows

    run(scenario)


def test_changed_primary_keeps_own_writes():
    """After a change of primary, a session still reads its own writes."""

    async def scenario(fleet):
        async with fleet.connected("refill") as caller:
            await caller.query("WRITE 1a4 coal")
            await asyncio.sleep(0.05)
            fleet.promote("s2")
            read = await caller.query("READ 1a4")
            written = await caller.query("WRITE 1a4 wood")
            again = await caller.query("READ 1a4")
            return read.rows, written.is_success, again.rows

    assert run(scenario) == ((b"coal",), True, (b"wood",))


def test_replaced_primary_acknowledges_no_write():
    """A write at a primary that was replaced must not be acknowledged."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            assert (await caller.query("WRITE 1a4 coal")).is_success
            # The proxies are not notified that s2 is now the primary.
            fleet.group.primary = "s2"
            refused = await caller.query("WRITE 1a4 wood")
            return refused.error.split(b" ")[0], refused.state

    assert run(scenario) == (b"BUSY", b"I")


def test_lost_answer_of_a_write_is_in_doubt():
    """A write whose answer was lost must not be reported as not run."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            assert (await caller.query("WRITE 1a4 coal")).is_success
            fleet.server("s1").stop_answering()
            failed = await caller.query("WRITE 1a4 wood")
            return failed.error.split(b" ")[0]

    assert run(scenario) in (b"TIMEOUT", b"INDOUBT")


def test_each_statement_runs_at_most_once_under_overload():
    """No statement runs twice, and a refused one does not run."""

    async def write(fleet, number):
        async with fleet.connected("pay", f"u{number}") as caller:
            return await caller.query(f"WRITE i{number} x")

    async def scenario(fleet):
        answers = await asyncio.gather(
            *(write(fleet, number) for number in range(120))
        )
        await asyncio.sleep(0.05)
        return answers, fleet.group.logs["s1"].requests()

    answers, logged = run(
        scenario,
        settings=ServerSettings(
            slots_count=2, queue_count=4, work_ms=2.0, opening_ms=2.0
        ),
    )
    succeeded = {answer.request for answer in answers if answer.is_success}
    refused = {
        answer.request
        for answer in answers
        if answer.error.split(b" ")[0] in (b"BUSY", b"ABORTED")
    }
    assert len(logged) == len(set(logged))
    assert succeeded <= set(logged)
    assert not refused & set(logged)
    assert succeeded


@pytest.mark.parametrize("lost", [("s2",), ("s3",), ("s2", "s3")])
def test_reads_continue_after_replicas_are_lost(lost):
    """A read is not refused while any endpoint can serve it."""

    async def scenario(fleet):
        async with fleet.connected("look") as caller:
            assert (await caller.query("READ 1a4")).is_success
            for name in lost:
                fleet.server(name).crash()
            answers = []
            for _ in range(20):
                answers.append(await caller.query("READ 1a4"))
                await asyncio.sleep(0.05)
            return [answer.error for answer in answers if answer.error]

    assert run(scenario) == []


class UnresponsiveOwner:
    """Owner of a primary that never answers."""

    is_unresponsive = False

    def __init__(self):
        self.is_queried = False

    async def group_position(self, group, term):
        self.is_queried = True
        await asyncio.sleep(10)


def test_reads_go_to_the_primary_when_its_position_is_unknown():
    """Without a recent position, reads go to the primary.

    No replica can be used then: a second one would wait for the same unknown
    position.
    """

    async def scenario(fleet):
        unresponsive_owners = {
            name: UnresponsiveOwner() for name in ("s2", "s3")
        }
        for name, owner in unresponsive_owners.items():
            floors = fleet.proxies[0].owners.owner(name).positions.floors
            floors._find_executor = lambda daemon, owner=owner: owner
        async with fleet.connected("look") as caller:
            answer = await caller.query("READ 1a4")
        return answer.error, sum(
            owner.is_queried for owner in unresponsive_owners.values()
        )

    error, queried_count = run(scenario)
    assert error == b""
    assert queried_count <= 1


@pytest.mark.parametrize("has_lease", [True, False])
def test_writes_bypass_a_former_owner(has_lease):
    """Writes succeed although the entry proxy's view is outdated.

    The owner in this view has been replaced and refuses the writes.
    """

    async def scenario(fleet):
        entry, owner = fleet.proxies
        newer = fleet_state(fleet.group, DaemonId("proxy-9"))
        newer.daemons = fleet.state.daemons
        owner.view.replace(newer)
        entry.lease["is_live"] = has_lease
        async with fleet.connected("pay") as caller:
            answers = [await caller.query("WRITE 1a4 coal") for _ in range(5)]
            return [answer.error for answer in answers if answer.error]

    assert run(scenario, proxy_count=2) == []
