"""Tests that each way out of a statement or a session gives its outcome."""

import asyncio
import contextlib
import socket
import time
import types

from opentelemetry import trace
import pytest

from waxwinglift.platform import _roles
from waxwinglift.platform.tests import statement_fleet
from waxwinglift.platform.tests.statement_fleet import GROUP
from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.platform.tests.test_settings import _VALUES
from waxwinglift.platform.tests.test_settings import _load
from waxwinglift.process import _proxy
from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process._control_link import ControlLink
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._entry_server import STOP_TIMEOUT_S
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._settings import ProxyTimingSettings
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.version import Epoch
from waxwinglift.version import GroupPhase
from waxwinglift.version import Lsn
from waxwinglift.version import OwnerAssignment
from waxwinglift.version import Position
from waxwinglift.version import Term
from waxwinglift.version._leases import DaemonLease
from waxwinglift_standin.platform import Caller
from waxwinglift_standin.platform import ServerSettings

# A tenth of the phases that a grace period of 6 s gives.
_ENTRY = {
    "drain_timeout_ms": 300.0,
    "drain_answer_timeout_ms": 200.0,
    "drain_linger_ms": 220.0,
}
_WHOLE_LIMIT_MS = 525.0
# Codes that promise that nothing of the request is kept.
_PROMISES = frozenset({b"BUSY", b"ABORTED", b"LAGGING", b"READONLY"})
_POSITION = Position(Term(1), Lsn(1))
# Longer than a stop takes, shorter than any statement of these tests.
_STOP_LIMIT_S = 0.1

_WRITE = ((), "WRITE 1a4 coal")
_BLOCK_WRITE = (("BEGIN",), "WRITE 1a4 coal")
_COMMIT = (("BEGIN", "WRITE 1a4 coal"), "COMMIT")
_READ = ((), "READ 1a4")


def run(scenario, **options):
    """Run a scenario with a fleet, within a time limit."""

    async def work():
        async with asyncio.timeout(15):
            async with running_statement_fleet(**options) as fleet:
                return await scenario(fleet)

    return asyncio.run(work())


async def _code_of(answer):
    """Return the answer's state and its error code, empty after a success."""
    result = await answer
    return result.state, result.error.split(b" ")[0]


async def _begin(caller, block):
    for text in block:
        assert (await caller.query(text)).is_success


def _assign(fleet, owner, standby=None):
    """Assign all endpoints, as control does when a proxy drains."""
    for name in fleet.state.owners:
        assignment = OwnerAssignment(name, owner, standby, Epoch(2))
        fleet.state.owners[name] = assignment
    for proxy in fleet.proxies:
        proxy.view.notify()


async def _shut_down(proxy):
    """Run the shutdown of a ProxyService with the parts of a test proxy."""

    async def stop_link():
        pass

    service = object.__new__(_proxy.ProxyService)
    service.settings = types.SimpleNamespace(
        timing=types.SimpleNamespace(drain_timeout_ms=_WHOLE_LIMIT_MS)
    )
    service.link = types.SimpleNamespace(
        is_draining=False, request_renewal=lambda: None, stop=stop_link
    )
    service.view, service.owners = proxy.view, proxy.owners
    service.entry, service.peers = proxy.entry, proxy.peers
    await service.on_stop()


@pytest.fixture
def _short_owner_limit(monkeypatch):
    """Give owners the limit for open transactions that the entries have."""
    running_proxy = statement_fleet.running_proxy

    def running_limited_proxy(name, state, *, owner, **options):
        limit_ms = _ENTRY["drain_timeout_ms"]
        owner = {**owner, "drain_timeout_ms": limit_ms}
        return running_proxy(name, state, owner=owner, **options)

    monkeypatch.setattr(
        statement_fleet, "running_proxy", running_limited_proxy
    )


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


@pytest.mark.parametrize("block, statement", [_WRITE, _BLOCK_WRITE, _COMMIT])
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
            await _begin(caller, block)
            answer = asyncio.ensure_future(_code_of(caller.query(statement)))
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
    assert not (is_kept and code in _PROMISES)


@pytest.mark.usefixtures("_short_owner_limit")
@pytest.mark.parametrize(
    "caller_proxy", [0, 1], ids=["peer", "stopping proxy"]
)
@pytest.mark.parametrize(
    "block, statement",
    [
        (("BEGIN", "WRITE 1a4 coal"), "READ 1a4"),
        (("BEGIN", "WRITE 1a4 coal"), "COMMIT"),
    ],
    ids=["read", "commit"],
)
def test_statement_of_a_block_outlasts_the_block_limit_of_its_old_owner(
    block, statement, caller_proxy
):
    """The old owner's limit for open transactions must not cut statements.

    A statement that runs when a handover has lasted that long loses its
    connection to the endpoint, before the limit for answers.
    """

    async def scenario(fleet):
        stopping = fleet.proxies[1]
        entry = fleet.proxies[caller_proxy].entry
        async with Caller.connected(entry.address, "pay") as caller:
            await _begin(caller, block)
            _assign(fleet, fleet.proxies[0].view.daemon)
            stopped = asyncio.ensure_future(_shut_down(stopping))
            await asyncio.sleep(0.22)
            outcome = await _code_of(caller.query(statement))
            await stopped
            return outcome

    settings = ServerSettings(work_ms=180.0)
    options = {"settings": settings, "entry": _ENTRY, "proxy_count": 2}
    _, code = run(scenario, **options)
    assert code == b""


@pytest.mark.usefixtures("_short_owner_limit")
def test_handover_ends_an_idle_transaction_at_the_block_limit():
    """The limit for answers must not extend the one for open transactions."""

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await _begin(caller, ("BEGIN", "WRITE 1a4 coal"))
            _assign(fleet, fleet.proxies[0].view.daemon)
            await asyncio.sleep(0.45)
            return await _code_of(caller.query("READ 1a4"))

    assert run(scenario, proxy_count=2) == (b"I", b"ABORTED")


@pytest.mark.usefixtures("_short_owner_limit")
@pytest.mark.parametrize("block, statement", [_WRITE, _COMMIT])
def test_owner_without_successor_does_not_cut_statements_it_accepted(
    block, statement, monkeypatch
):
    """The wait for a handover must leave time for the drain of the owners.

    Without an answer from control, an owner accepts statements until nearly
    the end of the whole drain, and then cuts them.
    """
    monkeypatch.setattr(_proxy, "HANDOVER_TIMEOUT_S", 0.5)

    async def scenario(fleet):
        async with fleet.connected("pay") as caller:
            await _begin(caller, block)
            stopped = asyncio.ensure_future(_shut_down(fleet.proxies[1]))
            await asyncio.sleep(0.4)
            outcome = await _code_of(caller.query(statement))
            await stopped
            return outcome

    settings = ServerSettings(work_ms=200.0)
    _, code = run(scenario, proxy_count=2, settings=settings, entry=_ENTRY)
    # A refusal is as good: the caller can try again.
    assert code in {b"", *_PROMISES}


def test_standby_owner_serves_callers_while_its_proxy_drains():
    """A proxy that drains must still reach endpoints whose owner is gone.

    The drain of its standby owners begins with the shutdown, while its
    callers are still served.
    """

    async def scenario(fleet):
        (proxy,) = fleet.proxies
        _assign(fleet, DaemonId("gone"), proxy.view.daemon)
        async with fleet.connected("pay") as caller:
            assert (await caller.query("READ 1a4")).is_success
            stopped = asyncio.ensure_future(_shut_down(proxy))
            await asyncio.sleep(0.1)
            outcome = await _code_of(caller.query("READ 1a4"))
            await stopped
            return outcome

    assert run(scenario, entry=_ENTRY) == (b"I", b"")


def test_owner_that_starts_during_a_drain_refuses_statements():
    """A temporary owner must not start work that the stop would cut."""

    async def scenario(fleet):
        (proxy,) = fleet.proxies
        async with fleet.connected("pay") as caller:
            assert (await caller.query("READ 1a4")).is_success
            await proxy.owners.drain()
            _assign(fleet, DaemonId("gone"))
            await asyncio.sleep(0.2)
            return await _code_of(caller.query("READ 1a4"))

    assert run(scenario) == (b"I", b"BUSY")


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
            answers = [_code_of(caller.answer(name)) for name in requests]
            return [await answer for answer in answers]

    for state, code in run(scenario):
        assert state == b"I"
        assert code in {b"", *_PROMISES}


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
            answers = [_code_of(caller.answer(name)) for name in (b"x", b"y")]
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
            await _begin(caller, ("BEGIN", "WRITE 1a4 coal"))
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

    grpclib, and `asyncio.wait_for` of Python 3.11, then discard the
    cancellation, and the session tries again until its time limit.
    """

    async def scenario(fleet):
        async with fleet.connected(pool) as caller:
            assert (await caller.query("READ 1a4")).is_success
            if phase is None:
                others = [p for p in GroupPhase if p is not GroupPhase.ACTIVE]
                fleet.state.groups[GROUP].phase = others[0]
                fleet.proxies[0].view.notify()
            answer = asyncio.ensure_future(_code_of(caller.query(statement)))
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
            return await _code_of(caller.query(statement))

    _, code = run(scenario)
    assert code == expected_code


@pytest.mark.parametrize("grace_s", [3, 6, 12])
def test_shutdown_with_an_unresponsive_control_fits_the_grace_period(
    tmp_path, grace_s
):
    """The last renewal comes after the drain and may take its time limit.

    The stop of the sessions between them has a limit of its own.
    """
    values = _VALUES | {"bounds": {"graceS": grace_s, "drainMs": 7000}}
    settings = _roles.proxy_settings(_load(tmp_path, values).ok_value)
    # A server that accepts connections and does not answer.
    with socket.create_server(("127.0.0.1", 0)) as control:
        address = Address(*control.getsockname())
        renewed_ms = asyncio.run(_last_renewal_ms(settings, address))
    whole_ms = settings.timing.drain_timeout_ms + 1000 * STOP_TIMEOUT_S
    assert whole_ms + renewed_ms < grace_s * 1000


async def _last_renewal_ms(settings, address):
    """Return the duration of the last renewal of a proxy."""
    view = FleetView(
        DaemonId(settings.daemon), settings.location, lambda: False
    )
    reports = types.SimpleNamespace(
        down_endpoints=lambda: (), released_endpoints=lambda: ()
    )
    link = ControlLink(
        settings.model_copy(update={"control": (address,)}),
        view,
        DaemonLease(),
        reports,
        NoMetrics(),
        trace.NoOpTracer(),
    )
    started_s = time.monotonic()
    await link.on_stop()
    return 1000 * (time.monotonic() - started_s)


def test_default_limit_of_the_whole_drain_includes_the_answers():
    """Defaults must not end the whole drain with its first phase.

    Otherwise statements are cut at the limit for open transactions.
    """
    entry = EntrySettings(token_secret="0" * 32)
    answered_ms = entry.drain_timeout_ms + entry.drain_answer_timeout_ms
    assert answered_ms < ProxyTimingSettings().drain_timeout_ms
