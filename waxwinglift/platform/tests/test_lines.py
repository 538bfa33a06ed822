"""Tests how the bytes of a connection are split into lines and fields."""

import asyncio

import pytest

from waxwinglift.connection import TransactionStatus
from waxwinglift.platform import _lines
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term


class FakeTransport(asyncio.Transport):
    """Records written bytes and whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.written = bytearray()
        self.is_reading_paused = False

    def write(self, data):
        self.written += data

    def pause_reading(self):
        self.is_reading_paused = True

    def resume_reading(self):
        self.is_reading_paused = False

    def close(self):
        pass


def feed(*pieces):
    """Return a protocol that has received the pieces."""
    protocol = _lines.LineProtocol()
    protocol.connection_made(FakeTransport())
    for piece in pieces:
        protocol.data_received(piece)
    return protocol


@pytest.mark.parametrize(
    "pieces, lines",
    [
        ((b"A\r\nB\r\n",), [b"A", b"B"]),
        ((b"A", b" b c\r", b"\nD"), [b"A b c"]),
        ((b"only LF\n",), []),
        ((b"only LF\n", b"more\r\n"), [b"only LF\nmore"]),
        ((b"only CR\rmore\r", b"\r\n"), [b"only CR\rmore\r"]),
        ((b"\r\n",), [b""]),
        ((b"half a line",), []),
    ],
)
def test_pieces_become_lines(pieces, lines):
    """A line that is split over packets must not be lost or truncated."""

    async def work():
        protocol = feed(*pieces)
        return [await protocol.read_line() for _ in lines]

    assert asyncio.run(work()) == lines


@pytest.mark.parametrize(
    "long_pieces",
    [
        (b"x" * (_lines.LINE_LIMIT_BYTES + 1) + b"\r\nNEXT\r\n",),
        (b"x" * _lines.LINE_LIMIT_BYTES, b"y" * 9, b"z\r\nNEXT\r\n"),
    ],
)
def test_line_beyond_the_limit_is_skipped(long_pieces):
    """The line after an oversized one must still be read."""

    async def work():
        protocol = feed(*long_pieces)
        with pytest.raises(_lines.LineTooLong):
            await protocol.read_line()
        return await protocol.read_line()

    assert asyncio.run(work()) == b"NEXT"


def test_reading_from_a_fast_peer_is_paused():
    """A peer that sends lines too fast must not exhaust the memory."""

    async def work():
        protocol = feed(b"A\r\n" * 100)
        was_paused = protocol.transport.is_reading_paused
        for _ in range(100):
            await protocol.read_line()
        return was_paused, protocol.transport.is_reading_paused

    assert asyncio.run(work()) == (True, False)


def test_last_line_is_readable_after_the_connection_ends():
    """A statement sent just before the close must still be received."""

    async def work():
        protocol = feed(b"LAST\r\n")
        protocol.connection_lost(None)
        return await protocol.read_line(), await protocol.read_line()

    assert asyncio.run(work()) == (b"LAST", None)


@pytest.mark.parametrize(
    "field, position",
    [
        (b"-", None),
        (b"3.1207", Position(Term(3), Lsn(1207))),
        (b"0.0", Position(Term(0), Lsn(0))),
    ],
)
def test_position_round_trip(field, position):
    """Decoding an encoded position returns the same position."""
    assert _lines.decode_position(field) == position
    assert _lines.encode_position(position) == field


@pytest.mark.parametrize("field", [b"", b"3", b"a.b", b"3.", b".7"])
def test_malformed_position(field):
    """A malformed position must not be taken for another one."""
    with pytest.raises(ValueError):
        _lines.decode_position(field)


@pytest.mark.parametrize(
    "field",
    [
        b"-1.2",
        b"1.-2",
        b"+1.2",
        b" 1.2",
        b"1_0.2",
        b"18446744073709551616.1",
        b"1.18446744073709551616",
        b"1." + b"9" * 5000,
    ],
    ids=[
        "negative term",
        "negative number",
        "plus sign",
        "blank",
        "underscore",
        "term beyond 64 bits",
        "number beyond 64 bits",
        "thousands of digits",
    ],
)
def test_position_that_cannot_be_sent(field):
    """A position that the proxies cannot exchange must not become a floor."""
    with pytest.raises(ValueError):
        _lines.decode_position(field)


def test_largest_position():
    """A bound below the storage of a position would close connections."""
    field = b"18446744073709551615.18446744073709551615"
    assert _lines.encode_position(_lines.decode_position(field)) == field


@pytest.mark.parametrize(
    "status, line",
    [
        (TransactionStatus.IDLE, b"READY I -\r\n"),
        (TransactionStatus.IN_TRANSACTION, b"READY T -\r\n"),
        (TransactionStatus.FAILED, b"READY E -\r\n"),
    ],
)
def test_ready_line(status, line):
    """Each state is encoded as the letter that callers expect."""
    assert _lines.encode_ready(status, None) == line
