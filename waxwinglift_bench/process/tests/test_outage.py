"""Guards the fakes around the control core in the loss of a data centre."""

import pytest

from waxwinglift_bench.process._outage import Outage
from waxwinglift_bench.process._outage_command import report
from waxwinglift_bench.process._outage_costs import OutageSettings


@pytest.mark.parametrize(
    ("groups_count", "changed_count"),
    # Every fourth group has its primary in the data centre that is lost.
    [(8, 2), (13, 4)],
)
def test_groups_with_a_lost_primary_accept_writes_again(
    groups_count, changed_count
):
    settings = OutageSettings(
        daemons_count=8, groups_count=groups_count, run_ms=6000
    )
    outage = Outage(settings).run()
    assert len(outage.active_ms) == changed_count
    assert outage.entries["DaemonLeft"] == 2
    assert outage.proxies.losses_count() == 0
    # A run whose fakes never answer would measure nothing.
    figures = dict(report(outage))
    assert figures["renewals"] > 100
    assert figures["groups that changed their primary"] == changed_count
