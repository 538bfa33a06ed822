"""Guards the end of a control daemon whose disk has refused a write."""

import asyncio
import errno

import pytest

from waxwinglift.process.tests import test_control as control
from waxwinglift.version import _store_records
from waxwinglift.version._store_records import StoreError


def _refuse(error):
    def write(persist):
        raise error

    return write


async def _write_as_follower(members):
    """Commit an entry, which a follower receives in a gRPC call."""
    failing = next(m for m in members if not m.node.has_quorum)
    yield failing
    await control.propose(members, control.make_edit("a", 0))


async def _write_as_leader(members):
    """Propose an entry, which the leader appends in a timer."""
    failing = await control.leader_of(members)
    yield failing
    failing.node.propose_in_background(control.make_edit("a", 0))


async def _campaign(members):
    """Store a vote in the timer of the consensus node."""
    (failing,) = [m for m in members if m.node.has_quorum]
    followers = [m for m in members if m is not failing]
    yield followers[0]
    await failing.stop()


@pytest.mark.parametrize(
    "use", [_write_as_follower, _write_as_leader, _campaign]
)
@pytest.mark.parametrize(
    "error",
    [OSError(errno.ENOSPC, "no space left"), StoreError("disk unknown")],
    ids=["disk full", "store"],
)
def test_daemon_whose_disk_refused_a_write_ends(tmp_path, use, error):
    """It must not go on to answer heartbeats and relay for proxies.

    It would count for the majority of a leader that can commit nothing with
    it, and the proxies that use it would keep an old state.
    """

    async def work():
        async with control.running_group(tmp_path) as members:
            steps = use(members)
            failing = await anext(steps)
            failing.node._driver._store.write = _refuse(error)
            await anext(steps, None)
            await control.wait_until(lambda: failing.crash_reason is not None)
            assert failing.crash_reason is error
            assert not failing.node.has_quorum
            others = [
                m for m in members if m is not failing and not m.should_stop
            ]
            if len(others) > 1:
                await control.propose(others, control.make_edit("b", 1))

    asyncio.run(work())


@pytest.mark.parametrize(
    ("code", "is_started"), [(errno.ENOSPC, True), (errno.EACCES, False)]
)
def test_start_waits_for_a_full_disk(tmp_path, monkeypatch, code, is_started):
    """A daemon must not end and start again and again while a disk is full.

    Wrong permissions do not go away, so that start is refused at once.
    """
    refusals = [OSError(code, "refused")] * 3
    write = _store_records.replace_file

    def refuse_first(path, data):
        if refusals:
            raise refusals.pop()
        write(path, data)

    monkeypatch.setattr(_store_records, "replace_file", refuse_first)

    async def work():
        async with control.running_group(tmp_path, count=1) as (member,):
            return member.node.has_quorum

    if is_started:
        assert asyncio.run(work())
        return
    with pytest.raises(PermissionError):
        asyncio.run(work())
