"""Guards the recorded ends of the timelines of server-fenced groups."""

import pytest

from waxwinglift.version import _entries as entries
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._types import ServerPosition
from waxwinglift.version.tests.fleets import extend
from waxwinglift.version.tests.server_failover_harness import Harness


def _keep_only_old_primary(harness):
    harness.servers["s1"].is_reachable = False
    harness.servers["s2"].is_reachable = False


def _abandon_choice(harness):
    """Choose s1, which stops then; only the old primary answers after it."""
    harness.servers["s2"].is_reachable = False
    harness.servers["s1"].position = ServerPosition(1, 90)
    original = harness._execute

    def stop_chosen(action):
        if isinstance(action, messages.PromoteServer):
            if action.endpoint == "s1":
                server = harness.servers["s1"]
                server.is_reachable, server.is_not_running = False, True
        return original(action)

    harness._execute = stop_chosen


@pytest.mark.parametrize("prepare", [_keep_only_old_primary, _abandon_choice])
def test_no_end_is_recorded_for_a_timeline_that_goes_on(prepare):
    # With an end for the timeline of a primary that stays, each later write
    # of a session counts as discarded, and its reads lose the floor.
    harness = Harness()
    prepare(harness)
    harness.report("a", "s0")
    harness.report("b", "s0")
    harness.run(2500)
    assert harness.promoted[-1] == "s0"
    assert harness.group.term > 2
    assert harness.group.term_ends == {}


# Timelines 2 and 3 are not in the history of the server that leads timeline
# 4; they share its log up to the end of timeline 1.
SKIPPED = [(2, (1, 100)), (4, (1, 90))]


@pytest.mark.parametrize(
    ("promotions", "term_ends"),
    [
        ([(2, (1, 100))], {1: 100}),
        ([(2, (1, 100)), (3, (2, 150))], {1: 100, 2: 150}),
        (SKIPPED, {1: 90, 2: 90, 3: 90}),
        # The server was the primary already.
        ([(1, (1, 100))], {}),
        ([(2, (1, 100)), (2, (2, 150))], {1: 100}),
        # Terms of the group and timelines count independently.
        ([(7, (6, 100))], {6: 100}),
        # A number that no server can have reached must not cost any time.
        ([(2**63, (1, 5))], {2**63 - n: 5 for n in range(1, 17)}),
    ],
)
def test_ends_of_the_timelines_that_promotions_have_ended(
    promotions, term_ends
):
    # Without an end, a session with a floor in a discarded part of the log
    # would be refused until it writes again.
    fleet = Harness().fleet
    for term, (timeline, last_write) in enumerate(promotions, start=2):
        last_write = ServerPosition(*last_write)
        chosen = entries.PrimaryChosen(
            "g", term, "s1", last_write.timeline, last_write.lsn
        )
        extend(
            fleet,
            entries.TermRaised("g", term),
            chosen,
            entries.PrimaryActive("g", term, timeline, last_write),
        )
    assert fleet.groups["g"].term_ends == term_ends
