"""Durable vote, log and snapshot of a control member.

Files in the data folder:

- ``lock``: held while a process uses the folder;
- ``vote``: one record, replaced as a whole;
- ``snapshot``: one record, replaced as a whole;
- ``log``: a record with the base (index and term of the entry before the
  first one), followed by one record for each write.

A write is durable once ``os.fsync`` has returned.  After a failed write the
store refuses further writes, because the content of the disk is unknown.
"""

import contextlib
import dataclasses
import fcntl
import os
import pathlib
import struct

import pydantic

from waxwinglift.version import _store_records as records
from waxwinglift.version._consensus_messages import Snapshot
from waxwinglift.version._consensus_types import StorageState
from waxwinglift.version._consensus_types import Vote

_BASE = struct.Struct(">QQ")
_VOTE_ADAPTER = pydantic.TypeAdapter(Vote)
_SNAPSHOT_ADAPTER = pydantic.TypeAdapter(Snapshot)


@dataclasses.dataclass(slots=True)
class OpenReport:
    """What was repaired while the store was opened.

    ``truncated_bytes_count`` is the size of a torn tail of the log.
    """

    truncated_bytes_count: int = 0


@contextlib.contextmanager
def open_log_store(folder):
    """Open the store in ``folder``, which is created if missing.

    Yields
    ------
    LogStore

    Raises
    ------
    StoreLockedError
        Another process uses the folder.
    StoreCorruptError
        A file is missing, or damaged before its tail.  The error names the
        file and the offset.
    """
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    with _hold_lock(path / "lock"), contextlib.ExitStack() as stack:
        store = LogStore(path)
        stack.callback(store._close)
        yield store


@contextlib.contextmanager
def _hold_lock(path):
    with open(path, "wb") as stream:
        try:
            fcntl.flock(stream, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            message = f"{path}: the folder is in use by another process"
            raise records.StoreLockedError(message) from None
        yield


class LogStore:
    """Store of one control member; open it with ``open_log_store``.

    Attributes
    ----------
    report : OpenReport
    """

    def __init__(self, folder):
        self.report = OpenReport()
        self._vote_path = folder / "vote"
        self._snapshot_path = folder / "snapshot"
        self._log_path = folder / "log"
        self._stream = None
        self._has_failed = False
        vote = self._read_vote()
        self._vote = vote or Vote()
        self._snapshot = self._read_snapshot()
        self._base = (0, 0)
        self._entries = []
        try:
            self._open_log()
            if vote is None:
                self._create_vote()
        except BaseException:
            self._close()
            raise

    def load(self):
        """Return the stored state from which a node starts."""
        return StorageState(self._vote, self._snapshot, tuple(self._entries))

    @property
    def is_empty(self):
        """Whether only the initial state is stored."""
        return self.load() == StorageState()

    def write(self, persist):
        """Execute one Persist action; it is durable on return.

        Raises
        ------
        OSError
            The disk is full or failing; the daemon must stop.
        StoreError
            An earlier write has failed, or the entries do not follow the log.
        """
        if persist.vote is not None:
            self.save_vote(persist.vote)
        if persist.truncate_after is not None:
            self.truncate_after(persist.truncate_after)
        if persist.entries:
            self.append(persist.entries)
        if persist.snapshot is not None:
            self.save_snapshot(persist.snapshot)

    def save_vote(self, vote):
        """Replace the vote."""
        with self._track_failure():
            self._replace(self._vote_path, _VOTE_ADAPTER.dump_json(vote))
            self._vote = vote

    def append(self, entries):
        """Append consecutive entries as one record."""
        if entries[0].index != self._last_index + 1:
            message = (
                f"entry {entries[0].index} does not follow entry"
                f" {self._last_index}"
            )
            raise records.StoreError(message)
        with self._track_failure():
            record = records.pack_record(records.pack_entries(entries))
            self._stream.write(record)
            self._stream.flush()
            os.fsync(self._stream.fileno())
            self._entries.extend(entries)

    def truncate_after(self, index):
        """Drop the entries after ``index``."""
        kept = [entry for entry in self._entries if entry.index <= index]
        with self._track_failure():
            self._rewrite_log(self._base, kept)

    def save_snapshot(self, snapshot):
        """Replace the snapshot, then drop the entries that it covers."""
        with self._track_failure():
            payload = _SNAPSHOT_ADAPTER.dump_json(snapshot)
            self._replace(self._snapshot_path, payload)
            self._snapshot = snapshot
            self._compact()

    @contextlib.contextmanager
    def _track_failure(self):
        """Refuse further writes once a write in this context has failed."""
        if self._has_failed:
            raise records.StoreError(
                "an earlier write has failed; the disk content is unknown"
            )
        self._has_failed = True
        yield
        self._has_failed = False

    @property
    def _last_index(self):
        return self._base[0] + len(self._entries)

    def _replace(self, path, payload):
        records.replace_file(path, records.pack_record(payload))

    def _read_vote(self):
        payload = records.read_single_record(self._vote_path)
        if payload is None:
            return None
        return _VOTE_ADAPTER.validate_json(payload)

    def _read_snapshot(self):
        payload = records.read_single_record(self._snapshot_path)
        if payload is None:
            return None
        return _SNAPSHOT_ADAPTER.validate_json(payload)

    def _open_log(self):
        if not self._log_path.exists():
            self._check_is_new()
            self._rewrite_log(self._base, [])
            return
        data = self._log_path.read_bytes()
        payloads, end = records.read_records(self._log_path, data)
        self._read_log(payloads)
        self.report.truncated_bytes_count = len(data) - end
        # A process that ended during a write, or after a failed one, may have
        # left bytes that can be read and are not on the disk.
        self._replace_log(data[:end])
        self._compact()

    def _check_is_new(self):
        # The log is created first, so it cannot be missing if another file
        # exists.
        if self._vote_path.exists() or self._snapshot is not None:
            reason = "log file is missing, but a vote or snapshot exists"
            raise records.StoreCorruptError(self._log_path, 0, reason)

    def _create_vote(self):
        # The vote is created before the first entry.  If it is missing later,
        # a vote may be lost and the member could vote twice in a term.
        if self._entries or self._snapshot is not None:
            reason = "vote file is missing, but a log or snapshot exists"
            raise records.StoreCorruptError(self._vote_path, 0, reason)
        self.save_vote(self._vote)

    def _read_log(self, payloads):
        # The base record is written by an atomic replacement and cannot be
        # torn.
        if not payloads or len(payloads[0]) != _BASE.size:
            raise records.StoreCorruptError(
                self._log_path,
                0,
                "the first record is not a valid base record",
            )
        self._base = _BASE.unpack(payloads[0])
        for payload in payloads[1:]:
            self._entries.extend(records.unpack_entries(payload))
        indexes = [entry.index for entry in self._entries]
        if indexes != list(range(self._base[0] + 1, self._last_index + 1)):
            reason = "entries are not consecutive"
            raise records.StoreCorruptError(self._log_path, 0, reason)
        snapshot_index = self._snapshot.index if self._snapshot else 0
        if self._base[0] > snapshot_index:
            reason = f"no snapshot of the entries up to {self._base[0]}"
            raise records.StoreCorruptError(self._log_path, 0, reason)

    def _compact(self):
        """Drop the entries that the snapshot covers.

        This also completes a compaction that a crash interrupted.  A log
        that does not contain the snapshot's last entry has another history,
        so its entries after the snapshot are dropped too.
        """
        if self._snapshot is None or self._snapshot.index == self._base[0]:
            return
        base = (self._snapshot.index, self._snapshot.term)
        positions = [(entry.index, entry.term) for entry in self._entries]
        kept = []
        if base in positions:
            kept = self._entries[positions.index(base) + 1 :]
        self._rewrite_log(base, kept)

    def _rewrite_log(self, base, entries):
        data = records.pack_record(_BASE.pack(*base))
        if entries:
            payload = records.pack_entries(entries)
            data += records.pack_record(payload)
        self._replace_log(data)
        self._base = base
        self._entries = list(entries)

    def _replace_log(self, data):
        self._close()
        records.replace_file(self._log_path, data)
        self._stream = open(self._log_path, "r+b")
        self._stream.seek(0, os.SEEK_END)

    def _close(self):
        stream, self._stream = self._stream, None
        if stream is not None:
            # Bytes of a failed write are written again, and may fail again.
            with contextlib.suppress(OSError):
                stream.close()
