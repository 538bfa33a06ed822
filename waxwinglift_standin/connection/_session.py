"""Server side of one caller's connection in the PostgreSQL protocol."""

import asyncio
import secrets

import pygwire
from pygwire import messages as pg
from waxwinglift_standin.connection import _values as values
from waxwinglift_standin.connection._types import SqlError
from waxwinglift_standin.connection._types import SqlState

READ_BYTES = 65536
REPORTED_PARAMETERS = {
    "application_name": "application_name",
    "client_encoding": "client_encoding",
    "datestyle": "DateStyle",
    "default_transaction_read_only": "default_transaction_read_only",
    "timezone": "TimeZone",
}
MESSAGE_HANDLERS = {}


def on_message(message_type):
    """Register the handler of a message type."""

    def decorator(handler):
        MESSAGE_HANDLERS[message_type] = handler
        return handler

    return decorator


def error_message(error, severity="ERROR"):
    """Return the ErrorResponse of a SqlError."""
    return pg.ErrorResponse(
        {
            "S": severity,
            "V": severity,
            "C": error.state.value,
            "M": error.message,
        }
    )


class Session:
    """Handles the messages of one connection after its start-up.

    Parameters
    ----------
    data : SessionData
        Session state that statements read and change.
    executor : Executor
        Parses, describes and runs statements.
    reader, writer : asyncio streams
        The connection.
    decoder : pygwire.FrontendMessageDecoder
        Decoder that has read the start-up message.
    unfrozen : asyncio.Event
        Cleared while the server is frozen.
    """

    def __init__(self, data, executor, reader, writer, decoder, unfrozen):
        self.data = data
        self.executor = executor
        self.is_silent = False
        self.skips_to_sync = False
        self.secret_key = secrets.token_bytes(4)
        self._unfrozen = unfrozen
        self._reader = reader
        self._writer = writer
        self._decoder = decoder
        self._output = bytearray()
        self._running_task = None
        self._cancel_error = None

    @property
    def application_name(self):
        """Name that the caller has set at start-up or by SET."""
        return self.data.parameters.get("application_name", "")

    @property
    def is_running(self):
        """Whether a statement is running."""
        return self._running_task is not None

    def buffer(self, message):
        """Append a message to the output."""
        self._output += message.to_wire()

    def buffer_ready(self):
        """Append changed parameters and ReadyForQuery to the output."""
        for name in self.data.changed_parameters:
            if name in REPORTED_PARAMETERS:
                value = self.data.parameters[name]
                reported = REPORTED_PARAMETERS[name]
                self.buffer(pg.ParameterStatus(reported, value))
        self.data.changed_parameters.clear()
        status = pygwire.TransactionStatus(self.data.status.value)
        self.buffer(pg.ReadyForQuery(status))

    def buffer_error(self, error):
        """Append an ErrorResponse and mark the transaction as failed.

        An implicit transaction is rolled back.  A shutdown error is sent
        immediately and ends the connection.

        Raises
        ------
        ConnectionResetError
            If `error` reports that the server is shutting down.
        """
        self.executor.fail(self.data)
        if error.state is SqlState.SHUTTING_DOWN:
            self._close_with_error(error)
        self.buffer(error_message(error))

    def _close_with_error(self, error):
        # PostgreSQL closes the connection without sending ReadyForQuery.
        self.buffer(error_message(error, "FATAL"))
        self._writer.write(bytes(self._output))
        self._output.clear()
        raise ConnectionResetError(error.message)

    async def flush(self):
        """Send the output, then run the actions that had to wait for it."""
        await self._wait_until_responsive()
        self._writer.write(bytes(self._output))
        self._output.clear()
        await self._writer.drain()
        actions = list(self.data.after_response)
        self.data.after_response.clear()
        for action in actions:
            action()

    async def _wait_until_responsive(self):
        """Wait while the server is frozen.

        A silent connection discards all input and raises when it ends.
        """
        if not self._unfrozen.is_set():
            await self._unfrozen.wait()
        if self.is_silent:
            await self._discard_input()
            raise ConnectionResetError("connection was silenced by a fault")

    async def _discard_input(self):
        while await self._reader.read(READ_BYTES):
            pass

    def cancel(self, error):
        """Cancel the running statement, which then fails with `error`."""
        if self._running_task is not None:
            self._cancel_error = error
            self._running_task.cancel()

    def disconnect(self):
        """Close the connection and roll back its open transaction."""
        text = "terminating connection due to administrator command"
        if not self.is_running:
            self.send_shutdown_error()
        self.cancel(SqlError(SqlState.SHUTTING_DOWN, text))
        self._reader.feed_eof()

    def send_shutdown_error(self):
        """Send the shutdown error, unless the connection is silent."""
        if not self.is_silent:
            text = "terminating connection due to administrator command"
            error = SqlError(SqlState.SHUTTING_DOWN, text)
            self._writer.write(error_message(error, "FATAL").to_wire())

    async def serve(self):
        """Handle messages until the connection ends."""
        try:
            while await self._serve_buffered():
                data = await self._reader.read(READ_BYTES)
                if not data:
                    return
                self._decoder.feed(data)
        finally:
            self.executor.rollback(self.data)

    async def _serve_buffered(self):
        for message in self._decoder:
            await self._wait_until_responsive()
            if isinstance(message, pg.Terminate):
                return False
            await self.handle(message)
        if self._output:
            await self.flush()
        return True

    async def handle(self, message):
        """Handle one message."""
        handler = MESSAGE_HANDLERS.get(type(message))
        if handler is None:
            name = type(message).__name__
            text = f"message {name} is not supported"
            self.buffer_error(SqlError(SqlState.PROTOCOL_VIOLATION, text))
            return
        if self.skips_to_sync and type(message) is not pg.Sync:
            return
        await handler(self, message)

    async def run(self, statement, parameters, columns=None):
        """Run a statement until `cancel` or statement_timeout ends it."""
        task = asyncio.current_task()
        self._running_task = task
        timeout = self._start_timeout()
        try:
            return await self.executor.run(
                self.data, statement, parameters, columns
            )
        except asyncio.CancelledError:
            if self._cancel_error is None:
                raise
            task.uncancel()
            raise self._cancel_error from None
        finally:
            self._running_task = self._cancel_error = None
            if timeout is not None:
                timeout.cancel()

    def _start_timeout(self):
        value = self.data.parameters.get("statement_timeout", "0")
        timeout_ms = values.parse_duration_ms(value)
        if not timeout_ms:
            return None
        message = "canceling statement due to statement timeout"
        error = SqlError(SqlState.CANCELLED, message)
        loop = asyncio.get_running_loop()
        return loop.call_later(timeout_ms / 1000, self.cancel, error)

    def prepared(self, name):
        """Return a prepared statement.

        Raises
        ------
        SqlError
            If no prepared statement has this name (26000).
        """
        if name not in self.data.prepared:
            message = f'prepared statement "{name}" does not exist'
            raise SqlError(SqlState.UNKNOWN_STATEMENT, message)
        return self.data.prepared[name]

    def portal(self, name):
        """Return a portal.

        Raises
        ------
        SqlError
            If no portal has this name (34000).
        """
        if name not in self.data.portals:
            message = f'portal "{name}" does not exist'
            raise SqlError(SqlState.UNKNOWN_PORTAL, message)
        return self.data.portals[name]
