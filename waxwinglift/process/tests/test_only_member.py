"""Tests a control group of one member on a busy machine."""

import asyncio
import time

import pytest

from waxwinglift.process.tests import test_control as control


@pytest.mark.parametrize("is_disk_slow", [False, True])
def test_late_only_member_takes_proposals(tmp_path, monkeypatch, is_disk_slow):
    # On a busy machine, an operator's edit met a leader that stepped down for
    # lack of a majority, although it has one by itself.
    async def work():
        async with control.running_group(tmp_path, count=1) as (member,):
            store = member.node._driver._store
            write = store.write

            def write_late(persist):
                write(persist)
                time.sleep(0.6)

            if is_disk_slow:
                monkeypatch.setattr(store, "write", write_late)
            else:
                time.sleep(0.6)
            outcome = await member.node.propose(
                control.make_edit("a", 0), 5000
            )
            monkeypatch.undo()
            assert outcome.is_ok(), outcome

    asyncio.run(work())
