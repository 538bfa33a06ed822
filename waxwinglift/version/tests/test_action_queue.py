"""Tests of the number and order of SQL sessions at the leader."""

import pytest

from waxwinglift.process import Address
from waxwinglift.version import _failover_messages as messages
from waxwinglift.version._action_queue import ActionQueue

ADDRESS = Address("127.0.0.1", 1)


def make_action(action_type, name, term=2):
    return action_type("g", term, name, ADDRESS, 100)


@pytest.mark.parametrize(
    ("offered", "started"),
    [
        # A repeated action would open a second session to the same server.
        (["read a", "read a"], ["read a"]),
        (["read a", "read b", "read c"], ["read a", "read b"]),
        # Groups whose change of primary is nearly complete have priority.
        (["read a", "fence b", "promote c"], ["promote c", "fence b"]),
    ],
)
def test_actions_start_once_and_in_order(offered, started):
    types = {
        "read": messages.ReadPosition,
        "fence": messages.FenceServer,
        "promote": messages.PromoteServer,
    }
    queue = ActionQueue(2)
    actions = {
        text: make_action(types[text.split()[0]], text.split()[1])
        for text in offered
    }
    for text in offered:
        queue.offer(actions[text])
    assert queue.start() == [actions[text] for text in started]
    assert queue.start() == []


def test_finished_action_lets_the_next_start_and_can_be_queued_again():
    # Otherwise the queue would stall, and failed actions would never be
    # retried.
    queue = ActionQueue(1)
    first, second = (make_action(messages.ReadPosition, n) for n in "ab")
    queue.offer(first)
    queue.offer(second)
    assert queue.start() == [first]
    queue.finish(first)
    queue.offer(first)
    assert queue.start() == [second]
    queue.drop_waiting()
    queue.finish(second)
    assert queue.start() == []
    queue.offer(first)
    assert queue.start() == [first]
