"""Tests the process ids from which any proxy finds a session's proxy."""

import random

import pytest

from waxwinglift.connection import SessionId
from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.connection._cancel_key import proxies_of
from waxwinglift.connection._cancel_key import proxy_code
from waxwinglift.connection._cancel_key import SessionIdAllocator
from waxwinglift.process import DaemonId

FLEET = [DaemonId(f"proxy-{number}") for number in range(450)]
SECRET = b"1234"


def test_session_ids_identify_their_proxy():
    # Otherwise a cancel request is forwarded to the wrong proxy and the
    # statement continues to run.
    for daemon in FLEET:
        allocator = SessionIdAllocator(daemon, random.Random(1))
        number = allocator.allocate(())
        assert 0 < number < 2**31
        assert daemon in proxies_of(CancelKey(number, SECRET), FLEET)


def test_few_proxies_share_a_code():
    # A forged key must not make one proxy query the whole fleet.
    codes = [proxy_code(daemon) for daemon in FLEET]
    assert max(codes.count(code) for code in codes) <= 5


@pytest.mark.parametrize(
    ("process_id", "secret"),
    [
        (0, b""),
        (1, b"123"),
        (1, b"12345"),
        (-1, b""),
    ],
)
def test_malformed_keys_match_no_proxy(process_id, secret):
    # Malformed keys must not be forwarded to another proxy.
    assert proxies_of(CancelKey(process_id, secret), FLEET) == []


def test_ids_in_use_are_skipped():
    # A second session with the same id would receive the cancel requests of
    # the first one.
    allocator = SessionIdAllocator(FLEET[0], random.Random(2))
    first = allocator.allocate(())
    second_allocator = SessionIdAllocator(FLEET[0], random.Random(2))
    assert (
        second_allocator.allocate({first, SessionId(first + 1)}) == first + 2
    )


def test_sequence_wraps_around_within_its_proxy():
    # An overflow into the code bits would identify another proxy.
    class LastNumberRandom(random.Random):
        def randrange(self, stop):
            return stop - 1

    allocator = SessionIdAllocator(FLEET[0], LastNumberRandom())
    key = CancelKey(allocator.allocate(()), SECRET)
    assert FLEET[0] in proxies_of(key, FLEET)
