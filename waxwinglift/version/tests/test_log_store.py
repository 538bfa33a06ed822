"""Tests of the store after crashes, write errors and file damage."""

import errno
import os
import random

import pytest

from waxwinglift.version import _entries as e
from waxwinglift.version import _entry_codec as codec
from waxwinglift.version import FleetState
from waxwinglift.version import _store_records as records
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._consensus_messages import LogEntry
from waxwinglift.version._consensus_messages import MemberRole
from waxwinglift.version._consensus_messages import Snapshot
from waxwinglift.version._consensus_types import Persist
from waxwinglift.version._consensus_types import Vote
from waxwinglift.version._log_store import open_log_store

MEMBERS = (MemberRole("m1", True),)
VOTE = Vote(3, "m2")


def item(index, term=1, body=b'{"n":1}'):
    return LogEntry(index, term, body)


def items(*indexes, term=1):
    return tuple(item(index, term) for index in indexes)


def snapshot(index, term=1, data=b"\x00state"):
    return Snapshot(index, term, MEMBERS, data)


def write_and_reopen(folder, *writes):
    with open_log_store(folder) as store:
        for write in writes:
            store.write(write)
    return reopen(folder)


def reopen(folder):
    with open_log_store(folder) as store:
        return store.load(), store.report.truncated_bytes_count


FIVE_ENTRIES = Persist(1, entries=items(1, 2, 3, 4, 5))


REPLACING = Persist(2, None, 2, items(3, term=2))
REPLACED = items(1, 2) + items(3, term=2)
SNAPSHOT_3, SNAPSHOT_9 = (Persist(2, snapshot=snapshot(n)) for n in (3, 9))
OTHER_HISTORY = Persist(2, snapshot=snapshot(3, 2))
ENTRY_10 = Persist(3, entries=items(10))


@pytest.mark.parametrize(
    ("writes", "vote", "snapshot_index", "entries"),
    [
        ([], Vote(), None, ()),
        ([Persist(1, vote=VOTE)], VOTE, None, ()),
        ([FIVE_ENTRIES], Vote(), None, FIVE_ENTRIES.entries),
        ([FIVE_ENTRIES, REPLACING], Vote(), None, REPLACED),
        ([FIVE_ENTRIES, SNAPSHOT_3], Vote(), 3, items(4, 5)),
        # A snapshot of another history drops the whole old log.
        ([FIVE_ENTRIES, OTHER_HISTORY], Vote(), 3, ()),
        ([FIVE_ENTRIES, SNAPSHOT_9], Vote(), 9, ()),
        ([FIVE_ENTRIES, SNAPSHOT_9, ENTRY_10], Vote(), 9, items(10)),
    ],
)
def test_writes_survive_a_restart(
    tmp_path, writes, vote, snapshot_index, entries
):
    state, truncated_bytes_count = write_and_reopen(tmp_path, *writes)
    assert (state.vote, state.entries) == (vote, entries)
    assert (state.snapshot and state.snapshot.index) == snapshot_index
    assert truncated_bytes_count == 0


@pytest.mark.parametrize("cut_bytes", [1, 5, 12, 13, 40])
@pytest.mark.parametrize("filler", [b"", b"\x00" * 30])
def test_torn_tail_is_truncated_and_reported(tmp_path, cut_bytes, filler):
    # The torn write was never reported as durable; earlier writes are kept.
    more = Persist(2, entries=items(6, 7))
    write_and_reopen(tmp_path, FIVE_ENTRIES, more)
    path = tmp_path / "log"
    record = records.pack_record(records.pack_entries(more.entries))
    intact = path.read_bytes()[: -len(record)]
    path.write_bytes(intact + record[:-cut_bytes] + filler)
    state, truncated_bytes_count = reopen(tmp_path)
    assert state.entries == FIVE_ENTRIES.entries
    assert truncated_bytes_count == len(record) - cut_bytes + len(filler)
    state, truncated_bytes_count = write_and_reopen(tmp_path, more)
    assert (len(state.entries), truncated_bytes_count) == (7, 0)


@pytest.mark.parametrize("seed", range(8))
def test_store_with_damage_before_the_tail_is_not_opened(tmp_path, seed):
    # Truncating there would silently drop confirmed entries.  This holds also
    # if the damaged bytes are the length of a record.
    write_and_reopen(tmp_path, FIVE_ENTRIES, Persist(2, entries=items(6)))
    path = tmp_path / "log"
    data = bytearray(path.read_bytes())
    base_size = len(records.pack_record(b"x" * 16))
    tail_size = len(records.pack_record(records.pack_entries(items(6))))
    offsets = range(base_size, len(data) - tail_size)
    offset = seed + base_size if seed < 4 else None
    offset = offset or random.Random(seed).choice(offsets)
    data[offset] ^= 0x41
    path.write_bytes(data)
    with pytest.raises(records.StoreCorruptError) as caught:
        reopen(tmp_path)
    assert str(path) in str(caught.value)
    assert caught.value.offset == base_size
    assert path.read_bytes() == bytes(data)


@pytest.mark.parametrize("name", ["vote", "snapshot", "log"])
@pytest.mark.parametrize("damage", ["flip", "cut", "remove"])
def test_store_with_damaged_or_missing_file_is_not_opened(
    tmp_path, name, damage
):
    # Without its vote, the member could vote twice in a term; without its log,
    # it would lack entries that it has confirmed.  The error must not keep
    # the files open.
    vote_and_snapshot = Persist(2, vote=VOTE, snapshot=snapshot(3))
    write_and_reopen(tmp_path, FIVE_ENTRIES, vote_and_snapshot)
    path = tmp_path / name
    data = bytearray(path.read_bytes())
    data[14] ^= 1
    path.write_bytes(bytes(data) if damage == "flip" else data[:9])
    if damage == "remove":
        path.unlink()
    descriptors_count = len(os.listdir("/dev/fd"))
    # The exception holds the frames and thereby the store.
    with pytest.raises(records.StoreCorruptError) as caught:
        reopen(tmp_path)
    assert len(os.listdir("/dev/fd")) == descriptors_count
    assert caught.value.__traceback__ is not None


def test_crash_between_snapshot_and_compaction(tmp_path):
    # An old log next to a newer snapshot must not restore compacted entries.
    write_and_reopen(tmp_path, FIVE_ENTRIES)
    old_log = (tmp_path / "log").read_bytes()
    write_and_reopen(tmp_path, Persist(2, snapshot=snapshot(4)))
    (tmp_path / "log").write_bytes(old_log)
    (tmp_path / "snapshot.new").write_bytes(b"torn")
    state, _ = reopen(tmp_path)
    assert (state.snapshot.index, state.entries) == (4, items(5))


def test_second_process_is_refused(tmp_path):
    # Two writers would damage the log.
    with open_log_store(tmp_path):
        with pytest.raises(records.StoreLockedError, match="lock"):
            reopen(tmp_path)
    reopen(tmp_path)


def test_failed_write_stops_the_store(tmp_path, monkeypatch):
    # After a failed sync, the content of the disk is unknown.
    def fail(descriptor):
        raise OSError(errno.ENOSPC, "no space left on device")

    with open_log_store(tmp_path) as store:
        with monkeypatch.context() as patch:
            patch.setattr("os.fsync", fail)
            with pytest.raises(OSError, match="no space"):
                store.write(FIVE_ENTRIES)
        with pytest.raises(records.StoreError, match="earlier write"):
            store.write(FIVE_ENTRIES)


def test_restart_after_500_edits_from_a_snapshot(tmp_path):
    # All accepted edits and their answers must survive a restart.
    table = e.PoolTable("p", "g", (e.RankRow("urgent", 1, 0, 0, 10, 100),))
    fleet = FleetState()
    with open_log_store(tmp_path) as store:
        for version in range(500):
            entry = e.PoolEdited(f"i{version}", "p", version, table)
            index = version + 1
            store.append((item(index, 1, codec.encode_entry(entry)),))
            apply_entry(fleet, index, entry)
            if index % 200 == 0:
                store.save_snapshot(
                    snapshot(index, 1, codec.encode_fleet(fleet))
                )
    state, _ = reopen(tmp_path)
    restored = codec.decode_fleet(state.snapshot.data)
    for stored_item in state.entries:
        entry = codec.decode_entry(stored_item.payload)
        apply_entry(restored, stored_item.index, entry)
    assert len(state.entries) == 100
    assert codec.encode_fleet(restored) == codec.encode_fleet(fleet)


def test_entries_that_were_read_are_synced_before_they_count(
    tmp_path, monkeypatch
):
    """A killed process may leave a record that is not on the disk yet.

    After a restart the member would confirm its entries to the leader, and
    lose them with the next power failure.
    """
    write_and_reopen(tmp_path, Persist(1, entries=items(1, 2)))
    synced = []
    fsync = os.fsync

    def record(descriptor):
        synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        fsync(descriptor)

    monkeypatch.setattr(os, "fsync", record)
    reopen(tmp_path)
    # The log as a new file, and then the folder with the new name.
    assert synced == [str(tmp_path / "log.new"), str(tmp_path)]
