"""Guards the classification of statements by their text."""

import pytest

from waxwinglift.request._classify import classify
from waxwinglift.request._classify import StatementKind

_SET_LOCAL = "SET LOCAL of a waxwinglift setting"
_SEVERAL = "a waxwinglift setting among several statements"


@pytest.mark.parametrize(
    ("text", "kind", "name", "value"),
    [
        ("SELECT 1", "READ", "", ""),
        (" -- note\n/* a */ select 1;", "READ", "", ""),
        ("(SELECT 1) UNION (SELECT 2)", "READ", "", ""),
        ("SELECT 1; DELETE FROM t", "WRITE", "", ""),
        ("INSERT INTO t VALUES (1)", "WRITE", "", ""),
        ("", "EMPTY", "", ""),
        (" ;; ", "EMPTY", "", ""),
        ("BEGIN", "BEGIN", "", ""),
        ("START TRANSACTION READ ONLY", "BEGIN_READ_ONLY", "", ""),
        (
            "BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY",
            "BEGIN_READ_ONLY",
            "",
            "",
        ),
        (
            "BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY",
            "BEGIN",
            "serializable",
            "",
        ),
        ("BEGIN read  write", "BEGIN", "read write", ""),
        (
            "SET SESSION CHARACTERISTICS AS TRANSACTION READ  ONLY;",
            "SET",
            "default_transaction_read_only",
            "on",
        ),
        (
            "set session characteristics as transaction "
            "isolation level read committed, read write",
            "SET",
            "default_transaction_isolation",
            "'read committed'",
        ),
        (
            "SET SESSION CHARACTERISTICS AS TRANSACTION SNAPSHOT 'a'",
            "WRITE",
            "",
            "",
        ),
        ("COMMIT", "COMMIT", "", ""),
        ("end work", "COMMIT", "", ""),
        ("COMMIT PREPARED 'a'", "WRITE", "", ""),
        ("ROLLBACK", "ROLLBACK", "", ""),
        ("ROLLBACK TO SAVEPOINT a", "WRITE", "", ""),
        # A semicolon within a literal counts as a second statement.
        ("SET a.b = 'x;y'", "WRITE", "", ""),
        (
            "SET waxwinglift.rank = 'urgent'",
            "SET",
            "waxwinglift.rank",
            "'urgent'",
        ),
        ("set session TimeZone to 'UTC';", "SET", "timezone", "'UTC'"),
        ("SET TIME ZONE 'UTC'", "SET", "timezone", "'UTC'"),
        ("SET LOCAL a = 1", "WRITE", "", ""),
        ("SET LOCAL waxwinglift.rank = 'a'", "UNSUPPORTED", _SET_LOCAL, ""),
        ("SELECT 1; SET waxwinglift.rank = 'a'", "UNSUPPORTED", _SEVERAL, ""),
        ("SET TRANSACTION READ ONLY", "WRITE", "", ""),
        ("SHOW waxwinglift.token", "SHOW", "waxwinglift.token", ""),
        ("RESET ALL", "RESET", "all", ""),
        ("SELECT pg_advisory_unlock_all(); RESET ALL;", "RESET", "all", ""),
        ("DISCARD ALL", "DISCARD_ALL", "all", ""),
        ('DEALLOCATE PREPARE "Big"', "DEALLOCATE", "Big", ""),
        ("LISTEN a", "UNSUPPORTED", "LISTEN", ""),
        ("PREPARE TRANSACTION 'a'", "WRITE", "", ""),
    ],
)
def test_statement_is_classified(text, kind, name, value):
    """A wrong kind costs a hop, or loses a setting or a confirmation.

    A write classified as a read is sent to a replica first.  An unrecognized
    SET loses the setting, an unrecognized COMMIT the confirmation that it
    took effect.
    """
    found = classify(text)
    assert found.kind is StatementKind[kind]
    assert (found.name, found.value) == (name, value)


@pytest.mark.parametrize(
    "text",
    [
        "SET a" + " " * 2**20 + "b",
        "SET a = " + " " * 2**20 + "b" + ";" * 2**20,
        "SHOW a" + " " * 2**20 + "b",
        "/*" * 2**19,
        "; " * 2**19 + "SELECT 1",
        "set " * 2**18 + ";" + " set" * 2**18,
        "BEGIN " + "read " * 2**18 + " " * 2**20,
        "SET SESSION CHARACTERISTICS AS TRANSACTION " + "READ ONLY, " * 2**16,
        "SET SESSION CHARACTERISTICS AS TRANSACTION " + " ," * 2**19 + "a",
    ],
    ids=range(9),
)
def test_long_text_is_classified_in_linear_time(text):
    """A pattern that backtracks would block the event loop.

    With quadratic time these texts would take hours.
    """
    assert classify(text) is not None
