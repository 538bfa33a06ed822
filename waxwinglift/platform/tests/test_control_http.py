"""Tests the answers to heartbeats and deregistrations of other writers."""

import asyncio
import collections
import json

import pytest

from waxwinglift.platform._control_http import ControlApi
from waxwinglift.platform._http import HttpRequest
from waxwinglift.platform.tests.test_announcements import _GOOD
from waxwinglift.platform.tests.test_announcements import _REGIONS


class FakeService:
    """Records announcements and counts metrics."""

    def __init__(self):
        self.announced = []
        self.counts = collections.Counter()
        self.metrics = self
        self.is_committed = True

    def incr(self, name, count=1):
        self.counts[name] += count

    def announce(self, announcement):
        self.announced.append(announcement)
        return True

    async def has_left(self, announcement):
        return self.is_committed


@pytest.mark.parametrize(
    "path, body",
    [
        ("/Instances.Heartbeat/i-1", b"\xff"),
        ("/Instances.Heartbeat/i-1", b"[" * 100_000),
        ("/Instances.Heartbeat/", b"{}"),
        ("/Instances.Deregister/i-1", b"\xff"),
        ("/Instances.Deregister/i-1", b"[" * 100_000),
        ("/Instances.Deregister/i-1", b'{"born": true}'),
    ],
    ids=[
        "unreadable heartbeat",
        "nested heartbeat",
        "heartbeat without id",
        "unreadable deregistration",
        "nested deregistration",
        "deregistration with an odd start",
    ],
)
def test_odd_call_is_refused_and_counted(path, body):
    """It must change nothing, and operators must see that it happens."""
    service = FakeService()
    api = ControlApi(service, {})
    response = asyncio.run(api.handle(HttpRequest("POST", path, body)))
    assert response.status == 400
    assert service.announced == []
    assert service.counts["control.bad_announcements"] == 1


def test_large_error_is_not_echoed():
    """A response above 4 KiB would not be taken as an answer."""
    body = str(_GOOD | {"address": "x" * 100_000}).replace("'", '"').encode()
    api = ControlApi(FakeService(), {})
    request = HttpRequest("POST", "/Instances.Heartbeat/i-1", body)
    response = asyncio.run(api.handle(request))
    assert response.status == 400
    assert len(response.body) < 4096


@pytest.mark.parametrize(
    ("path", "changes", "is_committed", "status"),
    [
        ("/Instances.Heartbeat/i-1", {"state": "draining"}, True, 200),
        ("/Instances.Heartbeat/i-1", {"state": "draining"}, False, 503),
        ("/Instances.Deregister/i-1", {}, False, 503),
        # Nothing relies on the acknowledgement of an ordinary heartbeat.
        ("/Instances.Heartbeat/i-1", {}, False, 200),
    ],
)
def test_departure_is_acknowledged_once_it_is_committed(
    path, changes, is_committed, status
):
    """From the acknowledgement on, the server counts on getting no work."""
    service = FakeService()
    service.is_committed = is_committed
    body = json.dumps(_GOOD | changes).encode()
    request = HttpRequest("POST", path, body)
    response = asyncio.run(ControlApi(service, _REGIONS).handle(request))
    assert response.status == status
