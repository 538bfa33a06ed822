"""Tests the floors of reads that accept data of a certain age."""

import asyncio

import pytest
from result import Err
from result import Ok

from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._statement_positions import GroupFloors
from waxwinglift.process.tests.data_path_fleet import LOCATION
from waxwinglift.version import FleetState
from waxwinglift.version import GroupPhase
from waxwinglift.version import LogIndex
from waxwinglift.version import OwnerAssignment
from waxwinglift.version import Position
from waxwinglift.version._fleet import Group
from waxwinglift.version._types import Fencing


class FakeOwner:
    """Owner of the primary; each query returns a higher position."""

    is_unresponsive = False

    def __init__(self):
        self.query_count = 0
        self.failure = None

    async def group_position(self, group, term):
        self.query_count += 1
        if self.failure is not None:
            return Err(self.failure)
        return Ok(Position(term, 100 * self.query_count))


class FloorsHarness:
    """Floors of one group with a clock that the test sets."""

    def __init__(self):
        self.now_ms = 0.0
        self.owner = FakeOwner()
        state = FleetState(index=LogIndex(1))
        state.groups["g"] = Group(
            "g", GroupPhase.ACTIVE, 3, 1, "a", 0, {}, {1: 1}, Fencing.SERVER
        )
        state.owners["a"] = OwnerAssignment("a", "p1", None, 1)
        self.group = state.groups["g"]
        self.floors = GroupFloors(
            "g",
            FleetView("p2", LOCATION, lambda: True, state),
            lambda daemon: self.owner,
            lambda: self.now_ms,
        )

    async def find(self, now_ms, max_age_ms=1550):
        """Return the LSN of the floor of a read; None if it is refused."""
        self.now_ms = now_ms
        found = await self.floors.find(max_age_ms)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return found.ok_value.lsn if isinstance(found, Ok) else None


@pytest.mark.parametrize(
    "times_ms, lsns",
    [
        # The first read waits for the answer.  Later reads use it while it
        # is recent enough, and newer ones are queried in the background.
        ((0, 400, 800, 1400), (100, 100, 100, 100)),
        # At 1600, LSN 100 is too old; LSN 200 was queried at 400.
        ((0, 400, 800, 1600), (100, 100, 100, 200)),
        # After a long time without reads, no position is recent enough.
        ((0, 5000), (100, 200)),
    ],
)
def test_oldest_position_within_the_accepted_age_is_used(times_ms, lsns):
    """Replicas that are recent enough must not be refused as behind."""

    async def work():
        harness = FloorsHarness()
        return tuple([await harness.find(now_ms) for now_ms in times_ms])

    assert asyncio.run(work()) == lsns


def test_new_primary_is_queried_once_it_is_active():
    """Positions of a replaced primary may be missing in the new log."""

    async def work():
        harness = FloorsHarness()
        before = await harness.find(0)
        harness.group.phase = GroupPhase.PROMOTING
        harness.group.term = 2
        during = await harness.find(200)
        harness.group.phase = GroupPhase.ACTIVE
        after = await harness.find(210)
        return before, during, after

    assert asyncio.run(work()) == (100, 100, 200)


def test_reads_without_a_recent_position_are_refused():
    """Without such a position, the age of the data is unknown."""

    async def work():
        harness = FloorsHarness()
        first = await harness.find(0)
        harness.owner.failure = "no answer"
        return first, await harness.find(1400), await harness.find(1600)

    assert asyncio.run(work()) == (100, 100, None)
