"""Stand-in server, which runs inside a test or in its own process."""

import asyncio
import contextlib
import dataclasses
import logging
import re

import pygwire
from pygwire import messages as pg
from waxwinglift.connection import SessionId
from waxwinglift.process import Address
from waxwinglift.process._listener import close_listener
from waxwinglift_standin.connection import ReplicationReceiver
from waxwinglift_standin.connection import ReplicationSender
from waxwinglift_standin.connection import Session
from waxwinglift_standin.connection import SessionData
from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState
from waxwinglift_standin.connection import error_message
from waxwinglift_standin.connection import read_startup
from waxwinglift_standin.connection import startup_reply
from waxwinglift_standin.process._settings import StandinSettings
from waxwinglift_standin.request import Executor
from waxwinglift_standin.request import prepare_fault
from waxwinglift_standin.version import Database
from waxwinglift_standin.version import open_store
from waxwinglift_standin.version import ServerState

_LOG = logging.getLogger(__name__)
_SERVER_PARAMETERS = {
    "server_version": "15.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "TimeZone": "UTC",
    "IntervalStyle": "postgres",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "default_transaction_read_only": "off",
}
_OPTION_PATTERN = re.compile(r"-c\s*([\w.]+)=(\S+)")


class StandinServer:
    """Stand-in for one database server of a group.

    Parameters
    ----------
    settings : StandinSettings
        Settings of the server.
    """

    def __init__(self, settings):
        self.settings = settings
        self.state = None
        self._executor = Executor()
        self._listener = None
        self._is_stopped = False
        self._tasks = set()
        self._next_id = 0
        self._files = contextlib.ExitStack()

    @property
    def address(self):
        """Address that the server listens on."""
        host, port = self._listener.sockets[0].getsockname()[:2]
        return Address(host, port)

    def set_fault(self, name, value):
        """Set a fault, as standin_fault() does.

        Raises
        ------
        SqlError
            If the fault is unknown or its value invalid.
        """
        prepare_fault(self.state, name, value)()

    async def start(self):
        """Load the log and start to listen."""
        self._is_stopped = False
        executor = self._executor
        database = Database(executor.install, executor.function_calls)
        store = self._files.enter_context(open_store(self.settings.data_file))
        self.state = ServerState(self.settings, database, store)
        executor.attach(self.state)
        self.state.load()
        address = self.settings.address
        self._listener = await asyncio.start_server(
            self._accept, str(address.host), address.port, backlog=1000
        )
        for name, value in self.settings.faults.items():
            self.set_fault(name, value)
        self.start_task(self.state.replay_received())
        self.start_task(ReplicationReceiver(self.state).run())

    async def stop(self):
        """Report the shutdown to the sessions, unless frozen, and stop."""
        if self.state.unfrozen.is_set():
            for session in self.state.sessions.values():
                session.send_shutdown_error()
        await self.kill()

    async def kill(self):
        """Stop without a report to the sessions, as in a crash."""
        self._is_stopped = True
        await close_listener(self._listener)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.state.database.close()
        self._files.close()

    def start_task(self, coroutine):
        """Run a coroutine until it ends or the server stops."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._remove_task)
        return task

    def _remove_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("background task failed", exc_info=task.exception())

    def _accept(self, reader, writer):
        if self._is_stopped:
            writer.close()
            return
        task = self.start_task(self._serve(reader, writer))
        # A task that is cancelled before its first step cannot close the
        # connection itself.
        task.add_done_callback(lambda _: writer.close())

    async def _serve(self, reader, writer):
        try:
            await self.state.unfrozen.wait()
            started = await read_startup(reader, writer)
            await self.state.unfrozen.wait()
            await self._serve_first_message(reader, writer, started)
        except pygwire.PygwireError as error:
            failure = SqlError(SqlState.PROTOCOL_VIOLATION, str(error))
            writer.write(error_message(failure, "FATAL").to_wire())
        except ConnectionError as error:
            _LOG.debug("connection lost", extra={"reason": str(error)})
        except Exception:
            _LOG.exception("connection ended by an unexpected error")

    async def _serve_first_message(self, reader, writer, started):
        message = started.message
        if isinstance(message, pg.CancelRequest):
            self._cancel_statement(message)
        elif "replication" in message.params:
            await self._serve_replica(reader, writer, started)
        else:
            await self._serve_session(reader, writer, started)

    async def _serve_replica(self, reader, writer, started):
        self._next_id += 1
        name = started.message.params.get("application_name", "")
        sender = ReplicationSender(
            self.state, self._next_id, name, reader, writer, started.decoder
        )
        await sender.serve()

    def _cancel_statement(self, request):
        session = self.state.sessions.get(request.process_id)
        if session is None or session.secret_key != request.secret_key:
            return
        text = "canceling statement due to user request"
        session.cancel(SqlError(SqlState.CANCELLED, text))

    async def _serve_session(self, reader, writer, started):
        state = self.state
        if len(state.sessions) >= self.settings.connection_limit_count:
            text = "sorry, too many clients already"
            error = SqlError(SqlState.TOO_MANY_CONNECTIONS, text)
            writer.write(error_message(error, "FATAL").to_wire())
            await writer.drain()
            return
        self._next_id += 1
        data = SessionData(
            id=SessionId(self._next_id),
            parameters=_session_parameters(started.message.params),
            start_parameters=_session_parameters(started.message.params),
        )
        session = Session(
            data,
            self._executor,
            reader,
            writer,
            started.decoder,
            state.unfrozen,
        )
        state.sessions[data.id] = session
        try:
            await self._reply_to_startup(writer, started, session)
            await session.serve()
        finally:
            del state.sessions[data.id]

    async def _reply_to_startup(self, writer, started, session):
        delay_ms = self.settings.connect_delay_ms
        delay_ms *= self.state.faults.slow_factor
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        await self.state.unfrozen.wait()
        parameters = dict(_SERVER_PARAMETERS)
        parameters["in_hot_standby"] = (
            "on" if self.state.in_recovery else "off"
        )
        name = started.message.params.get("application_name", "")
        parameters["application_name"] = name
        key = session.secret_key
        writer.write(startup_reply(parameters, session.data.id, key))
        await writer.drain()


def _session_parameters(params):
    defaults = {
        name.lower(): value for name, value in _SERVER_PARAMETERS.items()
    }
    defaults |= {"application_name": "", "search_path": "public"}
    options = dict(_OPTION_PATTERN.findall(params.get("options", "")))
    parameters = options | params
    return defaults | {
        name.lower(): value for name, value in parameters.items()
    }


@contextlib.asynccontextmanager
async def running_server(settings):
    """Yield a listening server and stop it afterwards."""
    server = StandinServer(settings)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


def _server_settings(number, **values):
    defaults = {
        "id": f"server-{number}",
        "group": "group",
        "address": {"host": "127.0.0.1", "port": 0},
        "data_centre": "dc-1",
        "region": "region-1",
        "connect_delay_ms": 0,
        "statement_delay_ms": 0,
    }
    return StandinSettings(**(defaults | values))


@contextlib.asynccontextmanager
async def running_group(size=3, **overrides):
    """Yield the servers of a group, primary first, once all replicas stream.

    Parameters
    ----------
    size : int
        Number of servers.
    **overrides
        Settings for every server, in place of the defaults: loopback address
        with a free port, no delays, no control daemons.
    """
    overrides = {"group_size_count": size} | overrides
    async with contextlib.AsyncExitStack() as stack:
        settings = _server_settings(1, **overrides)
        primary = await stack.enter_async_context(running_server(settings))
        replicas = []
        for number in range(2, size + 1):
            role = {
                "initial_role": "replica",
                "primary_address": dataclasses.asdict(primary.address),
            }
            settings = _server_settings(number, **(overrides | role))
            server = running_server(settings)
            replicas.append(await stack.enter_async_context(server))
        state = primary.state
        await state.wait_until(lambda: len(state.replicas) == size - 1)
        yield [primary, *replicas]
