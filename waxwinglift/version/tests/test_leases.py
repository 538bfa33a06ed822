"""Tests that a lease ends at the daemon before it ends at the leader."""

import pytest

from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._leases import LeaseSettings
from waxwinglift.version._leases import LeaseTable

# Longer than the default, so that code that ignores the setting fails.
SETTINGS = LeaseSettings(lease_ms=1200)


def run_daemon(steps):
    lease = DaemonLease()
    for name, *arguments in steps:
        getattr(lease, name)(*arguments)
    return lease


@pytest.mark.parametrize(
    ("steps", "end_ms"),
    [
        ([], 0),
        ([("on_sent", 1, 100)], 0),
        ([("on_sent", 1, 100), ("on_grant", 1, 1200)], 1300),
        # A late grant of an early renewal must not extend a lease.
        (
            [
                ("on_sent", 1, 100),
                ("on_sent", 2, 350),
                ("on_grant", 2, 1200),
                ("on_grant", 1, 1200),
            ],
            1550,
        ),
        ([("on_sent", 1, 100), *[("on_grant", 1, 1200)] * 3], 1300),
        # A sequence number sent twice counts from the first send time.
        ([("on_sent", 1, 100), ("on_sent", 1, 900), ("on_grant", 1, 9)], 109),
        ([("on_grant", 7, 1200)], 0),
    ],
)
def test_daemon_counts_from_send_time(steps, end_ms):
    # If a proxy counted from the receipt of the grant, it could acknowledge a
    # write after the leader treats its lease as expired.
    lease = run_daemon(steps)
    assert lease.is_live(end_ms - 0.1) == (end_ms > 0)
    assert not lease.is_live(end_ms)
    assert lease.left_ms(0) == end_ms


@pytest.mark.parametrize(
    ("applied", "required", "is_granted", "live_until_ms"),
    [(5, 0, True, 1570), (5, 5, True, 1570), (4, 5, False, 1320)],
)
def test_leader_extends_only_leases_of_daemons_that_applied_the_index(
    applied, required, is_granted, live_until_ms
):
    # If the lease of a proxy that has not applied a raised term were
    # extended, the proxy could use the old primary indefinitely.
    table = LeaseTable(SETTINGS)
    assert table.renew("p1", 3, 0.0)
    table.require(required)
    assert table.renew("p1", applied, 250.0) is is_granted
    assert table.is_live("p1", live_until_ms - 1)
    assert table.expired_daemons(live_until_ms) == ["p1"]


@pytest.mark.parametrize(
    ("renewals", "now_ms", "is_applied"),
    [
        ([], 100, False),
        ([("p1", 9, 50)], 100, False),
        ([("p1", 9, 50), ("p2", 9, 60)], 100, True),
        ([("p1", 9, 50), ("p2", 8, 60)], 1319, False),
        # p2 is behind, but its assumed lease and the margin have expired.
        ([("p1", 9, 50), ("p2", 8, 60)], 1320, True),
        ([], 1320, True),
    ],
)
def test_new_leader_waits_for_leases_of_its_predecessor(
    renewals, now_ms, is_applied
):
    # Without the wait, a new leader would promote a server while a proxy
    # still holds a lease of the old leader.
    table = LeaseTable(SETTINGS)
    table.require(9)
    table.start_leadership(["p1", "p2"], 0.0)
    for daemon, applied, at_ms in renewals:
        table.renew(daemon, applied, at_ms)
    assert table.all_applied(9, now_ms) is is_applied
