"""Tests which announcements are refused at the gRPC interface."""

import pytest

from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._convert import announcement_from_wire
from waxwinglift.process.rpc._convert import find_announcement_error

_GOOD = {
    "endpoint": "g-a",
    "group": "g",
    "host": "127.0.0.1",
    "port": 5432,
    "slots_count": 3,
    "connection_limit_count": 25,
    "group_size_count": 3,
}


def _find_error(**changes):
    message = control_pb2.Announcement(**(_GOOD | changes))
    return find_announcement_error(announcement_from_wire(message))


@pytest.mark.parametrize(
    "change",
    [{}, {"host": "::1"}, {"port": 65535}, {"slots_count": 2**32 - 1}],
)
def test_valid_announcement(change):
    # A server that can be used must not be refused.
    assert _find_error(**change) == ""


@pytest.mark.parametrize(
    "change",
    [
        {"port": 0},
        {"port": 65536},
        {"host": ""},
        {"host": "server"},
        {"host": "h\0"},
        {"host": "h" * 100},
    ],
    ids=[
        "port 0",
        "port beyond 16 bits",
        "no host",
        "host name",
        "null character",
        "long name",
    ],
)
def test_address_that_cannot_be_used(change):
    # Proxies that connect to it would raise an error that is no OSError.
    assert _find_error(**change) != ""
