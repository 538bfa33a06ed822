"""Begin, commit and rollback of transactions, and savepoints."""

import sqlite3
import time

from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState
from waxwinglift_standin.connection import Transaction

_STATES_BY_ERROR_NAME = {
    "SQLITE_CONSTRAINT_UNIQUE": SqlState.UNIQUE,
    "SQLITE_CONSTRAINT_PRIMARYKEY": SqlState.UNIQUE,
    "SQLITE_CONSTRAINT_ROWID": SqlState.UNIQUE,
    "SQLITE_CONSTRAINT_NOTNULL": SqlState.NOT_NULL,
    "SQLITE_CONSTRAINT_FOREIGNKEY": SqlState.FOREIGN_KEY,
    "SQLITE_CONSTRAINT_CHECK": SqlState.CHECK,
}
_STATES_BY_MESSAGE = [
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
    if name in _STATES_BY_ERROR_NAME:
        state = _STATES_BY_ERROR_NAME[name]
        if state is SqlState.UNIQUE:
            field = text.rpartition(": ")[2].replace(".", "_")
            text = (
                f'duplicate key value violates unique constraint "{field}_key"'
            )
        return SqlError(state, text)
    for part, state in _STATES_BY_MESSAGE:
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


async def acquire_write_lock(server, session):
    """Acquire the server's write lock for the session's transaction."""
    transaction = session.transaction
    if transaction.has_write_lock:
        return
    await server.write_lock.acquire()
    transaction.has_write_lock = True
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
    if transaction.has_write_lock:
        try:
            server.commit(transaction)
        except sqlite3.Error as error:
            rollback(server, session)
            raise translate_error(error) from error
        transaction.has_write_lock = False
        server.write_lock.release()
    _restore_parameters(session, transaction.values_before_set_local)
    session.transaction = None
    return "COMMIT"


def rollback(server, session):
    """Roll back the open transaction."""
    transaction = session.transaction
    if transaction is not None:
        _undo_writes(server, transaction)
        _restore_parameters(
            session,
            transaction.values_before_set_local
            | transaction.values_before_set,
        )
    session.transaction = None
    session.has_failed = False


def _restore_parameters(session, values):
    for name, value in values.items():
        if value is None:
            session.parameters.pop(name, None)
        else:
            session.parameters[name] = value
            session.changed_parameters.append(name)


def fail(server, session):
    """Mark the open transaction as failed, or roll back an implicit one.

    A block without savepoints cannot continue after an error, so its changes
    are rolled back immediately, which releases the write lock.
    """
    transaction = session.transaction
    if transaction is None:
        return
    if not transaction.is_explicit:
        rollback(server, session)
        return
    session.has_failed = True
    if not transaction.savepoints:
        _undo_writes(server, transaction)


def _undo_writes(server, transaction):
    if not transaction.has_write_lock:
        return
    server.database.rollback()
    transaction.has_write_lock = False
    transaction.statements.clear()
    server.write_lock.release()


def set_savepoint(server, session, name):
    """Set a savepoint."""
    transaction = _require_block(session)
    if transaction.has_write_lock:
        server.database.savepoint("SAVEPOINT", name)
    count = len(transaction.statements)
    transaction.savepoints.append((name, count))


def release_savepoint(server, session, name):
    """Release a savepoint, which preserves the changes made since then."""
    transaction = _require_block(session)
    index = _find_savepoint(transaction, name)
    if transaction.has_write_lock:
        server.database.savepoint("RELEASE", name)
    del transaction.savepoints[index:]


def rollback_to_savepoint(server, session, name):
    """Roll back to a savepoint."""
    transaction = _require_block(session)
    index = _find_savepoint(transaction, name)
    if transaction.has_write_lock:
        server.database.savepoint("ROLLBACK TO", name)
    del transaction.statements[transaction.savepoints[index][1] :]
    del transaction.savepoints[index + 1 :]
    session.has_failed = False


def _require_block(session):
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
