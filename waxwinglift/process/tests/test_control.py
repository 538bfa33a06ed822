"""Tests control daemons with real sockets and data folders."""

import asyncio
import contextlib
import socket

from opentelemetry import trace
import pytest

from waxwinglift.process import _settings
from waxwinglift.process import Address
from waxwinglift.process import DaemonId
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._clock import monotonic_ms
from waxwinglift.process._control import ControlService
from waxwinglift.process._control_link import ControlLink
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process.rpc import control_grpc
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._channels import open_channel
from waxwinglift.process.rpc._convert import decode_answer
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow
from waxwinglift.version._entries import MemberAdded
from waxwinglift.version._entries import NoOperation
from waxwinglift.version._entries import PoolEdited
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift.version._leases import DaemonLease
from waxwinglift.version._view_age import ViewAge

WAIT_LIMIT_S = 15.0
LOCATION = {"data_centre": "dc-1", "region": "region-1"}
ANNOUNCEMENT = control_pb2.Announcement(
    endpoint="g-a",
    group="g",
    host="127.0.0.1",
    port=5432,
    slots_count=3,
    connection_limit_count=25,
    group_size_count=3,
    term=1,
    **LOCATION,
)


def free_addresses(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for opened in sockets:
            opened.bind(("127.0.0.1", 0))
        ports = [opened.getsockname()[1] for opened in sockets]
    return [Address("127.0.0.1", port) for port in ports]


def make_settings(folder, addresses, number, **changes):
    names = [f"control-{index}" for index in range(len(addresses))]
    return _settings.ControlSettings(
        member=names[number],
        location=LOCATION,
        listen=addresses[number],
        members=changes.pop("members", None)
        or [
            {"member": name, "address": str(address)}
            for name, address in zip(names, addresses)
        ],
        data_folder=folder / names[number],
        **changes,
    )


@contextlib.asynccontextmanager
async def running_member(settings, is_founding=True):
    service = ControlService(
        settings, NoMetrics(), trace.NoOpTracer(), is_founding
    )
    await service.start()
    try:
        yield service
    finally:
        await service.stop()


@contextlib.asynccontextmanager
async def running_group(folder, count=3, is_founding=True, **changes):
    addresses = changes.pop("addresses", None) or free_addresses(count)
    async with contextlib.AsyncExitStack() as stack:
        members = []
        for number in range(count):
            settings = make_settings(folder, addresses, number, **changes)
            member = running_member(settings, is_founding)
            members.append(await stack.enter_async_context(member))
        await wait_until(lambda: any(m.node.has_quorum for m in members))
        yield members


async def wait_until(check):
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not check():
            await asyncio.sleep(0.02)


def make_edit(edit_id, expected_version, weight=1):
    rows = (RankRow("urgent", weight, 0, 0, 10, 100),)
    table = PoolTable("payouts", "ledger", rows)
    return PoolEdited(edit_id, "payouts", expected_version, table)


async def propose(members, entry, find=None):
    """Propose an entry; retry after a change of leader, as operators do.

    A busy machine can delay a leader for longer than its check-quorum time.
    """
    request = control_pb2.ProposeRequest(entry=encode_entry(entry))
    async with asyncio.timeout(WAIT_LIMIT_S):
        while True:
            member = await (find or leader_of)(members)
            with open_channel(member.settings.listen) as channel:
                stub = control_grpc.ControlStub(channel)
                reply = await stub.Propose(request, timeout=5)
            if reply.accepted or "known_member" in reply.error:
                return reply
            await asyncio.sleep(0.05)


async def leader_of(members):
    await wait_until(lambda: any(m.node.has_quorum for m in members))
    return next(m for m in members if m.node.has_quorum)


async def follower_of(members):
    leader = await leader_of(members)
    return next(m for m in members if m is not leader)


@contextlib.asynccontextmanager
async def running_link(members, **changes):
    addresses = [member.settings.listen for member in members]
    settings = _settings.ProxySettings(
        daemon="proxy-0",
        location=LOCATION,
        peer_listen="127.0.0.1:1",
        control=[str(address) for address in addresses],
        entry={"token_secret": "0123456789"},
        **changes,
    )
    lease = DaemonLease()
    location = Location(DataCentre("dc-1"), Region("region-1"))
    view = FleetView(
        DaemonId("proxy-0"), location, lambda: lease.is_live(monotonic_ms())
    )
    link = ControlLink(
        settings,
        view,
        lease,
        ViewAge(),
        NoReports(),
        NoMetrics(),
        trace.NoOpTracer(),
    )
    await link.start()
    try:
        yield link
    finally:
        await link.stop()


class NoReports:
    def down_endpoints(self):
        return ()

    def released_endpoints(self):
        return ()


def run(work):
    asyncio.run(work())


# Edits after the first one of the pool: edit, whether it is applied, version.
EDIT_CASES = [
    # A second operator starts from the same version as the first one.
    (make_edit("b", 0, 2), False, 1),
    # A resent edit gets the first answer, even if its contents differ.
    (make_edit("a", 0, 9), True, 1),
    (make_edit("c", 1, 3), True, 2),
]


@pytest.mark.parametrize(("edit", "is_applied", "version"), EDIT_CASES)
@pytest.mark.parametrize("find", [leader_of, follower_of])
def test_edits_are_version_checked_and_idempotent(
    tmp_path, edit, is_applied, version, find
):
    async def work():
        async with running_group(tmp_path) as members:
            reply = await propose(members, make_edit("a", 0))
            assert decode_answer(reply.answer).version == 1
            reply = await propose(members, edit, find)
            answer = decode_answer(reply.answer)
            assert (answer.is_applied, answer.version) == (is_applied, version)

    run(work)


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"", "bad entry"),
        (b'{"kind": "unknown"}', "bad entry"),
        # Only the leader may propose this entry.
        (encode_entry(NoOperation()), "operators may not propose"),
        (encode_entry(make_edit("x", 0, -1)), "invalid_table"),
    ],
)
def test_bad_proposals_are_refused_with_a_reason(tmp_path, data, text):
    async def work():
        async with running_group(tmp_path, count=1) as members:
            with open_channel(members[0].settings.listen) as channel:
                stub = control_grpc.ControlStub(channel)
                request = control_pb2.ProposeRequest(entry=data)
                reply = await stub.Propose(request, timeout=5)
            assert not reply.accepted
            assert text in reply.error
            assert members[0].node.fleet.pools == {}

    run(work)


def test_proxy_applies_the_log_and_survives_loss_of_its_relay(tmp_path):
    # A proxy that keeps using a failed relay would lose its lease.
    async def work():
        async with running_group(tmp_path) as members:
            async with running_link(members) as link:
                await wait_until(link.view.lease_is_live)
                await propose(members, make_edit("a", 0))
                await wait_until(lambda: "payouts" in link.view.fleet.pools)
                relay = link.relay
                failed = next(m for m in members if m.settings.listen == relay)
                await failed.stop()
                others = [m for m in members if m is not failed]
                await propose(others, make_edit("b", 1, 5))
                await wait_until(
                    lambda: link.view.fleet.pools["payouts"].version == 2
                )
                await wait_until(link.view.lease_is_live)

    run(work)


def test_isolated_member_grants_no_lease(tmp_path):
    # With a lease, a restarted proxy would serve from an outdated state.
    async def work():
        async with running_group(tmp_path) as members:
            isolated = await follower_of(members)
            for member in members:
                if member is not isolated:
                    await member.stop()
            async with running_link([isolated]) as link:
                await asyncio.sleep(0.5)
                assert not link.view.lease_is_live()

    run(work)


def test_member_restarts_from_a_snapshot_after_many_edits(tmp_path):
    # Without snapshots, a restart replays every edit since the founding and
    # becomes slower with each change.
    async def work():
        addresses = free_addresses(1)
        options = {"addresses": addresses, "snapshot_entry_count": 100}
        async with running_group(tmp_path, 1, **options) as members:
            for number in range(500):
                edit = make_edit(f"edit-{number}", number, number + 1)
                await propose(members, edit)
            index = members[0].node.fleet.index
        async with running_group(tmp_path, 1, False, **options) as members:
            node = members[0].node
            assert node.consensus.snapshot.index > 400
            assert node.fleet.index >= index
            assert node.fleet.pools["payouts"].version == 500
            reply = await propose(members, make_edit("edit-7", 0))
            assert decode_answer(reply.answer).version == 8

    run(work)


def test_replacement_gets_a_vote_after_catching_up(tmp_path):
    # A learner that becomes a voter too early breaks the majority when the
    # next member fails.
    async def work():
        async with running_group(tmp_path) as members:
            await propose(members, make_edit("a", 0))
            (address,) = free_addresses(1)
            settings = _settings.ControlSettings(
                **dict(members[0].settings)
                | {
                    "member": "control-new",
                    "listen": address,
                    "data_folder": tmp_path / "new",
                    "join": True,
                }
            )
            entry = MemberAdded(DaemonId("control-new"), address)
            await propose(members, entry)
            async with running_member(settings, False) as joined:

                def is_voter():
                    known = joined.node.fleet.members.get("control-new")
                    return known is not None and known.is_voter

                await wait_until(is_voter)
                assert "payouts" in joined.node.fleet.pools

    run(work)


@pytest.mark.parametrize("count", [1, 3])
def test_leader_accepts_announcements_but_redirects_endpoints(tmp_path, count):
    # Endpoints that stay with the leader cost it a fifth of a core at the
    # target size.  An endpoint whose announcement the leader does not process
    # would count as lost while it switches to another member.
    async def work():
        async with running_group(tmp_path, count) as members:
            leader = await leader_of(members)
            accepted = {}
            for member in [leader, *members]:
                with open_channel(member.settings.listen) as channel:
                    stub = control_grpc.ControlStub(channel)
                    reply = await stub.Announce(ANNOUNCEMENT, timeout=5)
                    accepted[member] = reply.accepted
                    # A leader ignores announcements before its first tick;
                    # endpoints repeat them.
                    async with asyncio.timeout(WAIT_LIMIT_S):
                        while not leader.node.fleet.endpoints:
                            await asyncio.sleep(0.05)
                            await stub.Announce(ANNOUNCEMENT, timeout=5)
            assert accepted.pop(leader) is (count == 1)
            assert all(accepted.values())

    run(work)


def test_proxy_spaces_the_renewals_for_applied_entries(tmp_path):
    # One renewal per watch reply of a burst would overload relay and leader.
    async def work():
        async with running_group(tmp_path, 1) as members:
            async with running_link(members) as link:
                await wait_until(link.view.lease_is_live)
                before, started_ms = link._renewals.sequence, monotonic_ms()
                for version in range(40):
                    edit = make_edit(f"e{version}", version, version + 1)
                    await propose(members, edit)
                await wait_until(
                    lambda: link.view.fleet.pools["payouts"].version == 40
                )
                elapsed_ms = monotonic_ms() - started_ms
                # One per 250 ms and one per 100 ms, plus 3 at start and end.
                limit_count = elapsed_ms / 250 + elapsed_ms / 100 + 3
                assert link._renewals.sequence - before <= limit_count

    run(work)


def test_reconnecting_proxies_get_a_snapshot_and_later_entries(tmp_path):
    # The snapshot is shared between proxies.  If the log no longer continued
    # it, a proxy would never catch up.
    async def work():
        async with running_group(
            tmp_path, 1, snapshot_entry_count=10
        ) as members:
            for version in range(60):
                edit = make_edit(f"e{version}", version, version + 1)
                await propose(members, edit)
                if version in (30, 59):
                    async with running_link(members) as link:
                        await wait_until(
                            lambda: (
                                link.view.applied_index
                                >= members[0].node.fleet.index
                            )
                        )
                        pools = link.view.fleet.pools
                        assert pools["payouts"].version == version + 1

    run(work)
