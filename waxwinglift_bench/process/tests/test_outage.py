"""Tests of the data centre loss simulation and its fakes."""

import pytest

from waxwinglift_bench.process._outage import Outage
from waxwinglift_bench.process._outage_command import report
from waxwinglift_bench.process._outage_costs import OutageSettings


@pytest.mark.parametrize(
    ("groups_count", "changed_count"),
    # The lost data centre has the primary of every fourth group.
    [(8, 2), (13, 4)],
)
def test_groups_with_a_lost_primary_accept_writes_again(
    groups_count, changed_count
):
    settings = OutageSettings(
        daemons_count=8, groups_count=groups_count, run_ms=6000
    )
    outage = Outage(settings).run()
    assert len(outage.writes_resumed_ms) == changed_count
    assert outage.entries["DaemonLeft"] == 2
    assert outage.proxies.lease_losses_count() == 0
    # Guards against fakes that never call the core: nothing would be measured.
    results = dict(report(outage))
    assert results["renewals"] > 100
    assert results["groups that changed their primary"] == changed_count
