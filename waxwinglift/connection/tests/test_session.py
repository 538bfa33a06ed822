"""Tests the decisions of a session, without sockets."""

import pytest
from result import Err

from waxwinglift.connection import SessionId
from waxwinglift.connection import TransactionStatus
from waxwinglift.connection._session import Session
from waxwinglift.connection._session_types import LocalAnswer
from waxwinglift.connection._session_types import RunPlan
from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request._classify import classify
from waxwinglift.version import GroupName
from waxwinglift.version import Lsn
from waxwinglift.version import PoolName
from waxwinglift.version import PoolTable
from waxwinglift.version import Position
from waxwinglift.version import Rank
from waxwinglift.version import RankRow
from waxwinglift.version import Term

GROUP = GroupName("ledger")
TABLE = PoolTable(
    PoolName("pool"),
    GROUP,
    (
        RankRow(Rank("urgent"), 8, 0, 0, 100, 500),
        RankRow(Rank("low"), 1, 0, 0, 100, 5000),
    ),
)
IDLE = TransactionStatus.IDLE
OPEN = TransactionStatus.IN_TRANSACTION
FAILED = TransactionStatus.FAILED


def make_session():
    return Session(SessionId(1), TABLE, b"fleet secret")


def run(session, text, status=IDLE, failed=False):
    """Plan a statement and, if it runs, record its outcome."""
    plan = session.plan([classify(text)])
    if isinstance(plan, RunPlan):
        session.finish(plan, status, failed)
    return plan


@pytest.mark.parametrize(
    ("before", "text", "access"),
    [
        ([], "SELECT 1", Access.READ),
        ([], "UPDATE t SET v = 1", Access.WRITE),
        ([], "BEGIN READ ONLY", Access.READ),
        ([], "BEGIN", Access.WRITE),
        (["SET waxwinglift.access = write"], "SELECT 1", Access.WRITE),
        (["SET waxwinglift.access = 'read'"], "BEGIN", Access.READ),
        (["SET waxwinglift.idempotency_key = 'k'"], "SELECT 1", Access.WRITE),
    ],
)
def test_access_follows_options_then_statement(before, text, access):
    # A write sent to a replica needs another hop; a read at the primary takes
    # one of its slots.
    session = make_session()
    for statement in before:
        run(session, statement)
    assert run(session, text).access is access


@pytest.mark.parametrize(
    ("steps", "settings"),
    [
        ([("SET a = 1", IDLE, False)], {"a": "1"}),
        ([("SET a = 1", IDLE, True)], {}),
        (
            [
                ("BEGIN", OPEN, False),
                ("SET a = 1", OPEN, False),
                ("COMMIT", IDLE, False),
            ],
            {"a": "1"},
        ),
        (
            [
                ("BEGIN", OPEN, False),
                ("SET a = 1", OPEN, False),
                ("ROLLBACK", IDLE, False),
            ],
            {},
        ),
        (
            [
                ("BEGIN", OPEN, False),
                ("SET a = 1", OPEN, False),
                ("SELEKT", FAILED, True),
                ("COMMIT", IDLE, False),
            ],
            {},
        ),
        ([("SET a = 1", IDLE, False), ("RESET a", IDLE, False)], {}),
        ([("SET a = 1", IDLE, False), ("RESET ALL", IDLE, False)], {}),
        ([("SET a = 1", IDLE, False), ("DISCARD ALL", IDLE, False)], {}),
    ],
)
def test_settings_last_as_long_as_at_the_server(steps, settings):
    # A rolled back SET must not be replayed on the next connection.
    session = make_session()
    for text, status, failed in steps:
        run(session, text, status, failed)
    assert session.settings == settings


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("SET waxwinglift.rank = 'urgent'", LocalAnswer("SET")),
        ("SHOW waxwinglift.rank", None),
        ("SET waxwinglift.rank = 'royal'", Failure),
        ("SET waxwinglift.token = 'v1.a.1.2.3'", Failure),
        ("RESET waxwinglift.colour", Failure),
        ("LISTEN a", Failure),
        ("DEALLOCATE a", Failure),
    ],
)
def test_local_statements(text, expected):
    # An endpoint would reject these statements or apply them to other sessions
    # on the same connection.
    plan = run(make_session(), text)
    if expected is None:
        expected = LocalAnswer("SHOW", "waxwinglift.rank", "")
    assert plan == expected or isinstance(plan, expected)


def test_floor_is_never_lowered():
    # A late answer of a lagging replica must not lower the floor.
    session = make_session()
    for term, lsn in [(1, 50), (1, 20), (2, 10), (1, 90)]:
        session.observe(GROUP, Position(Term(term), Lsn(lsn)))
    assert session.floor == Position(Term(2), Lsn(10))
    token = session.token()
    other = make_session()
    assert not isinstance(other.set_option("token", token), Err)
    assert other.floor == session.floor


def test_lost_block_accepts_only_its_end():
    # Continuing in autocommit would commit half of a transaction.
    session = make_session()
    run(session, "BEGIN", OPEN)
    session.mark_block_lost()
    assert isinstance(run(session, "INSERT INTO t VALUES (1)"), Failure)
    assert run(session, "COMMIT") == LocalAnswer("ROLLBACK")
    assert session.status is IDLE


def test_idempotency_key_covers_one_transaction():
    # If the key stayed set, the next transaction would be treated as a
    # repetition and not run.
    session = make_session()
    run(session, "SET waxwinglift.idempotency_key = 'k'")
    assert [session.take_idempotency_key() for _ in range(2)] == ["k", ""]
