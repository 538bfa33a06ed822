"""Tests of which log entries announcements cause, and how often."""

import dataclasses

import pytest

from waxwinglift.version import _entries as entries
from waxwinglift.version._announcements import Announcement
from waxwinglift.version._control_settings import AnnouncementSettings
from waxwinglift.version._announcements import AnnouncementTable
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import EndpointState
from waxwinglift.version._types import GroupPhase
from waxwinglift.version.tests.fleets import endpoint_joined


def make_announcement(name, data_centre="a", in_recovery=True, **fields):
    joined = endpoint_joined(name, data_centre)
    return Announcement(
        joined.endpoint,
        joined.group,
        joined.address,
        joined.location,
        joined.slots_count,
        joined.connection_limit_count,
        joined.group_size_count,
        fields.pop("term", 1),
        in_recovery,
        **fields,
    )


class Log:
    """Applies proposed entries at once and records them."""

    def __init__(self):
        self.fleet = FleetState()
        self.table = AnnouncementTable(AnnouncementSettings())
        self.entries = []

    def announce(self, announcement, now_ms):
        self._commit(self.table.announce(announcement, self.fleet, now_ms))

    def expire(self, now_ms):
        self._commit(self.table.expire(self.fleet, now_ms))

    def _commit(self, proposed):
        for entry in proposed:
            self.entries.append(entry)
            apply_entry(self.fleet, self.fleet.index + 1, entry)


@pytest.mark.parametrize(
    ("recovering", "phase"),
    [
        ([False, True, True], GroupPhase.ACTIVE),
        ([True, True, True], GroupPhase.FORMING),
        ([False, False, True], GroupPhase.FORMING),
        ([False, True], GroupPhase.FORMING),
    ],
)
def test_group_forms_with_all_servers_and_one_primary(recovering, phase):
    # With two servers out of recovery, forming the group would choose one of
    # two diverged histories at random.
    log = Log()
    for round_ms in (0, 500):
        for data_centre, in_recovery in zip("abc", recovering, strict=False):
            log.announce(
                make_announcement(
                    f"g-{data_centre}", data_centre, in_recovery
                ),
                round_ms,
            )
    assert log.fleet.groups["g"].phase is phase


def test_expired_and_leaving_endpoints_are_logged_once():
    # Each repetition would be another entry for all daemons to apply.
    log = Log()
    for name in ("g-a", "g-b"):
        log.announce(make_announcement(name, name[-1]), 0)
    log.announce(make_announcement("g-b", "b", is_leaving=True), 100)
    for now_ms in range(0, 1400, 100):
        log.expire(now_ms)
    assert log.fleet.endpoints["g-a"].state is EndpointState.JOINED
    for now_ms in range(1500, 4000, 100):
        log.announce(make_announcement("g-b", "b", is_leaving=True), now_ms)
        log.expire(now_ms)
    assert log.fleet.endpoints["g-a"].state is EndpointState.LOST
    assert log.fleet.endpoints["g-b"].state is EndpointState.LEAVING
    assert len(log.entries) == 4


@pytest.mark.parametrize("kind", ["leaving", "term", "expired"])
def test_flapping_endpoint_does_not_flood_the_log(kind):
    # Each change of an endpoint is an entry that 450 daemons must apply.
    log = Log()
    steady = make_announcement("g-a")
    changed = {
        "leaving": dataclasses.replace(steady, is_leaving=True),
        "term": dataclasses.replace(steady, term=2),
        "expired": None,
    }[kind]
    for now_ms in range(0, 60_000, 2000):
        log.announce(steady, now_ms)
        if changed:
            log.announce(changed, now_ms + 1000)
        log.expire(now_ms + 1900)
    assert 4 <= len(log.entries) <= 16


def test_refused_entry_is_retried_with_backoff():
    # A server with wrong settings must not fill the log.
    log = Log()
    log.fleet.groups.clear()
    wrong = dataclasses.replace(make_announcement("g-a"), group_size_count=0)
    for now_ms in range(0, 60_000, 500):
        log.announce(wrong, now_ms)
    assert log.fleet.endpoints == {}
    assert 2 <= len(log.entries) <= 8


def test_new_leader_restarts_the_ttl_of_known_endpoints():
    # Otherwise each election would log all endpoints as lost.
    log = Log()
    log.announce(make_announcement("g-a"), 0)
    log.table.start_leadership(log.fleet, 5000)
    log.expire(6499)
    assert log.fleet.endpoints["g-a"].state is EndpointState.JOINED
    log.expire(6500)
    assert isinstance(log.entries[-1], entries.EndpointLost)


def test_names_of_undeclared_groups_are_forgotten():
    # Another writer that names a new group each time must not fill the
    # leader's memory.
    log = Log()
    for number in range(50):
        announcement = make_announcement(f"s{number}", started_ms=1)
        log.announce(dataclasses.replace(announcement, group=f"g{number}"), 0)
    log.expire(10_000)
    assert "g49" not in repr(vars(log.table))
