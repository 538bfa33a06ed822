"""Guards against repeated execution of a transaction with a key."""

import pytest

from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._idempotency import check_key
from waxwinglift.request._idempotency import decide_on_insert
from waxwinglift.request._idempotency import decide_on_look_up
from waxwinglift.request._idempotency import insert_sql
from waxwinglift.request._idempotency import look_up_sql
from waxwinglift.request._idempotency import ReportFailure
from waxwinglift.request._idempotency import ReturnTag
from waxwinglift.request._idempotency import RunStatements
from waxwinglift.request._idempotency import store_tag_sql


@pytest.mark.parametrize(
    ("inserted", "is_block", "tag", "expected"),
    [
        (1, False, None, RunStatements),
        (1, True, None, RunStatements),
        (0, False, "INSERT 0 1", ReturnTag),
        # The answers of a block are not stored, so they cannot be returned.
        (0, True, "INSERT 0 1", ReportFailure),
        (0, False, None, ReportFailure),
    ],
)
def test_decide_on_insert(inserted, is_block, tag, expected):
    """A transaction whose key is already used must not run again."""
    decision = decide_on_insert(inserted, is_block, tag)
    assert isinstance(decision, expected)
    if expected is ReportFailure:
        assert decision.failure.code is FailureCode.ALREADY_RAN
        assert decision.failure.verdict is Verdict.RAN


@pytest.mark.parametrize(
    ("rows", "verdict"),
    [([], Verdict.NOT_RUN), ([None], Verdict.RAN), (["UPDATE 1"], None)],
)
def test_decide_on_look_up(rows, verdict):
    """A committed transaction must not be reported as not run."""
    decision = decide_on_look_up(rows)
    if verdict is None:
        assert decision == ReturnTag("UPDATE 1")
    else:
        assert decision.failure.verdict is verdict


@pytest.mark.parametrize(
    ("key", "is_ok"),
    [("a", True), ("", False), ("x" * 201, False), ("a\0b", False)],
)
def test_check_key(key, is_ok):
    """An invalid key must be refused before anything runs."""
    assert check_key(key).is_ok() is is_ok


@pytest.mark.parametrize(
    ("key", "literal"),
    [("it's", "E'it''s'"), ("a\\' OR 1=1 --", "E'a\\\\'' OR 1=1 --'")],
)
def test_keys_are_quoted(key, literal):
    """An unquoted key would be executed as SQL on the primary."""
    for sql in (insert_sql(key), look_up_sql(key), store_tag_sql(key, "t")):
        assert literal in sql
