"""Guards the short form in which a relay forwards renewals to the leader.

A leader that reads another renewal than the proxy sent grants a lease to the
wrong proxy, or misses a report.
"""

import asyncio

import pytest

from waxwinglift.process._relayed_renewals import answer_batch
from waxwinglift.process._relayed_renewals import decode_short_grants
from waxwinglift.process._relayed_renewals import RenewalHandles
from waxwinglift.process._relayed_renewals import RenewalShortener
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.tests import test_control as control

SEQUENCE = 1_796_594_000_000


def make_renewal(number, sequence, index=412, **changes):
    """Return a renewal with values of realistic length."""
    return control_pb2.Renewal(
        daemon=f"frontend-sierra-quito-{number}",
        host="10.21.3.110",
        port=20001,
        data_centre="sierra-quito",
        region="sierra",
        applied_index=index,
        sequence=SEQUENCE + sequence,
        incarnation=3**39,
        **changes,
    )


class Leader:
    """Answers batches; keeps the renewals that it has read."""

    def __init__(self, is_older_build=False):
        self.handles = RenewalHandles()
        self.read = []
        self.reason = ""
        self._is_older_build = is_older_build

    def renew(self, renewal):
        self.read.append(renewal.SerializeToString(deterministic=True))
        return control_pb2.Grant(
            granted=not self.reason,
            lease_ms=0 if self.reason else 2000,
            commit_index=412,
            sequence=renewal.sequence,
            reason=self.reason,
        )

    def answer(self, data):
        batch = control_pb2.RelayBatch.FromString(data)
        if self._is_older_build:
            grants = [self.renew(one) for one in batch.renewals]
            return control_pb2.RelayReply(is_leader=True, grants=grants)
        return answer_batch(batch, self.handles, self.renew)


class RelaySide:
    """Sends batches as `Relay` does."""

    def __init__(self):
        self.shortener = RenewalShortener()
        self.sizes_bytes = []

    def send(self, leader, renewals):
        """Send a batch, and again in full what the leader does not know."""
        full, short = self.shortener.split([(one, None) for one in renewals])
        full = [one for one, _ in full]
        short = [one for one, _ in short]
        grants = self._send(leader, full, short)
        unknown = [one for one, g in zip(short, grants) if g is None]
        for renewal in unknown:
            self.shortener.forget(renewal)
        if unknown:
            self._send(leader, unknown, [])

    def _send(self, leader, full, short):
        batch = control_pb2.RelayBatch(relay="control-1", renewals=full)
        if short:
            self.shortener.fill(batch, short)
        data = batch.SerializeToString()
        reply = leader.answer(data)
        self.sizes_bytes.append((len(data), reply.ByteSize()))
        self.shortener.record(full, reply)
        return decode_short_grants(reply, short)


DOWN = [control_pb2.DownEndpoint(endpoint="i-1", term=2)]
STEPS = {
    "equal": [make_renewal(1, 1), make_renewal(1, 2), make_renewal(1, 3)],
    "index": [make_renewal(1, 1), make_renewal(1, 2, 413)],
    "report": [
        make_renewal(1, 1),
        make_renewal(1, 2, down=DOWN),
        make_renewal(1, 3, down=DOWN),
        make_renewal(1, 4),
    ],
    "stop": [make_renewal(1, 1), make_renewal(1, 2, stopped=True)],
    "restart with an earlier clock": [
        make_renewal(1, 1000),
        make_renewal(1, 1),
        make_renewal(1, 2),
    ],
    "traced": [
        make_renewal(1, 1, traceparent="00-1-1-01"),
        make_renewal(1, 2, traceparent="00-1-2-01"),
    ],
    "two proxies": [
        make_renewal(1, 1),
        make_renewal(2, 9),
        make_renewal(1, 2),
        make_renewal(2, 10),
    ],
}


@pytest.mark.parametrize("is_older_build", [False, True])
@pytest.mark.parametrize("steps", STEPS.values(), ids=STEPS)
def test_leader_reads_what_the_proxies_sent(steps, is_older_build):
    leader, relay = Leader(is_older_build), RelaySide()
    for renewal in steps:
        relay.send(leader, [renewal])
    expected = [one.SerializeToString(deterministic=True) for one in steps]
    assert leader.read == expected


def test_renewals_of_one_proxy_keep_their_order_in_a_batch():
    """The older of two would be refused as out of order."""
    leader, relay = Leader(), RelaySide()
    relay.send(leader, [make_renewal(1, 1)])
    batch = [make_renewal(1, 2), make_renewal(1, 3, down=DOWN)]
    relay.send(leader, batch)
    expected = [one.SerializeToString(deterministic=True) for one in batch]
    assert leader.read[1:] == expected


@pytest.mark.parametrize("is_older_build", [False, True])
def test_new_leader_gets_full_renewals(is_older_build):
    """Handles of a process that has ended mean nothing to its successor."""
    first, second, relay = Leader(), Leader(is_older_build), RelaySide()
    relay.send(first, [make_renewal(1, 1)])
    # Another relay has used the same handle at the new leader.
    RelaySide().send(second, [make_renewal(2, 1)])
    for sequence in (2, 3):
        relay.send(second, [make_renewal(1, sequence)])
    expected = [
        make_renewal(*numbers).SerializeToString(deterministic=True)
        for numbers in ((2, 1), (1, 2), (1, 3))
    ]
    assert second.read == expected


def test_proxy_may_use_two_relays():
    """A report through one relay must not be undone by the other's handle."""
    leader, one, other = Leader(), RelaySide(), RelaySide()
    one.send(leader, [make_renewal(1, 1)])
    other.send(leader, [make_renewal(1, 2, down=DOWN)])
    one.send(leader, [make_renewal(1, 3)])
    assert leader.read[-1] == make_renewal(1, 3).SerializeToString(
        deterministic=True
    )


@pytest.mark.parametrize("reason", ["", "proxy is being removed"])
def test_grants_are_those_of_the_leader(reason):
    """A wrong lease or sequence would let a proxy serve without a lease."""
    leader = Leader()
    leader.reason = reason
    renewals = [make_renewal(number, 1) for number in range(3)]
    shortener = RenewalShortener()
    shortener.record(
        renewals,
        answer_batch(
            control_pb2.RelayBatch(renewals=renewals),
            leader.handles,
            leader.renew,
        ),
    )
    later = [make_renewal(number, 2 + number) for number in range(3)]
    batch = control_pb2.RelayBatch()
    shortener.fill(batch, later)
    reply = answer_batch(batch, leader.handles, leader.renew)
    expected = [leader.renew(renewal) for renewal in later]
    assert decode_short_grants(reply, later) == expected


def test_sizes_of_batches():
    """Renewals between regions are charged, 177 a second on Admisiones."""
    leader, relay = Leader(), RelaySide()
    for sequence in (1, 400):
        relay.send(
            leader, [make_renewal(number, sequence) for number in range(10)]
        )
    (full, full_reply), (short, short_reply) = relay.sizes_bytes
    assert full + full_reply > 1000
    assert short + short_reply < 160


def test_leases_go_on_through_a_relay_and_a_change_of_leader(tmp_path):
    """The successor of the leader knows no handle of its predecessor."""

    async def work():
        async with control.running_group(tmp_path) as members:
            relay = await control.follower_of(members)
            async with control.running_link([relay]) as link:
                await control.wait_until(link.view.lease_is_live)
                await asyncio.sleep(1.0)
                assert link.view.lease_is_live()
                leader = await control.leader_of(members)
                await leader.stop()
                others = [m for m in members if m is not leader]
                await control.leader_of(others)
                await control.wait_until(link.view.lease_is_live)
                await asyncio.sleep(1.5)
                await control.wait_until(link.view.lease_is_live)

    asyncio.run(work())
