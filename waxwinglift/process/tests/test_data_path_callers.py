"""Tests refusals, malformed packets and shutdown at the entry side."""

import asyncio
import struct

import psycopg
import pytest
from pygwire.messages import Sync

from waxwinglift.process.tests.data_path_fleet import POOL
from waxwinglift.process.tests.test_data_path import connect
from waxwinglift.process.tests.test_data_path import fetch
from waxwinglift.process.tests.test_data_path import run


@pytest.mark.parametrize(
    ("options", "conninfo", "text"),
    [
        ("rank=royal", {}, "has no rank"),
        ("access=maybe", {}, "must be read"),
        ("colour=red", {}, "unknown option"),
        ("token=v1.group.1.FF.00", {}, "signature"),
        ("deadline_ms=-1", {}, "milliseconds"),
        ("", {"dbname": "nowhere"}, "does not exist"),
        ("", {"dbname": "guarded", "password": "wrong"}, "wrong password"),
    ],
)
def test_invalid_start_up_is_refused(options, conninfo, text):
    # If an invalid option were ignored, the session would run at a wrong rank
    # or floor.
    async def scenario(servers, proxies):
        proxy = proxies[0]
        state = proxy.view.fleet
        state.set_pool("guarded", state.pools[POOL])
        with pytest.raises(psycopg.OperationalError) as caught:
            await connect(proxy, options, **conninfo)
        assert "verdict=not_run" in str(caught.value)
        assert text in str(caught.value)

    run(scenario, size=1, entry={"passwords": {"guarded": "right"}})


@pytest.mark.parametrize(
    ("statement", "sqlstate"),
    [
        ("SET waxwinglift.rank = 'royal'", "22023"),
        ("SET waxwinglift.token = 'v1.group.1.FF.00'", "22023"),
        ("SET waxwinglift.max_age_ms = 'old'", "22023"),
        ("SHOW waxwinglift.colour", "22023"),
        ("LISTEN news", "0A000"),
        ("COPY t FROM STDIN", "0A000"),
        ("PREPARE p AS SELECT 1", "0A000"),
        ("DEALLOCATE p", "26000"),
        ("SELEKT 1", "42601"),
    ],
)
def test_session_continues_after_a_refused_statement(statement, sqlstate):
    # After a refusal, the session must still be usable and each statement
    # must get its own answer.
    async def scenario(servers, proxies):
        async with await connect(proxies[0]) as caller:
            for _ in range(2):
                with pytest.raises(psycopg.Error) as caught:
                    await caller.execute(statement)
                assert caught.value.sqlstate == sqlstate
                assert await fetch(caller, "SELECT 1") == [(1,)]

    run(scenario, size=1)


def test_right_password_is_accepted():
    # The check must not refuse correct passwords as well.
    async def scenario(servers, proxies):
        arguments = {"password": "right"}
        async with await connect(proxies[0], **arguments) as caller:
            assert await fetch(caller, "SELECT 1") == [(1,)]

    run(scenario, size=1, entry={"passwords": {POOL: "right"}})


def _message(kind, payload, length=None):
    size = len(payload) + 4 if length is None else length
    return kind + struct.pack("!I", size) + payload


_STARTUP = struct.pack("!I", 196608) + b"user\0u\0database\0" + POOL.encode()
_STARTUP = _message(b"", _STARTUP + b"\0\0")


@pytest.mark.parametrize(
    "packet",
    [
        _message(b"", b"\x00\x00\x00\x00"),
        _message(b"", b"x" * 8, length=2**31),
        _message(b"", struct.pack("!I", 196608) + b"user"),
        _STARTUP + _message(b"Q", b"SELECT 1", length=3),
        _STARTUP + _message(b"Q", b"SELECT 1"),
        _STARTUP + _message(b"Q", b"\xff\xfe\0"),
        _STARTUP + _message(b"Q", b"SELECT 1\0", length=2**30),
        _STARTUP + _message(b"!", b"")[:1] + struct.pack("!I", 4),
        _STARTUP + _message(b"P", b"a\0SELECT 1\0\xff\xff"),
        _STARTUP + _message(b"B", b"\0missing\0\0\x05"),
        _STARTUP + _message(b"D", b""),
        _STARTUP + _message(b"P", b"\0S\0\0\0") * 200_000,
    ],
    ids=range(12),
)
def test_malformed_packet_affects_no_other_session(packet):
    # A faulty caller must neither stop the proxy nor end other sessions.
    async def scenario(servers, proxies):
        address = proxies[0].entry.address
        async with await connect(proxies[0]) as other:
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(packet)
            try:
                answer = await reader.read()
            except ConnectionResetError:
                # A reset may arrive before the answer is read.
                answer = b"C08P01\0 verdict=not_run"
            assert b"C08P01\0" in answer
            assert b"verdict=not_run" in answer
            writer.close()
            assert await fetch(other, "SELECT 1") == [(1,)]

    run(scenario, size=1, entry={"message_limit_bytes": 2**20})


def test_answers_to_skipped_messages_are_not_sent():
    # After an error the caller expects one ReadyForQuery for each Sync, and no
    # answers to the messages before it.
    async def scenario(servers, proxies):
        address = proxies[0].entry.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        parse = _message(b"P", b"\0SELECT * FROM missing\0\0\0")
        flush = _message(b"H", b"")
        describe = _message(b"D", b"S\0")
        cycle = parse + describe + flush
        writer.write(_STARTUP + cycle + cycle)
        writer.write(Sync().to_wire() + Sync().to_wire() + _message(b"X", b""))
        answer = await reader.read()
        writer.close()
        assert answer.count(b"C42P01\0") == 1
        # One after the start-up messages and one for each Sync.
        assert answer.count(b"Z\0\0\0\x05I") == 3

    run(scenario, size=1)


def test_refused_function_call_gets_one_ready_for_query():
    # Without exactly one ReadyForQuery, the caller would match later answers
    # to the wrong messages.
    async def scenario(servers, proxies):
        address = proxies[0].entry.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        call = _message(b"F", struct.pack("!IHHH", 1, 0, 0, 0))
        writer.write(_STARTUP + call + _message(b"X", b""))
        answer = await reader.read()
        writer.close()
        assert answer.count(b"C0A000\0") == 1
        assert answer.count(b"Z\0\0\0\x05I") == 2

    run(scenario, size=1)


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_drain_finishes_open_transactions(proxy_count):
    # A shutdown must not interrupt running statements or open blocks; only
    # new ones are refused.
    async def scenario(servers, proxies):
        proxy = proxies[0]
        async with (
            await connect(proxy) as idle,
            await connect(proxy) as busy,
            await connect(proxy) as block,
        ):
            await block.execute("CREATE TABLE t (id int)")
            await block.execute("BEGIN")
            work = asyncio.ensure_future(
                fetch(busy, "SELECT 1, pg_sleep(0.2)")
            )
            await asyncio.sleep(0.05)
            drain = asyncio.ensure_future(proxy.entry.drain())
            await asyncio.sleep(0.05)
            with pytest.raises(psycopg.OperationalError):
                await idle.execute("SELECT 1")
            with pytest.raises(psycopg.OperationalError):
                await connect(proxy)
            await block.execute("INSERT INTO t VALUES (1)")
            await block.execute("COMMIT")
            assert await work == [(1, "")]
            await drain
            assert proxy.entry.session_count == 0

    run(scenario, proxy_count=proxy_count)


def test_draining_owner_refuses_only_new_transactions():
    # Open transactions must finish before the next owner takes over; new ones
    # are refused.
    async def scenario(servers, proxies):
        async with await connect(proxies[0], "deadline_ms=300") as caller:
            await caller.execute("CREATE TABLE t (id int)")
            await caller.execute("BEGIN")
            drain = asyncio.ensure_future(proxies[1].owners.drain())
            await asyncio.sleep(0.05)
            await caller.execute("INSERT INTO t VALUES (1)")
            assert not drain.done()
            await caller.execute("COMMIT")
            await drain
            with pytest.raises(psycopg.Error) as caught:
                await caller.execute("INSERT INTO t VALUES (2)")
            assert caught.value.sqlstate == "57P01"
            detail = caught.value.diag.message_detail
            assert detail == "verdict=not_run"

    run(scenario, proxy_count=2)
