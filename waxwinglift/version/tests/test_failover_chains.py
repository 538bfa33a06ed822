"""Guards changes of primary that follow each other or fail half-way."""

import pytest

from waxwinglift.version._types import GroupPhase
from waxwinglift.version.tests.failover_rig import Rig


@pytest.mark.parametrize("lost", ["lost_unpromoted", "lost_promoted"])
def test_another_server_is_chosen_when_the_chosen_one_is_lost(lost):
    # Five servers survive two failures; waiting for the chosen server to
    # come back stops all writes although a quorum is left.
    rig = Rig(sites="abcde")
    setattr(rig, lost, {2})
    rig.change_primary()
    group = rig.fleet.groups["g"]
    first = group.primary
    assert (group.phase, group.term) == (GroupPhase.PROMOTING, 2)
    rig.report("a", first, term=2)
    rig.run(2)
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 3)
    assert group.primary not in ("g-a", first)


@pytest.mark.parametrize(
    ("sites", "is_reached", "reports", "phase", "term"),
    [
        ("abcde", False, True, GroupPhase.ACTIVE, 3),
        ("abcde", False, False, GroupPhase.ACTIVE, 3),
        # A promotion that takes long: the next server may be as slow.
        ("abcde", True, False, GroupPhase.PROMOTING, 2),
        # Two of three servers are lost: no quorum is left.
        ("abc", False, True, GroupPhase.PROMOTING, 2),
    ],
)
def test_when_a_chosen_server_is_replaced(
    sites, is_reached, reports, phase, term
):
    rig = Rig(sites=sites)
    rig.lost_unpromoted = {2}
    rig.change_primary(steps_count=1)
    rig.is_reached = is_reached
    group = rig.fleet.groups["g"]
    chosen = group.primary
    for _ in range(40):
        rig.report("a", *[chosen] * reports, term=2)
        rig.run(1)
    assert (group.phase, group.term) == (phase, term)
    if phase is GroupPhase.PROMOTING:
        status = rig.planner.statuses()["g"]
        assert status.startswith(f"waiting for {chosen} to be promoted")
        missing = "waiting for 1 of 2 servers to answer"
        assert (missing in status) is (sites == "abc")


@pytest.mark.parametrize("lost", ["lost_unpromoted", "lost_promoted"])
def test_chosen_server_that_returns_goes_on(lost):
    # Without a quorum besides it the group waits for the chosen server.
    rig = Rig()
    setattr(rig, lost, {2})
    rig.change_primary()
    group = rig.fleet.groups["g"]
    assert (group.phase, group.term) == (GroupPhase.PROMOTING, 2)
    rig.servers[group.primary].is_reachable = True
    rig.run(20)
    assert (group.phase, group.term) == (GroupPhase.ACTIVE, 2)
