"""Tests a leader that is partitioned from the servers only.

It still reaches the other members.
"""

import pytest

from waxwinglift.version import _control_core_messages as core_messages
from waxwinglift.version import _entries as entries
from waxwinglift.version._failover_messages import ActionFailed
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._failover_messages import ServerAction
from waxwinglift.version.tests.failover_harness import Harness
from waxwinglift.version.tests.fleets import extend
from waxwinglift.version.tests.test_control_core import Leader

DOWN = (DownEndpoint("g-a", 1),)


@pytest.mark.parametrize(
    ("reached", "found_down", "lost", "duration_ms", "is_cut_off"),
    [
        ((), (), (), 2000, True),
        ((), (), (), 500, False),
        # The leader reaches one replica, so the other one is partitioned.
        (("g-b",), (), (), 2000, False),
        # No other daemon reaches the replica either.
        ((), ("g-b",), (), 2000, False),
        ((), (), ("g-b",), 2000, False),
    ],
)
def test_when_the_leader_counts_as_partitioned(
    reached, found_down, lost, duration_ms, is_cut_off
):
    harness = Harness()
    for name in lost:
        extend(harness.fleet, entries.EndpointLost(name))
    for name, server in harness.servers.items():
        server.is_reachable = name in reached
    for _ in range(duration_ms // 50):
        harness.report("a", "g-a", *found_down)
        harness.run(1)
    assert (
        harness.planner.is_cut_off(harness.fleet, harness.now_ms) is is_cut_off
    )


def test_partitioned_leader_pauses_between_step_downs():
    # If no member reaches a server, the elections would otherwise never end.
    leader = Leader()
    leader.commit(
        entries.OwnersAssigned(
            tuple(
                entries.OwnerAssignment(e, "a", "b", 1)
                for e in leader.fleet.endpoints
            )
        )
    )

    def run(steps_count):
        step_downs_count = 0
        for _ in range(steps_count):
            leader.core.announcements.start_leadership(
                leader.fleet, leader.now_ms
            )
            for action in leader.run(steps_count=1, down=DOWN):
                if isinstance(action, ServerAction):
                    leader.step(ActionFailed(action, "no answer"))
                if isinstance(action, core_messages.GiveUpLeadership):
                    step_downs_count += 1
                    leader.step(core_messages.SteppedDown())
                    leader.step(core_messages.BecameLeader())
        return step_downs_count

    assert run(60) == 1
    assert run(300) == 0
    assert run(400) == 1
