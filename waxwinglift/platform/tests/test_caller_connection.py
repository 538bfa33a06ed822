"""Tests the decoding of callers' lines and the error codes of failures."""

import pytest

from waxwinglift.connection._statement_protocols import CallerEnd
from waxwinglift.connection._statement_protocols import CallerFault
from waxwinglift.connection._statement_protocols import InvalidCallerMessage
from waxwinglift.connection._statement_protocols import CallerStartup
from waxwinglift.platform._caller_connection import decode_message
from waxwinglift.platform._caller_connection import encode_failure
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._statements import PreparedShape
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version import PoolName
from waxwinglift.version._workspaces import digest_key

# Codes of failures after which the caller's attempt had no effect.
_NOT_RUN_CODES = {
    b"BUSY",
    b"ABORTED",
    b"LAGGING",
    b"READONLY",
    b"MISROUTED",
    b"TOOMANY",
    # The statement is refused before it runs.
    b"NODB",
    b"MALFORMED",
    b"TOOLARGE",
    b"NOSTMT",
}


def _statement(verb, text, **fields):
    return Statement(verb, b"id1", text, **fields)


@pytest.mark.parametrize(
    "line, message",
    [
        (
            b"STARTUP ledger u1",
            CallerStartup(PoolName("ledger"), digest_key(b"u1")),
        ),
        (b"TERMINATE", CallerEnd.LEFT),
        (b"QUERY id1 BEGIN", _statement(StatementVerb.BEGIN, b"BEGIN")),
        (
            b"QUERY id1 BEGIN READ",
            _statement(StatementVerb.BEGIN_READ, b"BEGIN READ"),
        ),
        (b"QUERY id1 COMMIT", _statement(StatementVerb.COMMIT, b"COMMIT")),
        (
            b"QUERY id1 ROLLBACK",
            _statement(StatementVerb.ROLLBACK, b"ROLLBACK"),
        ),
        (
            b"QUERY id1 READ 1a4",
            _statement(StatementVerb.READ, b"READ 1a4", arguments=b"1a4"),
        ),
        (
            b"QUERY id1 WRITE 1a4 some data",
            _statement(
                StatementVerb.WRITE,
                b"WRITE 1a4 some data",
                arguments=b"1a4 some data",
            ),
        ),
        (
            b"QUERY id1 SET zone a b",
            _statement(
                StatementVerb.SET,
                b"SET zone a b",
                name=b"zone",
                arguments=b"a b",
            ),
        ),
        (
            b"QUERY id1 PREPARE s1 WRITE q2c",
            _statement(
                StatementVerb.PREPARE,
                b"PREPARE s1 WRITE q2c",
                name=b"s1",
                shape=PreparedShape(True, b"q2c"),
            ),
        ),
        (
            b"QUERY id1 EXECUTE s1 1a4 data",
            _statement(
                StatementVerb.EXECUTE,
                b"EXECUTE s1 1a4 data",
                name=b"s1",
                arguments=b"1a4 data",
            ),
        ),
        (
            b"QUERY id1 DEALLOC s1",
            _statement(StatementVerb.DEALLOCATE, b"DEALLOC s1", name=b"s1"),
        ),
    ],
)
def test_decode_message(line, message):
    """Each line becomes its message, with the text unchanged."""
    assert decode_message(line) == message


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"HELLO",
        b"STARTUP ledger",
        b"STARTUP  u1",
        b"STARTUP \xff u1",
        b"QUERY id1",
        b"QUERY - READ 1a4",
        b"QUERY id1 DROP 1a4",
        b"QUERY id1 BEGIN WRITE",
        b"QUERY id1 COMMIT now",
        b"QUERY id1 READ",
        b"QUERY id1 WRITE 1a4",
        b"QUERY id1 PREPARE s1 CHANGE q2c",
        b"QUERY id1 EXECUTE s1",
        b"QUERY id1 AFTER 3.4 READ 1a4",
    ],
)
def test_malformed_line(line):
    """A malformed line is refused and not interpreted."""
    message = decode_message(line)
    assert isinstance(message, InvalidCallerMessage)
    assert message.fault is CallerFault.MALFORMED


@pytest.mark.parametrize("code", list(FailureCode))
@pytest.mark.parametrize("verdict", [Verdict.MAY_HAVE_RUN, Verdict.RAN])
def test_failure_that_may_have_run_gets_an_uncertain_code(code, verdict):
    """A statement that may have run must not be reported as not run."""
    line = encode_failure(Failure(verdict, code, "message"))
    assert line.split(b" ")[1] not in _NOT_RUN_CODES


@pytest.mark.parametrize(
    "failure, line",
    [
        (
            Failure(Verdict.NOT_RUN, FailureCode.REJECTED, "queue full", 250),
            b"ERROR BUSY queue full; retry after 250 ms\r\n",
        ),
        (
            Failure(Verdict.NOT_RUN, FailureCode.UNKNOWN_POOL, "none"),
            b"ERROR NODB none\r\n",
        ),
        (
            Failure(Verdict.NOT_RUN, FailureCode.ABORTED, "two\nlines"),
            b"ERROR ABORTED two lines\r\n",
        ),
        (
            Failure(Verdict.MAY_HAVE_RUN, FailureCode.TIMED_OUT, "late"),
            b"ERROR TIMEOUT late\r\n",
        ),
    ],
)
def test_encode_failure(failure, line):
    """The line contains the code, the reason and when to retry."""
    assert encode_failure(failure) == line
