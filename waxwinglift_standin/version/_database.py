"""SQLite databases of a server.

Reads run on the committed state.  The open write transaction runs on a
working copy, so that other connections do not see its changes.  At commit its
statements are repeated on the committed state, the way a replica repeats
them from the log.
"""

import random
import sqlite3


class Database:
    """Committed state and working copy of one server.

    Parameters
    ----------
    install : callable
        Adds functions and views to a new SQLite connection.
    set_statement : callable
        Receives the time in microseconds and the random generator that the
        next statement uses.
    """

    def __init__(self, install, set_statement):
        self.committed = self._open(install)
        self.working = self._open(install)
        self.schema_version = 0
        self._set_statement = set_statement

    @staticmethod
    def _open(install):
        connection = sqlite3.connect(":memory:", isolation_level=None)
        connection.execute("PRAGMA foreign_keys = ON")
        install(connection)
        return connection

    def close(self):
        """Close both databases."""
        self.committed.close()
        self.working.close()

    def read(self, sql, parameters, is_working):
        """Run a read and return (column names, rows)."""
        connection = self.working if is_working else self.committed
        cursor = connection.execute(sql, parameters)
        names = [field[0] for field in cursor.description or ()]
        return names, cursor.fetchall()

    def begin_write(self):
        """Start a write transaction on the working copy."""
        self.working.execute("BEGIN")

    def write(self, sql, parameters, started_us, index):
        """Run a write and return (column names or None, rows, count)."""
        return self._write(self.working, sql, parameters, started_us, index)

    def _write(self, connection, sql, parameters, started_us, index):
        # The seed makes random values the same wherever this is repeated.
        self._set_statement(started_us, random.Random(f"{started_us}.{index}"))
        cursor = connection.execute(sql, parameters)
        if cursor.description is None:
            return None, [], max(cursor.rowcount, 0)
        names = [field[0] for field in cursor.description]
        rows = cursor.fetchall()
        return names, rows, len(rows)

    def commit(self):
        """Commit the working copy."""
        self.working.execute("COMMIT")

    def rollback(self):
        """Undo the open write transaction."""
        if self.working.in_transaction:
            self.working.execute("ROLLBACK")

    def savepoint(self, command, name):
        """Run SAVEPOINT, RELEASE or ROLLBACK TO on the working copy."""
        quoted = name.replace('"', '""')
        self.working.execute(f'{command} "{quoted}"')

    def repeat_committed(self, transaction):
        """Repeat a logged transaction on the committed state."""
        self._repeat(self.committed, transaction)

    def repeat_everywhere(self, transaction):
        """Repeat a logged transaction of another server."""
        self._repeat(self.working, transaction)
        self._repeat(self.committed, transaction)

    def _repeat(self, connection, transaction):
        connection.execute("BEGIN")
        for index, (sql, parameters) in enumerate(transaction.statements):
            started_us = transaction.started_us
            self._write(connection, sql, parameters, started_us, index)
        connection.execute("COMMIT")
        if any(is_schema_change(sql) for sql, _ in transaction.statements):
            self.schema_version += 1


def is_schema_change(sql):
    """Whether a statement in SQLite's form changes the schema."""
    verb = sql.split(None, 1)[0].upper()
    return verb in ("CREATE", "DROP", "ALTER")
