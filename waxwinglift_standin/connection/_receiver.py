"""Replica's side of a replication stream."""

import asyncio
import collections
import contextlib
import logging
import re

import pygwire
from pygwire import messages as pg
from waxwinglift.process import Address
from waxwinglift_standin.connection import _stream as stream
from waxwinglift_standin.version import find_divergence

_LOG = logging.getLogger(__name__)
_CONNECT_TIMEOUT_S = 2.0
# Logs that have diverged stay so until the primary changes, which is rare.
_DIVERGED_RETRY_S = 1.0
_CONNECTION_ERRORS = (OSError, TimeoutError, ValueError, pygwire.PygwireError)


class DivergenceError(Exception):
    """This server's log has diverged from the primary's log."""


def parse_conninfo(text):
    """Return the Address of the server in a connection string.

    Raises
    ------
    ValueError
        If host or port is missing or the port is not a number.
    """
    parts = dict(re.findall(r"(\w+)\s*=\s*'?([^\s']*)'?", text))
    if "host" not in parts or "port" not in parts:
        # The connection string may contain a password.
        raise ValueError("connection string must contain host and port")
    return Address(parts["host"], int(parts["port"]))


class ReplicationReceiver:
    """Receives the log from the primary that the connection string names.

    Parameters
    ----------
    state : ServerState
        State of this server.
    """

    def __init__(self, state):
        self._state = state
        self._pending_records = collections.deque()
        self._record_arrived = asyncio.Event()
        self._logged_divergence = None

    async def run(self):
        """Receive the log, and reconnect after each failure."""
        while True:
            conninfo = await self._wait_for_primary()
            pause_s = self._state.settings.receiver_retry_ms / 1000
            try:
                await stream.run_until_first(
                    self._follow(conninfo),
                    self._wait_for_primary_change(conninfo),
                )
            except DivergenceError as error:
                self._log_divergence(conninfo, str(error))
                pause_s = _DIVERGED_RETRY_S
            except _CONNECTION_ERRORS as error:
                _LOG.debug("replication lost", extra={"reason": str(error)})
            await self._wait_before_retry(conninfo, pause_s)

    def _should_follow(self, conninfo):
        state = self._state
        return (
            state.in_recovery
            and bool(conninfo)
            and conninfo == state.primary_conninfo
            and not state.faults.is_replication_cut
        )

    async def _wait_for_primary(self):
        while not self._should_follow(self._state.primary_conninfo):
            await self._state.changed.wait()
        return self._state.primary_conninfo

    async def _wait_for_primary_change(self, conninfo):
        while self._should_follow(conninfo):
            await self._state.changed.wait()

    async def _wait_before_retry(self, conninfo, pause_s):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._wait_for_primary_change(conninfo)

    def _log_divergence(self, conninfo, reason):
        if self._logged_divergence != (conninfo, reason):
            self._logged_divergence = (conninfo, reason)
            _LOG.error("cannot follow the primary: %s", reason)

    async def _follow(self, conninfo):
        address = parse_conninfo(conninfo)
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
        with contextlib.closing(writer):
            self._send_start(writer)
            decoder = pygwire.BackendMessageDecoder()
            decoder.phase = pygwire.ConnectionPhase.SIMPLE_QUERY
            messages = stream.read_copy_data(reader, decoder)
            async with contextlib.aclosing(messages):
                await self._check_history(messages)
                await self._receive(address, messages, writer)

    def _send_start(self, writer):
        parameters = {
            "user": "standin",
            "replication": "true",
            "application_name": self._state.settings.id,
        }
        writer.write(pg.StartupMessage(parameters).to_wire())

    async def _next_message(self, messages):
        async with asyncio.timeout(stream.RECEIVER_TIMEOUT_S):
            return await anext(messages, None)

    async def _check_history(self, messages):
        data = await self._next_message(messages)
        if data is None:
            raise ConnectionError("the primary closed the replication stream")
        log = self._state.log
        upstream, upstream_end = stream.decode_history(data)
        reason = find_divergence(
            log.history, log.end_lsn, upstream, upstream_end
        )
        if reason is not None:
            raise DivergenceError(reason)

    async def _receive(self, address, messages, writer):
        state = self._state
        self._pending_records.clear()
        state.receiver = address
        _LOG.info("replication started", extra={"primary": str(address)})
        state.notify_change()
        try:
            await stream.run_until_first(
                self._read_records(messages),
                self._append_records(address),
                self._report_positions(writer),
            )
        finally:
            if state.receiver is address:
                state.receiver = None
            state.notify_change()

    async def _read_records(self, messages):
        loop = asyncio.get_running_loop()
        while True:
            data = await self._next_message(messages)
            if data is None:
                return
            if data != stream.KEEPALIVE:
                record = stream.decode_record(data)
                self._pending_records.append((loop.time(), record))
                self._record_arrived.set()

    async def _append_records(self, address):
        state = self._state
        while True:
            if not self._pending_records:
                self._record_arrived.clear()
                await self._record_arrived.wait()
            arrived_s, record = self._pending_records[0]
            await state.wait_lag(arrived_s, "receive_lag_ms")
            # A fenced server must not append a record after it has reported
            # that its receiver stopped.
            if state.receiver is not address:
                return
            self._pending_records.popleft()
            state.receive(record)

    async def _report_positions(self, writer):
        state, reported = self._state, None
        while True:
            changed = state.changed
            await state.unfrozen.wait()
            positions = (state.log.end_lsn, state.replay_lsn)
            if positions != reported:
                status = stream.encode_status(*positions)
                writer.write(pg.CopyData(status).to_wire())
                await writer.drain()
                reported = positions
            await changed.wait()
