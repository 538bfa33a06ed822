"""Tests that one entry that cannot be used takes no other with it."""

import asyncio
import dataclasses
import types

from grpclib.exceptions import GRPCError
from grpclib.server import Server
import pytest

from waxwinglift.process import Address
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import open_channel
from waxwinglift.process.rpc._convert import announcement_from_wire
from waxwinglift.process.tests import test_control as control
from waxwinglift.version._entries import MemberAdded
from waxwinglift.version._entries import NoOperation
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift.version.tests.fleets import endpoint_joined

_UNREADABLE = Address("fe80::1%\ud800", 8080)
_BAD_PORT = 65536


@pytest.mark.parametrize("position", [0, 1, 2])
def test_entry_that_cannot_be_encoded_is_dropped_alone(tmp_path, position):
    # Entries of one step share an append; the others would be lost with it.
    names = [f"g-{number}" for number in range(3)]
    joined = [endpoint_joined(name, "a") for name in names]
    joined[position] = dataclasses.replace(
        joined[position], address=_UNREADABLE
    )
    expected = {name for name in names if name != names[position]}

    async def work():
        async with control.running_group(tmp_path, 1) as (member,):
            for entry in joined:
                member.node.propose_in_background(entry)
            await control.wait_until(
                lambda: expected <= member.node.fleet.endpoints.keys()
            )
            outcome = await member.node.propose(NoOperation(), 1000)
            assert outcome.is_ok()
            return set(member.node.fleet.endpoints)

    assert asyncio.run(work()) == expected


@pytest.mark.parametrize(
    "change",
    [{"sequence": 2**64}, {"slots_count": 2**32}, {"address": _UNREADABLE}],
    ids=["sequence", "capacity", "address"],
)
def test_announcement_that_cannot_be_forwarded_is_dropped(tmp_path, change):
    # A member that is not the leader encodes it for the leader; the next
    # announcement must still arrive there.
    good = announcement_from_wire(control.ANNOUNCEMENT)
    odd = dataclasses.replace(good, endpoint="g-b", **change)

    async def work():
        async with control.running_group(tmp_path) as members:
            leader = await control.leader_of(members)
            follower = await control.follower_of(members)
            await control.wait_until(lambda: follower.announce(good))
            assert not follower.announce(odd)
            await control.wait_until(
                lambda: "g-a" in leader.node.fleet.endpoints
            )

    asyncio.run(work())


def _member_added():
    entry = MemberAdded("m-9", Address("127.0.0.1", _BAD_PORT))
    return "Propose", control_pb2.ProposeRequest(entry=encode_entry(entry))


def _join():
    return "Join", control_pb2.JoinRequest(
        member="m-9", host="127.0.0.1", port=_BAD_PORT
    )


def _renewal():
    return "Renew", control_pb2.Renewal(
        daemon="m-9", host="h\0", port=7432, **control.LOCATION
    )


def _announcement():
    message = control_pb2.Announcement()
    message.CopyFrom(control.ANNOUNCEMENT)
    message.port = _BAD_PORT
    return "Announce", message


@pytest.mark.parametrize(
    "make_call", [_member_added, _join, _renewal, _announcement]
)
def test_address_that_cannot_be_used_is_refused(tmp_path, make_call):
    # Processes that connect to such an address raise an error that is no
    # OSError, and their task ends.
    async def work():
        async with control.running_group(tmp_path, 1) as (member,):
            name, request = make_call()
            with open_channel(member.settings.listen) as channel:
                call = getattr(control_grpc.ControlStub(channel), name)
                try:
                    reply = await call(request, timeout=5)
                except GRPCError as error:
                    assert "port" in error.message
                    return
            is_accepted = getattr(reply, "accepted", False)
            assert not is_accepted and not getattr(reply, "granted", False)
            assert "m-9" not in member.node.fleet.members
            assert "m-9" not in member.node.fleet.daemons

    asyncio.run(work())


class OddRelay(control_grpc.ControlBase):
    """Sends an odd reply in the first watch stream, a good one later."""

    def __init__(self, reply):
        self._replies = [reply]
        self._good = control_pb2.WatchReply(
            first_index=1, entries=[encode_entry(NoOperation())]
        )

    async def Watch(self, stream):  # noqa: N802
        await stream.recv_message()
        reply = self._replies.pop() if self._replies else self._good
        await stream.send_message(reply)
        await asyncio.sleep(10)

    async def Renew(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.Grant())

    async def _unused(self, stream):
        raise NotImplementedError

    Announce = Relay = Consensus = Propose = Status = _unused
    Join = ConfirmIndex = ReplaceDesiredState = _unused


@pytest.mark.parametrize(
    "reply",
    [
        control_pb2.WatchReply(first_index=1, entries=[b"\xff"]),
        control_pb2.WatchReply(first_index=1, entries=[b'{"kind":"new"}']),
        control_pb2.WatchReply(first_index=1, entries=[b'{"a":' * 10_000]),
        control_pb2.WatchReply(snapshot=b"\xff", snapshot_index=1),
    ],
    ids=["bytes", "unknown kind", "deeply nested", "snapshot"],
)
def test_proxy_goes_on_after_an_entry_that_it_cannot_read(reply):
    # Its process would end, and again after each restart, while the entry is
    # in the log of the control member that it happens to use.
    async def work():
        (address,) = control.free_addresses(1)
        server = Server([OddRelay(reply)])
        await server.start(address.host, address.port)
        settings = types.SimpleNamespace(listen=address)
        member = types.SimpleNamespace(settings=settings)
        try:
            async with control.running_link([member]) as link:
                await control.wait_until(lambda: link.view.applied_index == 1)
                assert not link.should_stop
        finally:
            server.close()
            await server.wait_closed()

    asyncio.run(work())
