"""Guards the short form of heartbeats between control members."""

import asyncio

import pytest

from waxwinglift.process import Address
from waxwinglift.process import _control_rpc
from waxwinglift.process._consensus_envelopes import decode_envelope
from waxwinglift.process._consensus_envelopes import encode_envelope
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.tests import test_control as control
from waxwinglift.process.tests.test_control_transport import running_transport
from waxwinglift.version._consensus_messages import AppendRequest
from waxwinglift.version._consensus_messages import AppendResponse
from waxwinglift.version._consensus_messages import LogEntry
from waxwinglift.version._consensus_messages import PreVoteRequest
from waxwinglift.version._consensus_messages import VoteResponse

ENTRY = LogEntry(413, 2, b"\x00entry")
ADDRESS = Address("10.21.3.110", 20000)
NAMES = ("control-sierra-quito-1", "control-costa-lima-2")


@pytest.mark.parametrize("is_short", [False, True])
@pytest.mark.parametrize(
    "message",
    [
        AppendRequest(2, 412, 2, (), 412, 8123456.123456),
        AppendRequest(0, 0, 0, (), 0, 0.0),
        AppendRequest(2, 412, 2, (ENTRY,), 412, 8123456.123456),
        AppendResponse(2, True, 412, 8123456.123456),
        AppendResponse(0, False, 0, 0.0),
        PreVoteRequest(3, 412, 2),
        VoteResponse(3, True),
    ],
)
def test_message_is_read_as_it_was_sent(message, is_short):
    """A wrong index or time would grant a lease without a quorum."""
    envelope = encode_envelope(*NAMES, message, ADDRESS, is_short)
    read = control_pb2.ConsensusEnvelope.FromString(
        envelope.SerializeToString()
    )
    assert decode_envelope(read) == message


@pytest.mark.parametrize(
    ("message", "size_bytes"),
    [
        (AppendRequest(2, 412, 2, (), 412, 8123456.123456), 67),
        (AppendResponse(2, True, 412, 8123456.123456), 64),
    ],
)
def test_sizes_of_heartbeats(message, size_bytes):
    """Eight a second go to each member, also in other regions."""
    envelope = encode_envelope(*NAMES, message, None, True)
    assert envelope.ByteSize() <= size_bytes


def test_member_of_an_older_build_gets_the_whole_message():
    """It would not read the short form, and the leader lose its quorum."""

    async def work():
        async with running_transport(0.0) as (transport, member):
            for term in range(3):
                transport.send("m2", AppendResponse(term, True, 1, 0.0))
                async with asyncio.timeout(5):
                    while len(member.terms) <= term:
                        await asyncio.sleep(0.01)
            return member.terms

    # The server of these tests acknowledges like an older build.
    assert asyncio.run(work()) == [0, 1, 2]


def test_heartbeats_between_members_become_short(tmp_path, monkeypatch):
    """Whole messages would go on unnoticed."""
    forms = []

    def decode(envelope):
        forms.append((envelope.HasField("heartbeat"), envelope.sender_host))
        return decode_envelope(envelope)

    monkeypatch.setattr(_control_rpc, "decode_envelope", decode)

    async def work():
        async with control.running_group(tmp_path) as members:
            await control.propose(members, control.make_edit("a", 0))
            await control.wait_until(lambda: (True, "") in forms)
            await control.wait_until(
                lambda: all("payouts" in m.node.fleet.pools for m in members)
            )

    asyncio.run(work())
