"""SQLite databases of a server.

Reads run on the committed state.  The open write transaction runs on a
working copy, so that other connections do not see its changes.  At commit,
its statements are replayed on the committed state, as a replica replays them
from the log.
"""

import contextlib
import sqlite3

from waxwinglift_standin.version._log import LoggedStatement


class FunctionCalls:
    """Records and replays the results of functions called by a write.

    A replayed write receives the recorded results instead of new ones.  It
    has the same effect at another time or on another server, needs no session
    and has no side effects.
    """

    def __init__(self):
        self._recorded = None
        self._replayed = None

    def call(self, function, *arguments):
        """Return the function's result, or the recorded one."""
        if self._replayed is not None:
            return next(self._replayed)
        result = function(*arguments)
        if self._recorded is not None:
            self._recorded.append(result)
        return result

    @contextlib.contextmanager
    def recording(self):
        """Record the results of calls in the list that is yielded."""
        self._recorded = []
        try:
            yield self._recorded
        finally:
            self._recorded = None

    @contextlib.contextmanager
    def replaying(self, results):
        """Let calls return `results` in order instead of running."""
        self._replayed = iter(results)
        try:
            yield
        finally:
            self._replayed = None


class Database:
    """Committed state and working copy of one server.

    Parameters
    ----------
    install : callable
        Adds functions and views to a new SQLite connection.
    calls : FunctionCalls
        Records and replays the calls of the installed functions.
    """

    def __init__(self, install, calls):
        self.committed = self._open(install)
        self.working = self._open(install)
        self.schema_version = 0
        self._calls = calls

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

    def read(self, sql, parameters, uses_working_copy):
        """Run a read and return (column names, rows)."""
        connection = self.working if uses_working_copy else self.committed
        cursor = connection.execute(sql, parameters)
        names = [field[0] for field in cursor.description or ()]
        return names, cursor.fetchall()

    def begin_write(self):
        """Start a write transaction on the working copy."""
        self.working.execute("BEGIN")

    def write(self, sql, parameters):
        """Run a write.

        Returns
        -------
        statement : LoggedStatement
            Log entry that replays the write.
        names : list of str or None
            Names of the result columns.
        rows : list of tuple
            Result rows.
        count : int
            Number of rows changed.
        """
        with self._calls.recording() as results:
            cursor = self.working.execute(sql, parameters)
            rows = cursor.fetchall()
        statement = LoggedStatement(sql, tuple(parameters), tuple(results))
        if cursor.description is None:
            return statement, None, [], max(cursor.rowcount, 0)
        names = [field[0] for field in cursor.description]
        return statement, names, rows, len(rows)

    def commit(self):
        """Commit the working copy."""
        self.working.execute("COMMIT")

    def rollback(self):
        """Roll back the open write transaction."""
        if self.working.in_transaction:
            self.working.execute("ROLLBACK")

    def savepoint(self, command, name):
        """Run SAVEPOINT, RELEASE or ROLLBACK TO on the working copy."""
        quoted = name.replace('"', '""')
        self.working.execute(f'{command} "{quoted}"')

    def replay_on_committed(self, transaction):
        """Replay a logged transaction on the committed state."""
        self._replay(self.committed, transaction)

    def replay_on_both(self, transaction):
        """Replay a logged transaction that did not run on the working copy."""
        self._replay(self.working, transaction)
        self._replay(self.committed, transaction)

    def _replay(self, connection, transaction):
        connection.execute("BEGIN")
        for statement in transaction.statements:
            with self._calls.replaying(statement.results):
                connection.execute(
                    statement.sql, statement.parameters
                ).fetchall()
        connection.execute("COMMIT")
        if any(is_schema_change(s.sql) for s in transaction.statements):
            self.schema_version += 1


def is_schema_change(sql):
    """Return whether a statement for SQLite changes the schema."""
    verb = sql.split(None, 1)[0].upper()
    return verb in ("CREATE", "DROP", "ALTER")
