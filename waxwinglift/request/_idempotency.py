"""Statements and decisions that make a keyed transaction run at most once.

The owner runs, in one transaction on the primary: the insert of the key, the
caller's statements, and for an autocommit request the store of its tag.
"""

import dataclasses

from result import Err
from result import Ok

from waxwinglift.request._types import Failure
from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import not_run
from waxwinglift.request._types import Verdict

CREATE_TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS waxwinglift_idempotency ("
    "key text PRIMARY KEY, "
    "tag text, "
    "created_at timestamptz NOT NULL DEFAULT now())"
)
# Operators run this by hand; keys must outlive the longest retry of a caller.
DELETE_OLD_SQL = (
    "DELETE FROM waxwinglift_idempotency "
    "WHERE created_at < now() - interval '7 days'"
)
KEY_LENGTH_LIMIT = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatements:
    """The key is new: run the caller's statements."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnTag:
    """The request ran before: roll back and return the stored tag."""

    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFailure:
    """Roll back and report the failure."""

    failure: Failure


def check_key(key):
    """Return Ok(key), or Err(Failure) for a key that cannot be stored."""
    if not 0 < len(key) <= KEY_LENGTH_LIMIT:
        message = f"idempotency key must have 1 to {KEY_LENGTH_LIMIT} letters"
        return Err(not_run(FailureCode.BAD_PARAMETER, message))
    if not key.isprintable():
        message = "idempotency key contains unprintable characters"
        return Err(not_run(FailureCode.BAD_PARAMETER, message))
    return Ok(key)


def quote_literal(text):
    """Return ``text`` as an SQL literal, whatever the string settings."""
    escaped = text.replace("\\", "\\\\").replace("'", "''")
    return f"E'{escaped}'"


def insert_sql(key):
    """Return the insert of ``key``; its tag is INSERT 0 0 when it exists.

    The statement waits for an uncommitted transaction with the same key, so
    two concurrent attempts cannot both run.
    """
    return (
        "INSERT INTO waxwinglift_idempotency (key) "
        f"VALUES ({quote_literal(key)}) ON CONFLICT (key) DO NOTHING"
    )


def store_tag_sql(key, tag):
    """Return the statement that stores the command tag of ``key``."""
    return (
        "UPDATE waxwinglift_idempotency "
        f"SET tag = {quote_literal(tag)} WHERE key = {quote_literal(key)}"
    )


def look_up_sql(key):
    """Return the query for the stored tag of ``key``."""
    return (
        "SELECT tag FROM waxwinglift_idempotency "
        f"WHERE key = {quote_literal(key)}"
    )


def decide_on_insert(inserted_count, is_block, stored_tag):
    """Decide what follows the insert of a key.

    Parameters
    ----------
    inserted_count : int
        Rows that the insert reports: 1 for a new key, 0 for a used one.
    is_block : bool
        Whether the key covers a transaction block.
    stored_tag : str or None
        Tag found for a used key.

    Returns
    -------
    RunStatements or ReturnTag or ReportFailure
    """
    if inserted_count == 1:
        return RunStatements()
    if is_block or stored_tag is None:
        return ReportFailure(_already_ran())
    return ReturnTag(stored_tag)


def decide_on_look_up(rows):
    """Decide what a lost request's key says about its outcome.

    Parameters
    ----------
    rows : sequence of (str or None)
        Tags that the look-up on the current primary returned.

    Returns
    -------
    ReturnTag or ReportFailure
        NOT_RUN when the key is absent: the request may be sent again.
    """
    if not rows:
        message = "idempotency key not found, the request did not run"
        return ReportFailure(not_run(FailureCode.UNAVAILABLE, message))
    if rows[0] is None:
        return ReportFailure(_already_ran())
    return ReturnTag(rows[0])


def _already_ran():
    message = "a transaction with this idempotency key has committed"
    return Failure(Verdict.RAN, FailureCode.ALREADY_RAN, message)
