"""Tests how answers are matched with the messages of a packet."""

import pytest
from pygwire.messages import Bind
from pygwire.messages import BindComplete
from pygwire.messages import CommandComplete
from pygwire.messages import DataRow
from pygwire.messages import ErrorResponse
from pygwire.messages import Execute
from pygwire.messages import NoticeResponse
from pygwire.messages import Parse
from pygwire.messages import ParseComplete
from pygwire.messages import Query
from pygwire.messages import ReadyForQuery
from pygwire.messages import Sync

from waxwinglift.connection._backend_packet import analyze_messages
from waxwinglift.connection._backend_packet import Packet
from waxwinglift.connection._backend_packet import settings_statements
from waxwinglift.connection._session_types import PreparedStatement
from waxwinglift.connection._wire import FrameSplitter
from waxwinglift.connection._wire import ReplyFilter
from waxwinglift.connection._wire import WireError
from waxwinglift.request._classify import classify

LIMIT = 2**20
ROW = DataRow(columns=[b"0/10"]).to_wire()
DONE = CommandComplete(tag="SELECT 1").to_wire()
READY = ReadyForQuery().to_wire()
ERROR = ErrorResponse(fields={"C": "42601", "M": "bad"}).to_wire()
NOTICE = NoticeResponse(fields={"M": "note"}).to_wire()
PARSED = ParseComplete().to_wire()
BOUND = BindComplete().to_wire()
QUERY = Query(query_string="SELECT 1").to_wire()
EXTENDED_EXCHANGE = (
    Parse(statement="wx_1", query="SELECT 1").to_wire()
    + Bind(statement="wx_1").to_wire()
    + Execute().to_wire()
    + Sync().to_wire()
)
OLD = PreparedStatement("wx_0", "SELECT 0", (), classify("SELECT 0"))
POSITION = ROW + DONE + READY


@pytest.mark.parametrize("chunk_bytes", [1, 7, 1000])
@pytest.mark.parametrize(
    ("messages", "prepared", "answers", "forwarded"),
    [
        (QUERY, (), ROW + DONE + READY, ROW + DONE),
        (QUERY, (), NOTICE + ERROR + READY, NOTICE + ERROR),
        (
            EXTENDED_EXCHANGE,
            (),
            PARSED + BOUND + ROW + DONE + READY,
            PARSED + BOUND + ROW + DONE,
        ),
        (EXTENDED_EXCHANGE, (), PARSED + ERROR + READY, PARSED + ERROR),
        (
            EXTENDED_EXCHANGE,
            (OLD,),
            PARSED + PARSED + BOUND + DONE + READY,
            PARSED + BOUND + DONE,
        ),
        (EXTENDED_EXCHANGE, (OLD,), ERROR + READY, ERROR),
    ],
)
def test_answers_to_own_statements_are_not_forwarded(
    messages, prepared, answers, forwarded, chunk_bytes
):
    # If bytes of the answer to one of the proxy's own statements were counted
    # as part of the caller's answer, or the reverse, the caller's session
    # would break.
    packet = Packet()
    for statement in prepared:
        packet.add_parse(statement)
    packet.add_exchange(messages, set())
    position = packet.add_query("SELECT pg_current_wal_lsn()")
    replies = ReplyFilter(packet.steps, LIMIT)
    data = answers + POSITION
    parts = [
        replies.feed(data[start : start + chunk_bytes])
        for start in range(0, len(data), chunk_bytes)
    ]
    assert b"".join(parts) == forwarded
    assert replies.is_done
    assert position.rows == [["0/10"]]


@pytest.mark.parametrize(
    "data",
    [b"Z\0\0\0\3", b"Z\x7f\0\0\0", READY + READY, ERROR + ERROR + DONE],
)
def test_invalid_answers_are_rejected(data):
    # An answer that matches no message must close the connection.
    packet = Packet()
    packet.add_exchange(Sync().to_wire(), set())
    with pytest.raises(WireError):
        ReplyFilter(packet.steps, LIMIT).feed(data)


def test_splitter_joins_large_messages():
    # Messages may arrive in pieces of any size.
    frames = [Query(query_string="x" * size).to_wire() for size in (9, 5000)]
    data = b"".join(frames)
    splitter = FrameSplitter(LIMIT)
    found = []
    for start in range(0, len(data), 100):
        found += splitter.feed(data[start : start + 100])
    assert found == [(b"Q", frame) for frame in frames]


@pytest.mark.parametrize(
    ("in_force", "wanted", "statements"),
    [
        ({}, {}, []),
        ({"a": "1"}, {"a": "1"}, []),
        ({}, {"a": "1"}, ["SET a = 1"]),
        ({"a": "2"}, {"a": "1"}, ["SET a = 1"]),
        ({"b": "2"}, {"a": "1"}, ["RESET ALL", "SET a = 1"]),
        (None, {}, ["RESET ALL"]),
    ],
)
def test_settings_statements_for_a_reused_connection(
    in_force, wanted, statements
):
    # Settings of another caller must not stay in force.
    assert settings_statements(in_force, wanted) == statements


@pytest.mark.parametrize(
    ("text", "changes_settings", "may_commit"),
    [
        ("SELECT 1", False, False),
        ("UPDATE t SET v = 1", False, False),
        ("SET a = 1", True, False),
        ("SET LOCAL a = 1", True, False),
        ("SELECT 1; SET a = 1", True, False),
        ("SELECT set_config('a', '1', false)", True, False),
        ("COMMIT", False, True),
        ("UPDATE t SET v = 1; COMMIT", True, True),
    ],
)
def test_exchange_properties(text, changes_settings, may_commit):
    # A missed SET would leak the setting to other callers.  A missed COMMIT
    # would forward an answer too early.
    summary = analyze_messages(Query(query_string=text).to_wire(), ())
    assert summary.changes_settings is changes_settings
    assert summary.may_commit is may_commit
