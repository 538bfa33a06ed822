"""Tests that a connection to an unusable address is refused cleanly."""

import asyncio

import pytest

from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.connection._backend import open_connection
from waxwinglift.connection._endpoint_errors import EndpointRefused
from waxwinglift.process import Address


@pytest.mark.parametrize(
    "host, port",
    [
        ("127.0.0.1", 65536),
        ("127.0.0.1", 2**64),
        ("h" * 100, 5432),
        ("h\0", 5432),
    ],
    ids=[
        "port beyond 16 bits",
        "port beyond 64 bits",
        "long name",
        "null character",
    ],
)
def test_address_that_cannot_be_used_is_refused(host, port):
    # A stored address of another writer must not end a task of a proxy.
    account = EndpointAccount("u", "", "d", "a")
    opened = open_connection(Address(host, port), account, 1000)
    with pytest.raises(EndpointRefused):
        asyncio.run(opened)
