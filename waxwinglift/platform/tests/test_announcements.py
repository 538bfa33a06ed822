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
from waxwinglift.process.rpc._convert import announcement_from_wire
from waxwinglift.process.rpc._convert import announcement_to_wire

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
        ({"warmupLeftMs": 1500.5}, False, True),
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
            for missing in _GOOD
            if missing != "born"
        ),
        _GOOD | {"version": 1},
        _GOOD | {"version": None},
        _GOOD | {"warmupLeftMs": "0"},
        _GOOD | {"warmupLeftMs": -1},
        _GOOD | {"warmupLeftMs": None},
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
        (b'{"born": 17, "news": [1]}', 17),
        (b'{"born": 18446744073709551615}', 2**64 - 1),
    ],
)
def test_deregistration(body, started_ms):
    """A deregistration is valid with or without the start of its server."""
    deregistration = decode_deregistration("i-1", body).ok_value
    assert deregistration.is_gone
    assert deregistration.started_ms == started_ms


@pytest.mark.parametrize(
    "change",
    [
        {"capacity": 2**32},
        {"capacity": 10**400},
        {"sequence": 2**64},
        {"born": 2**64},
        {"address": "10.1.0.9:0"},
        {"address": "10.1.0.9:\u0663"},
        {"address": "fe80::1%\ud800:8080"},
        {"address": "fe80::1%a\0:8080"},
        {"warmupLeftMs": float("nan")},
    ],
    ids=[
        "capacity beyond 32 bits",
        "capacity beyond a float",
        "sequence beyond 64 bits",
        "born beyond 64 bits",
        "port 0",
        "digit that is not ASCII",
        "lone surrogate",
        "null character",
        "not a number",
    ],
)
def test_heartbeat_that_cannot_be_stored_is_refused(change):
    """A value that no message or calculation can hold must not be logged."""
    assert isinstance(_decode(_GOOD | change), Err)


@pytest.mark.parametrize("kind", ["lists", "objects"])
def test_nesting_of_any_depth_is_decoded_or_refused(kind):
    """Nesting near the interpreter's limit must not raise an exception."""
    opened, closed = {"lists": ("[", "]"), "objects": ('{"a":', "}")}[kind]
    for depth in (*range(900, 1000), 100_000):
        nested = opened * depth + "0" + closed * depth
        body = json.dumps(_GOOD)[:-1] + f',"news":{nested}}}'
        decoded = _decode(body.encode())
        assert decoded.is_ok() or decoded.is_err()


@pytest.mark.parametrize(
    "change",
    [
        {"capacity": 2**32 - 1},
        {"sequence": 2**63},
        {"born": 2**64 - 1},
        {"address": "[::1]:65535"},
        {"service": "s" * 100_000},
    ],
)
def test_largest_values_are_accepted(change):
    """A bound below what the fields hold would refuse a valid server."""
    announcement = _decode(_GOOD | change).ok_value
    message = announcement_to_wire(announcement)
    assert announcement_from_wire(message) == announcement


@pytest.mark.parametrize(
    "body",
    [
        b"not JSON",
        b"\xff\xfe",
        b"[" * 100_000,
        b"[1]",
        b'{"born": "x"}',
        b'{"born": true}',
        b'{"born": null}',
        b'{"born": 1.5}',
        b'{"born": -1}',
        b'{"born": 18446744073709551616}',
    ],
    ids=[
        "not JSON",
        "not UTF-8",
        "deeply nested",
        "list",
        "text",
        "boolean",
        "null",
        "fraction",
        "negative",
        "beyond 64 bits",
    ],
)
def test_unreadable_deregistration_is_refused(body):
    """A deregistration of another writer must not remove a server."""
    assert isinstance(decode_deregistration("i-1", body), Err)
