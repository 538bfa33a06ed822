"""Guards what a session reads after a change of primary discarded a write."""

import asyncio

from waxwinglift.platform.tests import statement_fleet
from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.version._entries import PoolPolicy
from waxwinglift.version._types import Consistency

READS_COUNT = 20


def _discard_last_write(fleet):
    """Promote s2, which has received all writes but the last."""
    group = fleet.group
    group.logs["s1"].copy_from(group.logs["s2"])
    term, end = group.logs["s2"].received
    fleet.state.groups[statement_fleet.GROUP].term_ends = {term: end}
    fleet.promote("s2")
    # The only replica left has received no write.
    fleet.server("s1").crash()


def test_a_session_still_reads_its_writes_that_were_not_discarded(monkeypatch):
    """A session that has lost one write must not miss the earlier ones.

    Without a floor, its reads run on replicas that have received neither.
    """
    # Without a maximum age, only the session's floor keeps a read from a
    # replica that is behind.
    policy = PoolPolicy(Consistency.SESSION, 2, 800, 1500, 0, 2)
    monkeypatch.setitem(statement_fleet.POOLS, "refill", policy)

    async def scenario():
        async with running_statement_fleet() as fleet:
            async with fleet.connected("refill") as caller:
                fleet.group.cut_off = {"s3"}
                await caller.query("WRITE 1a4 coal")
                await asyncio.sleep(0.05)
                fleet.group.cut_off = {"s2", "s3"}
                await caller.query("WRITE 1a4 wood")
                _discard_last_write(fleet)
                report = await caller.query("READ 1a4")
                reads = [
                    await caller.query("READ 1a4") for _ in range(READS_COUNT)
                ]
            fleet.group.cut_off = set()
            return report, reads

    report, reads = asyncio.run(scenario())
    assert report.error.startswith(b"LAGGING")
    assert {read.rows for read in reads} == {(b"coal",)}
