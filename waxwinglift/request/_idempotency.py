"""SQL statements and decisions for idempotency keys.

They let a transaction with a key run at most once.

In one transaction on the primary, the owner inserts the idempotency key,
executes the caller's statements and, for an autocommit request, stores its
command tag.
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
# Operators run this manually.  Keys must remain stored for longer than any
# caller may retry.
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
    """The request has already run: roll back and return the stored tag."""

    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFailure:
    """Report the failure; an open transaction is rolled back."""

    failure: Failure


def check_key(key):
    """Return Ok(key), or Err(Failure) for an invalid key."""
    if not 0 < len(key) <= KEY_LENGTH_LIMIT:
        message = (
            f"idempotency key must have 1 to {KEY_LENGTH_LIMIT} characters"
        )
        return Err(not_run(FailureCode.BAD_PARAMETER, message))
    if not key.isprintable():
        message = "idempotency key contains unprintable characters"
        return Err(not_run(FailureCode.BAD_PARAMETER, message))
    return Ok(key)


def quote_literal(text):
    """Return ``text`` as an SQL literal valid under any string settings."""
    escaped = text.replace("\\", "\\\\").replace("'", "''")
    return f"E'{escaped}'"


def insert_sql(key):
    """Return the statement that inserts ``key``.

    Its command tag is INSERT 0 0 if the key is already stored.

    The statement waits for an uncommitted transaction with the same key, so
    two concurrent attempts cannot both run.
    """
    return (
        "INSERT INTO waxwinglift_idempotency (key) "
        f"VALUES ({quote_literal(key)}) ON CONFLICT (key) DO NOTHING"
    )


def store_tag_sql(key, tag):
    """Return the update that stores a command tag with ``key``."""
    return (
        "UPDATE waxwinglift_idempotency "
        f"SET tag = {quote_literal(tag)} WHERE key = {quote_literal(key)}"
    )


def look_up_sql(key):
    """Return the query for the tag stored with ``key``."""
    return (
        "SELECT tag FROM waxwinglift_idempotency "
        f"WHERE key = {quote_literal(key)}"
    )


def decide_on_insert(inserted_count, is_block, stored_tag):
    """Decide how to proceed after the insert of a key.

    Parameters
    ----------
    inserted_count : int
        Number of inserted rows: 1 for a new key, 0 for a used one.
    is_block : bool
        Whether the key belongs to a transaction block.
    stored_tag : str or None
        Command tag stored with a used key.  None if the key is new or was
        used by a transaction block, which stores no tag.

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
    """Determine the outcome of an unanswered request from its key.

    Parameters
    ----------
    rows : sequence of (str or None)
        Command tags that the look-up on the current primary returned.

    Returns
    -------
    ReturnTag or ReportFailure
        The verdict is NOT_RUN if the key is absent; the request may then be
        sent again.
    """
    if not rows:
        message = "the request did not run: its idempotency key is not stored"
        return ReportFailure(not_run(FailureCode.UNAVAILABLE, message))
    if rows[0] is None:
        return ReportFailure(_already_ran())
    return ReturnTag(rows[0])


def _already_ran():
    message = "a transaction with this idempotency key has committed"
    return Failure(Verdict.RAN, FailureCode.ALREADY_RAN, message)
