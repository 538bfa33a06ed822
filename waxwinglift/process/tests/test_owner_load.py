"""Tests the load that an owner observes at its endpoint."""

import pytest

from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._group_load import GroupLoads
from waxwinglift.request.tests import virtual_endpoint
from waxwinglift.request.tests.virtual_endpoint import now_ms
from waxwinglift.version import GroupPhase


@pytest.mark.parametrize("phase", GroupPhase)
def test_load_of_the_primary_is_known_in_each_phase(phase):
    """The endpoint is not an active primary while its group changes it.

    The lag of a replica was looked for then, from the position of the primary,
    which is the endpoint itself: the search did not end.
    """
    server = virtual_endpoint.VirtualServer(4, 20)
    state = virtual_endpoint.make_state(server, {})

    async def scenario():
        async with virtual_endpoint.running_owner(server, state, {}) as owner:
            loads = GroupLoads(
                owner.view, lambda endpoint: owner, now_ms, NoMetrics()
            )
            state.groups[virtual_endpoint.GROUP].phase = phase
            return loads.book.find(virtual_endpoint.ENDPOINT, now_ms())

    load = virtual_endpoint.run_in_virtual_time(scenario())
    assert load.lag_ms == 0.0
