"""Record format of the control store: length, xxh64 and payload."""

import os
import struct

import xxhash

from waxwinglift.version._consensus_messages import LogEntry

_RECORD_HEADER = struct.Struct(">IQ")
_ENTRY_HEADER = struct.Struct(">QQI")
LENGTH_LIMIT_BYTES = 1 << 30


class StoreError(RuntimeError):
    """The data folder cannot be used."""


class StoreCorruptError(StoreError):
    """A file has a bad record before its tail."""

    def __init__(self, path, offset, reason):
        super().__init__(f"{path}: offset {offset}: {reason}")
        self.path = path
        self.offset = offset


class StoreFormatError(StoreError):
    """The records are whole, but another version wrote their content."""


class StoreLockedError(StoreError):
    """Another process uses the data folder."""


def pack_record(payload):
    """Return the record of ``payload``."""
    checksum = xxhash.xxh64_intdigest(payload)
    return _RECORD_HEADER.pack(len(payload), checksum) + payload


def read_record(data, offset):
    """Return the payload and the end of the record at ``offset``.

    Returns
    -------
    (bytes, int) or None
        None when there is no complete record with a right checksum.
    """
    start = offset + _RECORD_HEADER.size
    if start > len(data):
        return None
    length, checksum = _RECORD_HEADER.unpack_from(data, offset)
    end = start + length
    if not 0 < length <= LENGTH_LIMIT_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if xxhash.xxh64_intdigest(payload) != checksum:
        return None
    return payload, end


def read_records(path, data):
    """Return the payloads in ``data`` and the end of the last one.

    What follows the last good record is a torn tail when no good record
    follows: a write was not synced yet, so nobody was told of it.

    Raises
    ------
    StoreCorruptError
        A good record follows a bad one.
    """
    payloads = []
    offset = 0
    while (record := read_record(data, offset)) is not None:
        payload, offset = record
        payloads.append(payload)
    if _has_record_after(data, offset):
        raise StoreCorruptError(path, offset, "bad record before the tail")
    return payloads, offset


def _has_record_after(data, offset):
    # A damaged length hides where the next record starts: try every byte.
    # JSON text read as a length exceeds any file, so few bytes are hashed.
    ends = range(offset + 1, len(data))
    return any(read_record(data, position) for position in ends)


def pack_entries(entries):
    """Return the payload of one record with ``entries``.

    Entries written at once share a record, so that a write torn anywhere
    leaves no good record behind a bad one.
    """
    parts = []
    for entry in entries:
        size_bytes = len(entry.payload)
        parts.append(_ENTRY_HEADER.pack(entry.index, entry.term, size_bytes))
        parts.append(entry.payload)
    return b"".join(parts)


def unpack_entries(payload):
    """Return the entries of one record."""
    entries = []
    offset = 0
    while offset < len(payload):
        index, term, size_bytes = _ENTRY_HEADER.unpack_from(payload, offset)
        offset += _ENTRY_HEADER.size
        body = payload[offset : offset + size_bytes]
        entries.append(LogEntry(index, term, body))
        offset += size_bytes
    return entries


def sync_folder(folder):
    """Make created and renamed files of ``folder`` durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path, data):
    """Write ``data`` to ``path``: the old or the new content survives."""
    temporary_path = path.with_name(path.name + ".new")
    with open(temporary_path, "wb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
    os.replace(temporary_path, path)
    sync_folder(path.parent)


def read_single(path):
    """Return the only payload of a file that is always replaced whole.

    Returns
    -------
    bytes or None
        None when there is no such file.
    """
    if not path.exists():
        return None
    data = path.read_bytes()
    record = read_record(data, 0)
    if record is None or record[1] != len(data):
        raise StoreCorruptError(path, 0, "wrong length or checksum")
    return record[0]
