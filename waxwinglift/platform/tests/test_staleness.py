"""Guards the age of the data that a bounded read may miss."""

import asyncio
import json

import pytest

from waxwinglift.platform._desired_state import decode_desired_state
from waxwinglift.platform.tests import statement_fleet
from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.platform.tests.test_desired_state import _DOCUMENT
from waxwinglift.platform.tests.test_desired_state import _ROUTE
from waxwinglift_standin.platform import ServerSettings
from waxwinglift_standin.platform._group import ReplicationTimes


ROUNDS_COUNT = 15
# Replicas are behind for longer than a round.
RECEIVE_MS = 300.0


def _policy(max_staleness_ms):
    route = _ROUTE | {
        "kind": "bounded_staleness",
        "maxStalenessMs": max_staleness_ms,
    }
    document = json.dumps(_DOCUMENT | {"routes": [route]}).encode()
    return decode_desired_state(document).ok_value.pools[0].policy


@pytest.mark.parametrize("max_staleness_ms", [0, 1])
def test_read_that_accepts_no_older_data_misses_no_write(
    monkeypatch, max_staleness_ms
):
    """Each acknowledged write must be visible to the next read."""
    policy = _policy(max_staleness_ms)
    monkeypatch.setitem(statement_fleet.POOLS, "look", policy)

    async def scenario():
        times = ReplicationTimes(receive_ms=RECEIVE_MS)
        async with running_statement_fleet(times=times) as fleet:
            # Reads go to the replicas while these are faster.
            fleet.server("s1").settings = ServerSettings(work_ms=40.0)
            async with (
                fleet.connected("pay") as writer,
                fleet.connected("look") as reader,
            ):
                seen = []
                for number in range(ROUNDS_COUNT):
                    text = f"WRITE 1a4 v{number}"
                    assert (await writer.query(text)).is_success
                    read = await reader.query("READ 1a4")
                    if read.is_success:
                        seen.append((number, read.rows))
                await asyncio.sleep(RECEIVE_MS / 1000)
                return seen

    seen = asyncio.run(scenario())
    assert seen
    for number, rows in seen:
        assert rows == (b"v%d" % number,)
