"""Guards that a departure is confirmed only once it is in the log."""

import asyncio
import dataclasses

import pytest

from waxwinglift.process import Address
from waxwinglift.process import _control
from waxwinglift.process import Location
from waxwinglift.process._control_proposals import ProposalError
from waxwinglift.process.tests import test_control as control
from waxwinglift.version._announcements import Announcement
from waxwinglift.version._entries import EndpointJoined
from waxwinglift.version._types import EndpointRole
from waxwinglift.version._types import EndpointState

_JOIN_TIMEOUT_S = 10.0

ENDPOINT = Announcement(
    endpoint="s1",
    group="g",
    address=Address("127.0.0.1", 5432),
    location=Location("dc-1", "region-1"),
    slots_count=2,
    connection_limit_count=20,
    group_size_count=3,
    term=1,
    in_recovery=True,
    started_ms=0,
)


def _joined():
    fields = {
        field.name: getattr(ENDPOINT, field.name)
        for field in dataclasses.fields(EndpointJoined)
        if hasattr(ENDPOINT, field.name)
    }
    return EndpointJoined(**fields, role=EndpointRole.REPLICA)


async def _join(members):
    """Join the endpoint and return the leader.

    A proposal is sent again after a change of the leader, as its error says:
    a leader that gets no processor time for 250 ms steps down.
    """
    async with asyncio.timeout(_JOIN_TIMEOUT_S):
        while True:
            leader = await control.leader_of(members)
            outcome = await leader.node.propose(_joined(), 5000)
            if outcome.is_ok():
                break
            assert outcome.err_value.error is not ProposalError.REFUSED
    await control.wait_until(
        lambda: all("s1" in m.node.fleet.endpoints for m in members)
    )
    return leader


@pytest.mark.parametrize("change", [{"is_leaving": True}, {"is_gone": True}])
@pytest.mark.parametrize("find", [control.leader_of, control.follower_of])
def test_departure_is_confirmed_when_it_is_in_the_log(tmp_path, find, change):
    """Proxies learn of it from the log, wherever the endpoint has called."""

    async def work():
        async with control.running_group(tmp_path) as members:
            await _join(members)
            member = await find(members)
            departure = dataclasses.replace(ENDPOINT, **change)
            assert member.announce(departure)
            assert await member.has_left(departure)
            known = member.node.fleet.endpoints.get("s1")
            assert known is None or known.state is not EndpointState.JOINED

    control.run(work)


def test_departure_without_a_majority_is_not_confirmed(tmp_path, monkeypatch):
    """The leader has noted it, but no proxy will ever learn of it."""
    monkeypatch.setattr(_control, "DEPARTURE_TIMEOUT_S", 0.3)

    async def work():
        async with control.running_group(tmp_path) as members:
            leader = await _join(members)
            for member in members:
                if member is not leader:
                    await member.stop()
            departure = dataclasses.replace(ENDPOINT, is_leaving=True)
            leader.announce(departure)
            assert not await leader.has_left(departure)

    control.run(work)
