"""Guards the accounts of a queue's ranks across changes of the fleet."""

import pytest

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.request._admission import Ticket
from waxwinglift.version import PoolTable
from waxwinglift.version import RankRow

LIMIT_COUNT = 2
TABLE = PoolTable("p", "g", (RankRow("low", 1, 0, LIMIT_COUNT, 100, 1000),))


@pytest.mark.parametrize("order", ["turns", "deadline"])
def test_edit_of_a_table_keeps_the_account_of_an_idle_rank(order):
    """Running tickets must count towards the limit after an edit.

    A rank without waiting tickets got a new account, in which its running
    tickets were missing, so that it exceeded its limit.
    """
    queue = AdmissionQueue(4, AdmissionSettings(order=order))
    started = []
    for number in range(4):
        # Each change of the fleet's state sets the tables.
        queue.set_tables([TABLE])
        ticket = Ticket(number, "p", "low", "c", 0.0, 1000.0)
        started += queue.offer(ticket, 0.0)
    assert len(started) == LIMIT_COUNT
    assert len(queue.finish(started[0].ticket, 1.0, 1.0)) == 1
