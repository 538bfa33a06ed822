"""Tests that connections of callers leave no descriptors open."""

import asyncio

import pytest

from waxwinglift.platform import _protocols
from waxwinglift.process.tests.test_descriptors import stop_while_accepting


@pytest.mark.parametrize("steps_count", range(6))
def test_caller_accepted_during_a_stop_is_disconnected(steps_count):
    # A caller whose connection is accepted just before the stop would stay
    # connected to a proxy that no longer serves it.
    asyncio.run(stop_while_accepting(_protocols.PROTOCOL, steps_count))
