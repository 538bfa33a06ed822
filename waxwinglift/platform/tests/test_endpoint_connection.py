"""Tests the lines sent to database servers and the parsing of replies."""

import asyncio

import pytest

from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._endpoint_errors import EndpointRefused
from waxwinglift.platform._endpoint_connection import encode_command
from waxwinglift.platform._endpoint_connection import EndpointConnection
from waxwinglift.platform._endpoint_connection import open_connection
from waxwinglift.platform._protocols import decode_status
from waxwinglift.platform.tests.test_lines import FakeTransport
from waxwinglift.process import Address
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._statements import EndpointStatus
from waxwinglift.request._statements import PreparedShape
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term

_POSITION = Position(Term(3), Lsn(1207))


@pytest.mark.parametrize(
    "command, line",
    [
        (
            Command(CommandKind.CALLER, b"id1", b"READ 1a4", after=_POSITION),
            b"QUERY id1 AFTER 3.1207 READ 1a4\r\n",
        ),
        (
            Command(
                CommandKind.EXECUTE, b"id1", name=b"r_q", arguments=b"1a4"
            ),
            b"QUERY id1 EXECUTE r_q 1a4\r\n",
        ),
        (Command(CommandKind.BEGIN), b"QUERY - BEGIN\r\n"),
        (
            Command(CommandKind.BEGIN_READ, after=_POSITION),
            b"QUERY - AFTER 3.1207 BEGIN READ\r\n",
        ),
        (Command(CommandKind.ROLLBACK), b"QUERY - ROLLBACK\r\n"),
        (
            Command(CommandKind.SET, name=b"zone", arguments=b"a"),
            b"QUERY - SET zone a\r\n",
        ),
        (
            Command(
                CommandKind.PREPARE,
                name=b"w_q",
                shape=PreparedShape(True, b"q"),
            ),
            b"QUERY - PREPARE w_q WRITE q\r\n",
        ),
        (Command(CommandKind.RESET), b"QUERY - RESET\r\n"),
        (Command(CommandKind.STATUS), b"QUERY - STATUS\r\n"),
        (Command(CommandKind.FENCE, term=4), b"QUERY - PAUSE 4\r\n"),
    ],
)
def test_encode_command(command, line):
    """Commands are encoded with the caller's text unchanged."""
    assert encode_command(command) == line


def _connection():
    connection = EndpointConnection()
    connection.connection_made(FakeTransport())
    return connection


def _run(commands, data):
    """Return the replies to ``commands`` that ``data`` contains."""

    async def work():
        connection = _connection()
        running = asyncio.ensure_future(connection.run(commands))
        await asyncio.sleep(0)
        connection.data_received(data)
        connection.connection_lost(None)
        return await running

    return asyncio.run(work())


_READ = Command(CommandKind.CALLER, b"id1", b"READ 1a4")


@pytest.mark.parametrize(
    "data, rows, receipt, code, status",
    [
        (
            b"DATAROW a b\r\nDATAROW c\r\nCOMPLETE 7.1\r\nREADY I 3.9\r\n",
            (b"a b", b"c"),
            b"7.1",
            None,
            TransactionStatus.IDLE,
        ),
        (
            b"ERROR READONLY i-1\r\nREADY E 3.9\r\n",
            (),
            b"",
            EndpointErrorCode.READ_ONLY,
            TransactionStatus.FAILED,
        ),
        (
            b"ERROR SOMETHING new\r\nREADY T 3.9\r\n",
            (),
            b"",
            EndpointErrorCode.OTHER,
            TransactionStatus.IN_TRANSACTION,
        ),
    ],
)
def test_reply(data, rows, receipt, code, status):
    """Rows, receipt and state must come from the same reply."""
    (reply,) = _run([_READ], data)
    assert reply.answer.rows == rows
    assert reply.answer.receipt == receipt
    assert (reply.answer.error and reply.answer.error.code) == code
    assert reply.status is status
    assert reply.position == Position(Term(3), Lsn(9))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"DATAROW a\r\nCOMPLETE 7.1\r\n",
        b"DATAROW a\r\nCOMPLETE 7.1\r\nREADY I 3",
        b"WHAT is this\r\nREADY I 3.9\r\n",
        b"COMPLETE 7.1\r\nREADY X 3.9\r\n",
        b"COMPLETE 7.1\r\nREADY I nowhere\r\n",
    ],
)
def test_incomplete_or_malformed_reply_raises_connection_lost(data):
    """An incomplete or malformed reply must not count as complete."""
    with pytest.raises(EndpointConnectionLost):
        _run([_READ], data)


@pytest.mark.parametrize(
    "row, status",
    [
        (
            b"replica 3 3.1209 0 12 2 17",
            EndpointStatus(False, Term(3), Position(Term(3), Lsn(1209))),
        ),
        (
            b"primary 4 4.7 5 0 0 1 more",
            EndpointStatus(True, Term(4), Position(Term(4), Lsn(7)), 5),
        ),
        (
            # Promoted to term 2; its last write is older.
            b"primary 2 1.275 0 0 1 8",
            EndpointStatus(True, Term(2), Position(Term(1), Lsn(275))),
        ),
    ],
)
def test_decode_status(row, status):
    """Fencing during a change of primary depends on these fields."""
    assert decode_status(row) == status


@pytest.mark.parametrize(
    "row",
    [
        b"",
        b"replica 3",
        b"replica 3 - 0 1 1 1",
        b"replica - 3.1 0 1 1 1",
        b"replica 3 3.1 -1 1 1 1",
    ],
)
def test_malformed_status(row):
    """An unreadable row must not be taken for a position."""
    with pytest.raises(ValueError):
        decode_status(row)


@pytest.mark.parametrize("rows_count", [1, 65, 200, 1000])
def test_reply_with_many_rows_is_read_whole(rows_count):
    """A server may send any number of rows, in as many parts.

    If reading stopped after some of them, no statement on this connection
    would ever be answered again.
    """
    parts_count = 3

    served = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n")
        writer.write(b"READY I 1.1\r\n")
        while (await reader.readuntil(b"\r\n")).startswith(b"QUERY"):
            for _ in range(parts_count):
                writer.write(b"DATAROW x\r\n" * rows_count)
                await asyncio.sleep(0.02)
            writer.write(b"COMPLETE r\r\nREADY I 1.1\r\n")
        writer.close()
        served.set()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server, asyncio.timeout(5):
            port = server.sockets[0].getsockname()[1]
            connection = await open_connection(
                Address("127.0.0.1", port), "ledger", "i-1"
            )
            try:
                return [await connection.run([_READ]) for _ in range(2)]
            finally:
                connection.close()
                await served.wait()

    for (reply,) in asyncio.run(work()):
        assert len(reply.answer.rows) == parts_count * rows_count


@pytest.mark.parametrize(
    "group, endpoint",
    [
        ("ledger", "i-1\r\nQUERY id1 WRITE 1a4 x"),
        ("ledger\r\nQUERY id1 WRITE 1a4 x", "i-1"),
        ("ledger other", "i-1"),
        ("", "i-1"),
        ("ledger", ""),
        ("ledger", "\ud800"),
    ],
)
def test_name_that_is_no_field_is_refused(group, endpoint):
    """A name of another writer must not add fields or lines to STARTUP."""
    received = []

    async def serve(reader, writer):
        received.append(await reader.read(1000))
        writer.close()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            await open_connection(Address("127.0.0.1", port), group, endpoint)

    with pytest.raises(EndpointRefused):
        asyncio.run(work())
    assert not any(received)


@pytest.mark.parametrize(
    "host, port",
    [
        ("127.0.0.1", 65536),
        ("127.0.0.1", 2**64),
        ("h" * 100, 8080),
        ("h\0", 8080),
        ("\ud800", 8080),
    ],
    ids=[
        "port beyond 16 bits",
        "port beyond 64 bits",
        "long name",
        "null character",
        "lone surrogate",
    ],
)
def test_address_that_cannot_be_used_is_refused(host, port):
    """A stored address of another writer must not end a task of a proxy."""
    opened = open_connection(Address(host, port), "g", "i-1")
    with pytest.raises(EndpointRefused):
        asyncio.run(opened)
