"""Record format of the control store: length, xxh64 checksum and payload."""

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
    """A file is missing, or has a bad record before its tail."""

    def __init__(self, path, offset, reason):
        super().__init__(f"{path}: offset {offset}: {reason}")
        self.path = path
        self.offset = offset


class StoreFormatError(StoreError):
    """The records are intact, but another software version wrote them."""


class StoreLockedError(StoreError):
    """The data folder is in use by another process."""


def pack_record(payload):
    """Return the record of ``payload``."""
    checksum = xxhash.xxh64_intdigest(payload)
    return _RECORD_HEADER.pack(len(payload), checksum) + payload


def read_record(data, offset):
    """Return the payload and the end of the record at ``offset``.

    Returns
    -------
    (bytes, int) or None
        None if there is no complete record with a correct checksum.
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
    """Return the payloads in ``data`` and the end of the last record.

    Data after the last good record is a torn tail: a write that was not
    synced and therefore never confirmed.

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
    # With a damaged length the start of the next record is unknown, so try
    # each offset.  This is fast, because JSON text that is read as a length
    # exceeds any file size and is not hashed.
    offsets = range(offset + 1, len(data))
    return any(read_record(data, position) for position in offsets)


def pack_entries(entries):
    """Return the payload of one record with ``entries``.

    Entries written together share a record, so that a torn write cannot
    leave a good record after a bad one.
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
    """Make the creation and renaming of files in ``folder`` durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path, data):
    """Atomically replace the content of ``path`` by ``data``."""
    temporary_path = path.with_name(path.name + ".new")
    with open(temporary_path, "wb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
    os.replace(temporary_path, path)
    sync_folder(path.parent)


def read_single_record(path):
    """Return the payload of a file that contains exactly one record.

    Returns
    -------
    bytes or None
        None if the file does not exist.

    Raises
    ------
    StoreCorruptError
        The file does not contain exactly one good record.
    """
    if not path.exists():
        return None
    data = path.read_bytes()
    record = read_record(data, 0)
    if record is None or record[1] != len(data):
        raise StoreCorruptError(path, 0, "wrong length or checksum")
    return record[0]
