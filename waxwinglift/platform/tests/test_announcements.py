"""Tests the decoding of servers' heartbeats and deregistrations."""

import json

import pytest
from result import Err

from waxwinglift.platform._announcements import decode_announcement
from waxwinglift.platform._announcements import decode_deregistration
from waxwinglift.process import Address
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region

_REGIONS = {"palermo-a": "palermo"}
_GOOD = {
    "service": "ledger",
    "address": "10.1.0.9:8080",
    "zone": "palermo-a",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "dbRole": "replica",
    "sequence": 4,
    "born": 1700000000123,
}


def _decode(body, endpoint="i-1"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return decode_announcement(endpoint, body, _REGIONS)


def test_announcement():
    """The fields of a heartbeat are copied unchanged."""
    announcement = _decode(_GOOD).ok_value
    assert announcement.address == Address("10.1.0.9", 8080)
    assert announcement.location == Location(
        DataCentre("palermo-a"), Region("palermo")
    )
    assert announcement.slots_count == 2
    assert announcement.started_ms == 1700000000123
    assert announcement.sequence == 4


@pytest.mark.parametrize(
    "change, is_leaving, in_recovery",
    [
        ({}, False, True),
        ({"dbRole": "primary"}, False, False),
        ({"state": "draining"}, True, True),
        # Fields that the proxy does not need may be missing.
        ({"version": None, "warmupLeftMs": None}, False, True),
    ],
)
def test_role_and_state(change, is_leaving, in_recovery):
    """The role and the state of a server are decoded."""
    announcement = _decode(_GOOD | change).ok_value
    assert announcement.is_leaving is is_leaving
    assert announcement.in_recovery is in_recovery


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[" * 100_000,
        [],
        "text",
        *(
            {key: value for key, value in _GOOD.items() if key != missing}
            for missing in ("service", "address", "zone", "dbRole")
        ),
        _GOOD | {"capacity": "2"},
        _GOOD | {"capacity": 0},
        _GOOD | {"capacity": True},
        _GOOD | {"sequence": -1},
        _GOOD | {"sequence": 1.5},
        _GOOD | {"address": "somewhere"},
        _GOOD | {"address": 8080},
        _GOOD | {"state": "sleeping"},
        _GOOD | {"dbRole": "witness"},
        _GOOD | {"born": "yesterday"},
    ],
)
def test_invalid_announcement_is_refused(body):
    """An unreadable heartbeat must not add a server."""
    assert isinstance(_decode(body), Err)


def test_announcement_without_id():
    """A heartbeat without an id must not add an endpoint."""
    assert isinstance(_decode(_GOOD, endpoint=""), Err)


@pytest.mark.parametrize(
    "body, started_ms",
    [
        (b"", 0),
        (b"{}", 0),
        (b'{"born": 17}', 17),
        (b'{"born": "x"}', 0),
        (b"[1]", 0),
        (b"not JSON", 0),
    ],
)
def test_deregistration(body, started_ms):
    """A deregistration is valid whatever its body contains."""
    deregistration = decode_deregistration("i-1", body)
    assert deregistration.is_gone
    assert deregistration.started_ms == started_ms
