"""Guards the age of the state that a proxy with a live lease uses."""

import asyncio
import time

import pytest

from waxwinglift.process import _control_rpc
from waxwinglift.process._relays import order_relays
from waxwinglift.process._watch_lag import WatchLag
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.tests import test_control as control

# Time within which an accepted state must be in force everywhere.
IN_FORCE_LIMIT_S = 3.0


@pytest.mark.parametrize(
    ("answers", "is_lagging"),
    [
        # Each answer: time in ms, the leader's index, the applied index.
        ([(0, 5, 5), (900, 5, 5)], False),
        ([(0, 6, 5), (300, 6, 5)], False),
        ([(0, 6, 5), (600, 6, 5)], True),
        # The leader commits all the time, and the proxy follows.
        ([(0, 6, 5), (300, 9, 7), (700, 12, 10), (1000, 14, 13)], False),
        ([(0, 6, 5), (300, 9, 5), (700, 12, 5)], True),
        # A relay without a leader says nothing about the log.
        ([(0, 6, 5), (700, 0, 5)], False),
        # The group was founded again and counts from the start.
        ([(0, 90, 80), (700, 3, 80)], False),
    ],
)
def test_missing_entries_are_noticed(answers, is_lagging):
    """A relay whose log stands still must not be kept for long."""
    lag = WatchLag()
    found = [
        lag.record(leader_index, applied_index, now_ms)
        for now_ms, leader_index, applied_index in answers
    ]
    assert found[-1] is is_lagging
    assert not any(found[:-1])


def _stand_still(monkeypatch, stuck):
    """Let the watch streams of members send only keep-alive messages."""
    original = _control_rpc.ControlRpc._next_entries

    def next_entries(rpc, index):
        if rpc._node.settings.listen in stuck:
            return control_pb2.WatchReply()
        return original(rpc, index)

    monkeypatch.setattr(_control_rpc.ControlRpc, "_next_entries", next_entries)


@pytest.mark.parametrize("stuck_count", [1, 2])
def test_state_is_in_force_in_time_although_relays_stand_still(
    tmp_path, monkeypatch, stuck_count
):
    """A relay can be alive in every respect but for its log.

    The proxy would go on with an old state for as long as the relay lives.
    """

    async def work():
        async with control.running_group(tmp_path, count=5) as members:
            addresses = [member.settings.listen for member in members]
            async with control.running_link(members) as link:
                await control.wait_until(link.view.lease_is_live)
                preferred = order_relays(link.settings.daemon, addresses)
                _stand_still(monkeypatch, preferred[:stuck_count])
                await control.propose(members, control.make_edit("a", 0))
                accepted_s = time.monotonic()
                await control.wait_until(
                    lambda: "payouts" in link.view.fleet.pools
                )
                return time.monotonic() - accepted_s

    assert asyncio.run(work()) < IN_FORCE_LIMIT_S
