"""Tests statements that the queue of their endpoint refuses."""

import asyncio
import logging

import pytest

from waxwinglift.platform.tests.statement_fleet import running_statement_fleet
from waxwinglift.process._admission_report import AdmissionReport
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._admission import AdmissionQueue
from waxwinglift.version import EndpointId


class _Metrics:
    def __init__(self):
        self.counts = {}

    def incr(self, name, count=1):
        self.counts[name] = self.counts.get(name, 0) + count


def _refusal(code=FailureCode.REJECTED):
    return not_run(code, "the queue is long", 300)


@pytest.mark.parametrize("pool", ["pay", "refill"])
def test_block_that_the_queue_refuses_is_not_begun(pool):
    """Each refused block cost the server a BEGIN and a ROLLBACK."""

    async def scenario():
        async with running_statement_fleet() as fleet:
            owner = fleet.proxies[0].owners.owner(EndpointId("s1"))
            owner.slots.find_refusal = lambda ticket: _refusal()
            entered = []
            enter = owner.blocks.enter
            owner.blocks.enter = lambda t: entered.append(t) or enter(t)
            async with fleet.connected(pool) as caller:
                await caller.query("BEGIN")
                answer = await caller.query("WRITE 1a4 coal")
            return answer.error, entered, fleet.proxies[0].metrics.counts

    error, entered, counts = asyncio.run(scenario())
    assert error.split(b" ")[0] == b"BUSY" and b"retry after" in error
    assert not entered
    assert any(name.startswith("owner.rejected.") for name in counts)


def test_operators_see_when_refusals_begin_and_end(caplog):
    """One line each, not one for each of hundreds of refusals a second."""
    now_ms = 0.0
    metrics = _Metrics()
    report = AdmissionReport(
        EndpointId("s1"), AdmissionQueue(2), metrics, lambda: now_ms
    )
    caplog.set_level(logging.INFO)
    report.record_refusal("low", _refusal(FailureCode.UNAVAILABLE))
    assert not caplog.records
    for now_ms in range(0, 3000, 10):
        report.record_refusal("low", _refusal())
        report.tick()
    now_ms = 6000
    report.tick()
    report.tick()
    assert [record.levelname for record in caplog.records] == ["INFO"] * 2
    begun, ended = caplog.records
    assert begun.slots_count == 2 and ended.refused_count == 300
    assert metrics.counts == {"owner.rejected.low": 300}
