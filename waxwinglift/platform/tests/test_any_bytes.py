"""Guards that statements and rows pass through the proxies unchanged.

A line ends at CR LF and nowhere else, so all other bytes are data.
"""

import asyncio
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from waxwinglift.platform import _lines
from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.platform.tests.test_lines import feed
from waxwinglift_standin.platform import _session

SEED = 1
PAYLOADS_COUNT = 60
# Bytes that other parsers take for the end of a line, a field or a text.
_SPECIAL = (b"\n", b"\r", b"\0", b" ", b"\x0b", b"\x1c", b"\x85", b"-", b"")


def make_payloads():
    """Return random data of several special and other bytes."""
    rng = random.Random(SEED)
    payloads = [
        b"\n",
        b"\r",
        b"\0",
        b"a\r\rb\n\nc",
        b"ends with CR\r",
        b"October\nQUERY smuggled WRITE payout-9999 1000000",
        b"October\rQUERY smuggled WRITE payout-9999 1000000",
    ]
    while len(payloads) < PAYLOADS_COUNT:
        pieces = [
            rng.choice(_SPECIAL) + rng.randbytes(rng.randrange(3))
            for _ in range(rng.randrange(1, 9))
        ]
        payload = b"".join(pieces)
        if payload and b"\r\n" not in payload:
            payloads.append(payload)
    return payloads


async def _write(caller, data):
    return b"WRITE 1a4 " + data


async def _execute(caller, data):
    await caller.query("PREPARE w WRITE q1")
    return b"EXECUTE w 1a4 " + data


async def _execute_shape(caller, data):
    assert (await caller.query_bytes(b"PREPARE v WRITE " + data)).is_success
    return b"EXECUTE v 1a4 " + data


@pytest.mark.parametrize("proxy_count", [1, 2])
@pytest.mark.parametrize("make", [_write, _execute, _execute_shape])
def test_data_of_a_write_is_not_taken_for_lines(
    monkeypatch, make, proxy_count
):
    """No byte of a statement's data may end its line early.

    The rest of the data would run as a statement that nobody has sent, and
    the statement itself with its data cut off.
    """
    ran = []
    original = _session.ServerSession._query

    async def record(session, rest):
        ran.append(rest)
        await original(session, rest)

    monkeypatch.setattr(_session.ServerSession, "_query", record)

    async def scenario():
        async with running_statement_fleet(proxy_count=proxy_count) as fleet:
            async with fleet.connected("pay") as caller:
                for data in make_payloads():
                    await _check(caller, data)

    async def _check(caller, data):
        statement = await make(caller, data)
        ran.clear()
        answer = await caller.query_bytes(statement)
        assert answer.is_success
        # The proxies' own statements have no request id.
        (sent,) = [rest for rest in ran if not rest.startswith(b"- ")]
        verb = statement.partition(b" ")[0]
        assert sent.startswith(b"%s %s " % (answer.request, verb))
        assert sent.endswith(b" 1a4 " + data)
        read = await caller.query("READ 1a4")
        assert read.rows == (data,)

    asyncio.run(scenario())


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    st.lists(st.binary().filter(lambda line: b"\r\n" not in line)),
    st.lists(st.integers(1, 7), min_size=1),
)
def test_lines_of_any_bytes_are_read_as_they_were_sent(lines, sizes):
    """However the bytes arrive, neither more nor fewer lines may result."""
    data = b"".join(line + b"\r\n" for line in lines)
    pieces, start = [], 0
    while start < len(data):
        size = sizes[len(pieces) % len(sizes)]
        pieces.append(data[start : start + size])
        start += size

    async def work():
        protocol = feed(*pieces)
        protocol.connection_lost(None)
        received = []
        while (line := await protocol.read_line()) is not None:
            received.append(line)
        return received

    assert asyncio.run(work()) == lines


def test_end_of_an_oversized_line_may_arrive_in_two_parts():
    """The line after an oversized one must not be skipped with it."""

    async def work():
        protocol = feed(
            b"x" * (_lines.LINE_LIMIT_BYTES + 1) + b"\r", b"\nNEXT\r\n"
        )
        with pytest.raises(_lines.LineTooLong):
            await protocol.read_line()
        return await protocol.read_line()

    assert asyncio.run(work()) == b"NEXT"
