"""Log of committed transactions with byte positions, as in PostgreSQL.

The position of a record depends only on the size of the records before it,
so servers with the same transactions report the same positions.
"""

import base64
import bisect
import dataclasses
import json

from waxwinglift.version import Lsn
from waxwinglift.version import Term

# PostgreSQL also starts at the second 16 MB segment, so that no record has
# position 0, which means invalid.
FIRST_LSN = Lsn(0x1000000)
RECORD_HEADER_BYTES = 24
# Records start at multiples of this, as in PostgreSQL on 64-bit machines.
ALIGNMENT_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """Record of a committed transaction or of the start of a term."""

    start_lsn: Lsn
    end_lsn: Lsn
    term: Term
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedStatement:
    """Write statement as run by SQLite.

    `results` contains the results of the server's functions in call order, so
    that now() and random() return the same values when it is replayed.
    """

    sql: str
    parameters: tuple
    results: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedTransaction:
    """Content of a record."""

    committed_us: int
    statements: list[LoggedStatement]


def format_lsn(lsn):
    """Return a position as text."""
    return f"{lsn >> 32:X}/{lsn & 0xFFFFFFFF:08X}"


def parse_lsn(text):
    """Return the position that `text` represents.

    Raises
    ------
    ValueError
        If `text` is not a position.
    """
    high, low = text.split("/")
    return Lsn((int(high, 16) << 32) + int(low, 16))


def _pack_value(value):
    if isinstance(value, bytes):
        return {"bytes": base64.b64encode(value).decode()}
    return value


def _unpack_value(value):
    if isinstance(value, dict):
        return base64.b64decode(value["bytes"])
    return value


def _pack_values(values):
    return [_pack_value(value) for value in values]


def _unpack_values(values):
    return tuple(_unpack_value(value) for value in values)


def encode_transaction(transaction):
    """Return the payload of the record of a transaction."""
    statements = [
        [s.sql, _pack_values(s.parameters), _pack_values(s.results)]
        for s in transaction.statements
    ]
    content = {"at": transaction.committed_us, "do": statements}
    return json.dumps(content, separators=(",", ":")).encode()


def decode_transaction(payload):
    """Return the transaction in the payload of a record."""
    content = json.loads(payload)
    statements = [
        LoggedStatement(
            sql, _unpack_values(parameters), _unpack_values(results)
        )
        for sql, parameters, results in content["do"]
    ]
    return LoggedTransaction(content["at"], statements)


def record_end_lsn(start_lsn, payload):
    """Return where a record of `payload` that starts at `start_lsn` ends."""
    size = RECORD_HEADER_BYTES + len(payload)
    return Lsn(start_lsn + -(-size // ALIGNMENT_BYTES) * ALIGNMENT_BYTES)


class StatementLog:
    """Log records in order, and the history of terms."""

    def __init__(self):
        self.records = []
        self.end_lsn = FIRST_LSN
        self.history = [(Term(1), FIRST_LSN)]
        self._start_positions = []

    @property
    def term(self):
        """Term of the last record."""
        return self.history[-1][0]

    def make_record(self, payload, term=None):
        """Return a record of `payload` to append at the end of the log."""
        end_lsn = record_end_lsn(self.end_lsn, payload)
        return LogRecord(self.end_lsn, end_lsn, term or self.term, payload)

    def append(self, record):
        """Add `record` at the end.

        Raises
        ------
        ValueError
            If the record does not start where the log ends.
        """
        if record.start_lsn != self.end_lsn:
            raise ValueError(
                f"log ends at {format_lsn(self.end_lsn)}, cannot append a "
                f"record that starts at {format_lsn(record.start_lsn)}"
            )
        if record.term != self.term:
            self.history.append((record.term, record.start_lsn))
        self.records.append(record)
        self._start_positions.append(record.start_lsn)
        self.end_lsn = record.end_lsn

    def index_at(self, lsn):
        """Return the index of the record that starts at `lsn`.

        Raises
        ------
        ValueError
            If `lsn` is neither the start of a record nor the end of the log.
        """
        if lsn == self.end_lsn:
            return len(self.records)
        index = bisect.bisect_left(self._start_positions, lsn)
        if (
            index == len(self._start_positions)
            or self._start_positions[index] != lsn
        ):
            raise ValueError(f"no record starts at {format_lsn(lsn)}")
        return index


def find_divergence(history, end_lsn, upstream_history, upstream_end_lsn):
    """Return why a log cannot follow an upstream log, or None if it can.

    Parameters
    ----------
    history, upstream_history : list of (Term, Lsn)
        Terms with their first positions.
    end_lsn, upstream_end_lsn : Lsn
        Ends of the logs.
    """
    term = history[-1][0]
    upstream_terms = [known for known, _ in upstream_history]
    if term > upstream_terms[-1]:
        return (
            f"highest timeline {upstream_terms[-1]} of the primary is behind "
            f"recovery timeline {term}"
        )
    if term not in upstream_terms:
        return f"timeline {term} is not in this server's history"
    index = upstream_terms.index(term)
    if upstream_history[index][1] != history[-1][1]:
        return f"timeline {term} has another starting point on the primary"
    if index + 1 < len(upstream_history):
        next_term, fork_lsn = upstream_history[index + 1]
        if end_lsn > fork_lsn:
            return (
                f"new timeline {next_term} forked off current database "
                f"system timeline {term} before current recovery point "
                f"{format_lsn(end_lsn)}"
            )
        return None
    if end_lsn > upstream_end_lsn:
        return (
            f"requested starting point {format_lsn(end_lsn)} is ahead of the "
            f"flush position {format_lsn(upstream_end_lsn)} of the primary"
        )
    return None
