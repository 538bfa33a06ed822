"""Tests that each way out of a statement or a session gives its outcome."""

import asyncio
import contextlib
import time

import pytest

from waxwinglift.platform.tests.statement_fleet import GROUP
from waxwinglift.platform.tests.statement_shutdown import BLOCK_WRITE
from waxwinglift.platform.tests.statement_shutdown import COMMIT
from waxwinglift.platform.tests.statement_shutdown import PROMISES
from waxwinglift.platform.tests.statement_shutdown import WRITE
from waxwinglift.platform.tests.statement_shutdown import begin
from waxwinglift.platform.tests.statement_shutdown import code_of
from waxwinglift.platform.tests.statement_shutdown import run
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.version import GroupPhase
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift_standin.platform import ServerSettings

_POSITION = Position(Term(1), Lsn(1))
# Longer than a stop takes, shorter than any statement of these tests.
_STOP_LIMIT_S = 0.1


async def _remove_daemon(fleet):
    fleet.state.daemons.pop(fleet.proxies[-1].view.daemon)
    for proxy in fleet.proxies:
        proxy.view.notify()


async def _close_peer_server(fleet):
    fleet.proxies[-1].peer_server.close()


async def _end_peer_connections(fleet):
    for client in fleet.proxies[0].peers._clients.values():
        client._reconnect()


async def _stop_owners(fleet):
    await fleet.proxies[-1].owners.stop()


async def _crash_servers(fleet):
    for server in fleet.group.servers.values():
        server.crash()


async def _stop_entry(fleet):
    await fleet.proxies[0].entry.stop()


@pytest.mark.parametrize("block, statement", [WRITE, BLOCK_WRITE, COMMIT])
@pytest.mark.parametrize(
    "end_statement",
    [
        _remove_daemon,
        _close_peer_server,
        _end_peer_connections,
        _stop_owners,
        _crash_servers,
        _stop_entry,
    ],
)
def test_promise_that_nothing_is_kept_is_true(end_statement, block, statement):
    """A statement whose way out is cut gets an answer, and a true one.

    Its attempt may still run at the other proxy after the caller's answer.
    """

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await begin(caller, block)
            answer = asyncio.ensure_future(code_of(caller.query(statement)))
            await asyncio.sleep(0.1)
            await end_statement(fleet)
            outcome = await answer
            # The attempt may still take effect.
            await asyncio.sleep(0.3)
        logs = fleet.group.logs.values()
        return *outcome, any(log.requests() for log in logs)

    settings = ServerSettings(work_ms=200.0)
    state, code, is_kept = run(scenario, proxy_count=2, settings=settings)
    assert state
    assert not (is_kept and code in PROMISES)


@pytest.mark.parametrize(
    "requests", [(b"x",), (b"x", b"y")], ids=["arrived", "pipelined"]
)
def test_stop_answers_a_statement_that_no_task_has_read(requests):
    """A stop must not drop a statement that is in the session's buffer."""

    async def scenario(fleet):
        async with fleet.connected("look") as caller:
            entry = fleet.proxies[0].entry
            (session,) = entry.sessions.values()
            lines = [b"QUERY %s READ 1a4\r\n" % name for name in requests]
            session._connection.data_received(b"".join(lines))
            await entry.stop()
            answers = [code_of(caller.answer(name)) for name in requests]
            return [await answer for answer in answers]

    for state, code in run(scenario):
        assert state == b"I"
        assert code in {b"", *PROMISES}


def test_stop_answers_the_statements_behind_a_running_one():
    """A stop must not drop what follows the statement that it interrupts."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            entry = fleet.proxies[0].entry
            (session,) = entry.sessions.values()
            data = b"QUERY x WRITE 1a4 coal\r\nQUERY y READ 1a4\r\n"
            session._connection.data_received(data)
            await asyncio.sleep(0.05)
            await entry.stop()
            answers = [code_of(caller.answer(name)) for name in (b"x", b"y")]
            return [await answer for answer in answers]

    settings = ServerSettings(work_ms=300.0)
    answers = run(scenario, settings=settings)
    assert answers == [(b"I", b"INDOUBT"), (b"I", b"BUSY")]


def test_stop_notifies_the_caller_of_an_idle_transaction():
    """A transaction that ends with its proxy must not end without a word.

    Between the end of a drain and the stop, a statement of a block may end,
    so that its transaction waits for the caller when the stop comes.
    """

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await begin(caller, ("BEGIN", "WRITE 1a4 coal"))
            await fleet.proxies[0].entry.stop()
            return (await caller.answer(b"")).error.split(b" ")[0]

    assert run(scenario) == b"ABORTED"


async def _notify_of_change(fleet):
    fleet.proxies[0].view.notify()


@pytest.mark.parametrize(
    "phase, proxy_count, pool, statement, end_wait",
    [
        (GroupPhase.ACTIVE, 2, "look", "READ 1a4", _end_peer_connections),
        (None, 1, "pay", "WRITE 1a4 coal", _notify_of_change),
    ],
    ids=["peer connection ends", "fleet changes"],
)
def test_stop_does_not_wait_for_a_retry(
    phase, proxy_count, pool, statement, end_wait
):
    """A stop must end a session although its wait ends at the same moment.

    `asyncio.wait_for` of Python 3.11 then discards the cancellation, as
    grpclib did between proxies, and the session tries again until its time
    limit.
    """

    async def scenario(fleet):
        async with fleet.connected(pool) as caller:
            assert (await caller.query("READ 1a4")).is_success
            if phase is None:
                others = [p for p in GroupPhase if p is not GroupPhase.ACTIVE]
                fleet.state.groups[GROUP].phase = others[0]
                fleet.proxies[0].view.notify()
            answer = asyncio.ensure_future(code_of(caller.query(statement)))
            await asyncio.sleep(0.12)
            await end_wait(fleet)
            started_s = time.monotonic()
            await fleet.proxies[0].entry.stop()
            stopped_s = time.monotonic() - started_s
            state, _ = await answer
            return state, stopped_s

    settings = ServerSettings(work_ms=300.0)
    state, stopped_s = run(
        scenario, proxy_count=proxy_count, settings=settings
    )
    assert state == b"I"
    assert stopped_s < _STOP_LIMIT_S


def test_stop_has_a_limit_for_a_session_that_does_not_end():
    """A session that discards its cancellations must not block a shutdown."""

    async def scenario(fleet):
        is_released = False

        async def serve():
            while not is_released:
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.sleep(0.01)

        entry = fleet.proxies[0].entry
        session = asyncio.ensure_future(entry.serve_connection(serve()))
        await asyncio.sleep(0)
        started_s = time.monotonic()
        await entry.stop()
        stopped_s = time.monotonic() - started_s
        is_released = True
        await session
        return stopped_s

    # The last sixth of the shortest grace period of the tests, 3 s.
    assert run(scenario) < 0.5


class _FaultyExecutor:
    """Executor whose streams raise an exception that nothing expects."""

    is_unresponsive = False

    def open(self, header):
        """Return a stream, this object."""
        return self

    async def run(self, exchange, sink):
        """Raise the exception."""
        raise RuntimeError("fault of a test")

    def cancel(self):
        """Do nothing."""

    async def close(self):
        """Do nothing."""


def test_statements_behind_an_unexpected_error_are_refused():
    """A session that ends must not drop what it has not read."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            entry = fleet.proxies[0].entry
            entry.context.executors.executor_for = lambda _: _FaultyExecutor()
            (session,) = entry.sessions.values()
            data = b"QUERY x WRITE 1a4 coal\r\nQUERY y READ 1a4\r\n"
            session._connection.data_received(data)
            answers = [code_of(caller.answer(name)) for name in (b"x", b"y")]
            return [await answer for answer in answers]

    assert run(scenario) == [(b"I", b"INDOUBT"), (b"I", b"BUSY")]


class _FaultyCloseExecutor(_FaultyExecutor):
    """Executor whose streams answer and raise when they are closed."""

    async def run(self, exchange, sink):
        """Return an answer."""
        return ExchangeEnd(answer=StatementAnswer(), position=_POSITION)

    async def close(self):
        """Raise the exception."""
        raise RuntimeError("fault of a test")


@pytest.mark.parametrize(
    "executor_class", [_FaultyExecutor, _FaultyCloseExecutor]
)
@pytest.mark.parametrize(
    "statement, expected_code",
    [("READ 1a4", b"ABORTED"), ("WRITE 1a4 coal", b"INDOUBT")],
)
def test_statement_that_meets_an_unexpected_error_gets_its_outcome(
    statement, expected_code, executor_class
):
    """A fault in a session must not close it without an answer."""

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        async with fleet.connected("pay") as caller:
            executors = fleet.proxies[0].entry.context.executors
            executors.executor_for = lambda daemon: executor_class()
            return await code_of(caller.query(statement))

    _, code = run(scenario)
    assert code == expected_code
