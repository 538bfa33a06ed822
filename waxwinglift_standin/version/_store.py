"""File that stores a server's log and role."""

import contextlib
import sqlite3

from waxwinglift.version import Lsn
from waxwinglift.version import Term
from waxwinglift_standin.version._log import LogRecord

_SCHEMA = """
CREATE TABLE IF NOT EXISTS log (
    start_lsn INTEGER PRIMARY KEY, end_lsn INTEGER, term INTEGER, payload BLOB
);
CREATE TABLE IF NOT EXISTS value (name TEXT PRIMARY KEY, text TEXT);
"""


class LogStore:
    """Log records and named values in a SQLite file."""

    def __init__(self, connection):
        self._connection = connection

    def append(self, record):
        """Append a record and sync the file."""
        self._connection.execute(
            "INSERT INTO log VALUES (?, ?, ?, ?)",
            (record.start_lsn, record.end_lsn, record.term, record.payload),
        )

    def load_records(self):
        """Return all records in order."""
        rows = self._connection.execute("SELECT * FROM log ORDER BY start_lsn")
        return [
            LogRecord(Lsn(start), Lsn(end), Term(term), payload)
            for start, end, term, payload in rows
        ]

    def save_value(self, name, text):
        """Store a named value."""
        self._connection.execute(
            "INSERT OR REPLACE INTO value VALUES (?, ?)", (name, text)
        )

    def load_value(self, name):
        """Return a named value, or None if it is not stored."""
        row = self._connection.execute(
            "SELECT text FROM value WHERE name = ?", (name,)
        ).fetchone()
        return row[0] if row else None


@contextlib.contextmanager
def open_store(path):
    """Yield the store in the file at `path`, or None when it is None."""
    if path is None:
        yield None
        return
    connection = sqlite3.connect(path, isolation_level=None)
    try:
        # The exclusive lock excludes other processes, so that WAL mode needs
        # no shared memory.
        connection.execute("PRAGMA locking_mode = EXCLUSIVE")
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        connection.executescript(_SCHEMA)
        yield LogStore(connection)
    finally:
        connection.close()
