"""Begin, commit and rollback of transactions, and savepoints."""

import sqlite3
import time

from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState
from waxwinglift_standin.connection import Transaction

_STATES = {
    "SQLITE_CONSTRAINT_UNIQUE": SqlState.UNIQUE,
    "SQLITE_CONSTRAINT_PRIMARYKEY": SqlState.UNIQUE,
    "SQLITE_CONSTRAINT_ROWID": SqlState.UNIQUE,
    "SQLITE_CONSTRAINT_NOTNULL": SqlState.NOT_NULL,
    "SQLITE_CONSTRAINT_FOREIGNKEY": SqlState.FOREIGN_KEY,
    "SQLITE_CONSTRAINT_CHECK": SqlState.CHECK,
}
_MESSAGES = [
    ("no such table", SqlState.UNKNOWN_TABLE),
    ("no such column", SqlState.UNKNOWN_COLUMN),
    ("has no column named", SqlState.UNKNOWN_COLUMN),
    ("no such function", SqlState.UNKNOWN_FUNCTION),
    ("wrong number of arguments", SqlState.UNKNOWN_FUNCTION),
    ("already exists", SqlState.DUPLICATE_TABLE),
    ("syntax error", SqlState.SYNTAX),
    ("incomplete input", SqlState.SYNTAX),
    ("values were supplied", SqlState.SYNTAX),
    ("unrecognized token", SqlState.SYNTAX),
]


def translate_error(error):
    """Return the SqlError for a SQLite error."""
    text = str(error)
    name = getattr(error, "sqlite_errorname", "")
    if name in _STATES:
        state = _STATES[name]
        if state is SqlState.UNIQUE:
            field = text.rpartition(": ")[2].replace(".", "_")
            text = (
                f'duplicate key value violates unique constraint "{field}_key"'
            )
        return SqlError(state, text)
    for part, state in _MESSAGES:
        if part in text:
            return SqlError(state, text)
    return SqlError(SqlState.INTERNAL, text)


def begin(session, is_explicit, is_read_only=False):
    """Start a transaction, or make the open implicit one explicit."""
    if session.transaction is None:
        started_us = time.time_ns() // 1000
        session.transaction = Transaction(started_us, is_explicit)
    session.transaction.is_explicit |= is_explicit
    session.transaction.is_read_only |= is_read_only


async def take_writer(server, session):
    """Acquire the server's write lock for the session's transaction."""
    transaction = session.transaction
    if transaction.holds_writer:
        return
    await server.writer.acquire()
    transaction.holds_writer = True
    server.database.begin_write()
    for name, _ in transaction.savepoints:
        server.database.savepoint("SAVEPOINT", name)


def commit(server, session):
    """Commit the open transaction and return the command tag.

    Raises
    ------
    SqlError
        If a deferred constraint fails; the transaction is rolled back.
    """
    transaction = session.transaction
    if transaction is None:
        return "COMMIT"
    if session.has_failed:
        rollback(server, session)
        return "ROLLBACK"
    if transaction.holds_writer:
        try:
            server.commit(transaction)
        except sqlite3.Error as error:
            rollback(server, session)
            raise translate_error(error) from error
        transaction.holds_writer = False
        server.writer.release()
    _restore(session, transaction.local_values)
    session.transaction = None
    return "COMMIT"


def rollback(server, session):
    """Roll back the open transaction."""
    transaction = session.transaction
    if transaction is not None:
        _undo(server, transaction)
        _restore(session, transaction.local_values | transaction.set_values)
    session.transaction = None
    session.has_failed = False


def _restore(session, values):
    for name, value in values.items():
        if value is None:
            session.parameters.pop(name, None)
        else:
            session.parameters[name] = value
            session.changed_parameters.append(name)


def fail(server, session):
    """Mark the open transaction as failed after an error.

    A block without savepoints can only be rolled back, so this is done
    immediately, which releases the write lock.
    """
    transaction = session.transaction
    if transaction is None:
        return
    if not transaction.is_explicit:
        rollback(server, session)
        return
    session.has_failed = True
    if not transaction.savepoints:
        _undo(server, transaction)


def _undo(server, transaction):
    if not transaction.holds_writer:
        return
    server.database.rollback()
    transaction.holds_writer = False
    transaction.statements.clear()
    server.writer.release()


def set_savepoint(server, session, name):
    """Set a savepoint."""
    transaction = _block(session)
    if transaction.holds_writer:
        server.database.savepoint("SAVEPOINT", name)
    count = len(transaction.statements)
    transaction.savepoints.append((name, count))


def release_savepoint(server, session, name):
    """Release a savepoint, which preserves the changes made since then."""
    transaction = _block(session)
    at = _find_savepoint(transaction, name)
    if transaction.holds_writer:
        server.database.savepoint("RELEASE", name)
    del transaction.savepoints[at:]


def rollback_to_savepoint(server, session, name):
    """Roll back to a savepoint."""
    transaction = _block(session)
    at = _find_savepoint(transaction, name)
    if transaction.holds_writer:
        server.database.savepoint("ROLLBACK TO", name)
    del transaction.statements[transaction.savepoints[at][1] :]
    del transaction.savepoints[at + 1 :]
    session.has_failed = False


def _block(session):
    if session.transaction is None or not session.transaction.is_explicit:
        message = "savepoints can only be used in transaction blocks"
        raise SqlError(SqlState.ACTIVE_TRANSACTION, message)
    return session.transaction


def _find_savepoint(transaction, name):
    names = [known for known, _ in transaction.savepoints]
    if name not in names:
        message = f'savepoint "{name}" does not exist'
        raise SqlError(SqlState.UNKNOWN_SAVEPOINT, message)
    return len(names) - 1 - names[::-1].index(name)
