"""Connections to the platform's database servers."""

import asyncio
import collections
from collections.abc import Sequence
import contextlib
import dataclasses

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._endpoint_errors import EndpointFull
from waxwinglift.connection._endpoint_errors import EndpointMismatch
from waxwinglift.connection._endpoint_errors import EndpointRefused
from waxwinglift.connection._endpoint_errors import OPEN_ERRORS
from waxwinglift.platform import _lines
from waxwinglift.process import Address
from waxwinglift.process import Registry
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import EndpointError
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import Position
from waxwinglift.version._types import WorkspaceName

# Name sent where no workspace is known; servers accept any name.
_CLIENT_NAME = "waxwinglift"
# Needs no slot and has no effect outside a transaction.
_PROBE = Command(CommandKind.ROLLBACK)

_REFUSALS = {
    EndpointErrorCode.CONNECTION_LIMIT: EndpointFull,
    EndpointErrorCode.WRONG_ENDPOINT: EndpointMismatch,
}

# Functions ``(command) -> bytes`` by kind of command; they return the text of
# the command's statement.
_TEXTS = Registry()
_text_of = _TEXTS.register


@_text_of(CommandKind.CALLER)
def _caller_text(command):
    return command.text


@_text_of(CommandKind.EXECUTE)
def _execute_text(command):
    return b"EXECUTE %s %s" % (command.name, command.arguments)


@_text_of(CommandKind.BEGIN)
def _begin_text(command):
    return b"BEGIN"


@_text_of(CommandKind.BEGIN_READ)
def _begin_read_text(command):
    return b"BEGIN READ"


@_text_of(CommandKind.ROLLBACK)
def _rollback_text(command):
    return b"ROLLBACK"


@_text_of(CommandKind.SET)
def _set_text(command):
    return b"SET %s %s" % (command.name, command.arguments)


@_text_of(CommandKind.PREPARE)
def _prepare_text(command):
    access = b"WRITE" if command.shape.is_write else b"READ"
    return b"PREPARE %s %s %s" % (command.name, access, command.shape.shape)


@_text_of(CommandKind.RESET)
def _reset_text(command):
    return b"RESET"


@_text_of(CommandKind.STATUS)
def _status_text(command):
    return b"STATUS"


@_text_of(CommandKind.FENCE)
def _fence_text(command):
    return b"PAUSE %d" % command.term


@_text_of(CommandKind.UNFENCE)
def _unfence_text(command):
    return b"RESUME"


def encode_command(command: Command) -> bytes:
    """Return the line of a command."""
    request = command.request or _lines.EMPTY_FIELD
    text = _TEXTS[command.kind](command)
    if command.after is not None:
        position = _lines.encode_position(command.after)
        text = b"AFTER %s %s" % (position, text)
    return b"QUERY %s %s\r\n" % (request, text)


@dataclasses.dataclass(slots=True)
class _Exchange:
    """Commands that were sent together and wait for their replies."""

    count: int
    future: asyncio.Future
    replies: list[Reply] = dataclasses.field(default_factory=list)


class EndpointConnection(_lines.LineProtocol):
    """One connection to a server; replies arrive in the order of commands.

    ``position`` is the position that the server reported last.  ``on_lost``
    is called when the connection ends.
    """

    def __init__(self):
        super().__init__()
        self.on_lost = None
        self.position: Position | None = None
        self._exchanges = collections.deque()
        self._rows: list[bytes] = []
        self._receipt = b""
        self._error: EndpointError | None = None
        self._is_closed = False
        self.on_ended = self._on_connection_ended

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open on both sides."""
        return not (self._is_closed or self.is_ended)

    async def run(self, commands: Sequence[Command]) -> list[Reply]:
        """Send the commands in one write and return their replies.

        Raises
        ------
        EndpointConnectionLost
            The connection ended before all replies had arrived.
        """
        future = asyncio.get_running_loop().create_future()
        self._send(commands, future)
        return await future

    def probe(self, on_probed):
        """Send a command that needs no slot.

        ``on_probed`` is called with whether a reply arrived.
        """
        if not self.is_usable:
            asyncio.get_running_loop().call_soon(on_probed, False)
            return
        future = asyncio.get_running_loop().create_future()
        future.add_done_callback(
            lambda done: on_probed(done.exception() is None)
        )
        self._send((_PROBE,), future)

    def close(self):
        """Close now; running commands raise EndpointConnectionLost."""
        if self._is_closed:
            return
        self._is_closed = True
        if self.transport is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self.transport.write(b"TERMINATE\r\n")
                self.transport.close()
                # Bytes that an unresponsive server does not read would keep
                # the socket open.
                if self.transport.get_write_buffer_size():
                    self.transport.abort()
        self._end()

    def _handle_lines(self):
        """Process the lines of replies immediately."""
        while self._lines and self.is_usable:
            line = self._lines.popleft()
            try:
                self._add_to_reply(line)
            except (ValueError, IndexError):
                # A line that is too long is None and raises ValueError too.
                self.close()

    def _send(self, commands, future):
        if not self.is_usable:
            future.set_exception(
                EndpointConnectionLost("the connection is already closed")
            )
            return
        self._exchanges.append(_Exchange(len(commands), future))
        data = b"".join(encode_command(command) for command in commands)
        self.transport.write(data)

    def _add_to_reply(self, line):
        if line is None:
            raise ValueError("a line is too long")
        word, rest = _lines.split_word(line)
        if word == _lines.LineKind.ROW.value:
            self._rows.append(rest)
        elif word == _lines.LineKind.COMPLETE.value:
            self._receipt = rest
        elif word == _lines.LineKind.ERROR.value:
            self._error = decode_error(rest)
        elif word == _lines.LineKind.READY.value:
            self._finish_reply(rest)
        else:
            raise ValueError("unknown word")

    def _finish_reply(self, rest):
        state, _, field = rest.partition(b" ")
        status = TransactionStatus(state.decode())
        position = _lines.decode_position(field)
        if position is not None:
            self.position = position
        answer = StatementAnswer(tuple(self._rows), self._receipt, self._error)
        self._rows = []
        self._receipt, self._error = b"", None
        exchange = self._exchanges[0]
        exchange.replies.append(Reply(answer, status, position))
        if len(exchange.replies) == exchange.count:
            self._exchanges.popleft()
            if not exchange.future.done():
                exchange.future.set_result(exchange.replies)

    def _on_connection_ended(self):
        exchanges, self._exchanges = self._exchanges, collections.deque()
        for exchange in exchanges:
            if not exchange.future.done():
                error = EndpointConnectionLost("the connection has ended")
                exchange.future.set_exception(error)
        if self.on_lost is not None:
            self.on_lost()


def decode_error(rest: bytes) -> EndpointError:
    """Return the error of an ERROR line, given without its first word."""
    code, _, text = rest.partition(b" ")
    known = _lines.ENDPOINT_ERRORS.get(code, EndpointErrorCode.OTHER)
    return EndpointError(known, text)


async def open_connection(
    address: Address,
    group: GroupName,
    endpoint: EndpointId,
    workspace: WorkspaceName | None = None,
) -> EndpointConnection:
    """Open a connection to the server with this id, for one workspace or none.

    Raises
    ------
    EndpointRefused
        No connection could be opened, the server refused it, or another
        server uses the address.
    """
    startup = _encode_startup(group, endpoint, workspace or _CLIENT_NAME)
    loop = asyncio.get_running_loop()
    try:
        transport, connection = await loop.create_connection(
            EndpointConnection, address.host, address.port
        )
    except OPEN_ERRORS as error:
        raise EndpointRefused(str(error)) from error
    try:
        await _start(connection, startup)
    except BaseException:
        transport.abort()
        raise
    return connection


def _encode_startup(group, endpoint, client):
    """Return the line; names from operators and servers may be no fields."""
    try:
        fields = group.encode(), client.encode(), endpoint.encode()
    except UnicodeEncodeError as error:
        raise EndpointRefused(str(error)) from error
    is_field = all(fields) and b" " not in fields[0] + fields[1]
    if not is_field or any(b"\r\n" in field for field in fields):
        raise EndpointRefused(
            f"the names {group!r} and {endpoint!r} cannot be sent"
        )
    return b"STARTUP %s %s %s\r\n" % fields


async def _start(connection, startup):
    future = asyncio.get_running_loop().create_future()
    connection._exchanges.append(_Exchange(1, future))
    connection.transport.write(startup)
    try:
        replies = await future
    except EndpointConnectionLost as error:
        server_error = connection._error
        if server_error is None:
            raise EndpointRefused(str(error)) from error
        exception_type = _REFUSALS.get(server_error.code, EndpointRefused)
        raise exception_type(server_error.code.value) from error
    server_error = replies[0].answer.error
    if server_error is not None:
        exception_type = _REFUSALS.get(server_error.code, EndpointRefused)
        raise exception_type(server_error.code.value)
