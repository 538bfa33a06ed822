"""Tests of the order of writes and answers on a real store."""

import random

import pytest

from waxwinglift.version import _consensus_types as t
from waxwinglift.version import _entries as e
from waxwinglift.version import _entry_codec as codec
from waxwinglift.version import FleetState
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._consensus_driver import MemberDriver
from waxwinglift.version._log_store import open_log_store
from waxwinglift.version.tests.virtual_group import ADDRESS

TABLE = e.PoolTable("p", "g", (e.RankRow("urgent", 1, 0, 0, 10, 100),))


class Member:
    """Only member of a group; takes a snapshot every few entries."""

    def __init__(self, store, snapshot_every_count):
        self.now_ms = 0.0
        self.snapshot_every_count = snapshot_every_count
        snapshot = store.load().snapshot
        self.fleet = (
            codec.decode_fleet(snapshot.data) if snapshot else FleetState()
        )
        self.driver = MemberDriver(
            t.ConsensusSettings(member="m1"),
            store,
            random.Random(1),
            lambda: self.now_ms,
            self.execute,
            [("m1", ADDRESS)],
        )
        for _ in range(3):
            self.now_ms = self.driver.deadline_ms
            self.driver.tick()

    def execute(self, action):
        for item in getattr(action, "entries", ()):
            entry = codec.decode_entry(item.payload)
            apply_entry(self.fleet, item.index, entry)
            if item.index % self.snapshot_every_count == 0:
                data = codec.encode_fleet(self.fleet)
                self.driver.handle(t.SnapshotTaken(item.index, data))


@pytest.mark.parametrize("snapshot_every_count", [1, 4, 1_000])
def test_restarts_keep_every_committed_edit(tmp_path, snapshot_every_count):
    for start in range(4):
        with open_log_store(tmp_path) as store:
            member = Member(store, snapshot_every_count)
            assert member.driver.node.role is t.NodeRole.LEADER
            for version in range(start * 5, start * 5 + 5):
                edit = e.PoolEdited(f"i{version}", "p", version, TABLE)
                event = t.Propose(version, codec.encode_entry(edit))
                member.driver.handle(event)
            assert member.fleet.pools["p"].version == start * 5 + 5
