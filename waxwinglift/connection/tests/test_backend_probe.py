"""Tests probes with late, split and invalid answers."""

import asyncio

from pygwire.messages import CommandComplete
from pygwire.messages import DataRow
from pygwire.messages import ErrorResponse
from pygwire.messages import NoticeResponse
from pygwire.messages import ReadyForQuery
import pytest

from waxwinglift.connection._backend_probe import EndpointReader
from waxwinglift.connection._backend_probe import Prober

READY = ReadyForQuery().to_wire()
GOOD = (
    DataRow(columns=[b"1"]).to_wire()
    + CommandComplete(tag="SELECT 1").to_wire()
    + READY
)
ERROR = ErrorResponse(fields={"C": "53200", "M": "bad"}).to_wire() + READY
NOTICE = NoticeResponse(fields={"M": "note"}).to_wire()
END = None


def run_probes(answers, chunk_bytes):
    """Return the outcomes of probes whose ``answers`` arrive in chunks."""

    async def work():
        reader = EndpointReader()
        sent = []
        outcomes = []
        prober = Prober(reader, sent.append, 2**20)
        reader.on_end = prober.fail
        for answer in answers:
            prober.send(outcomes.append)
            if answer is END:
                reader.feed_eof()
                continue
            for start in range(0, len(answer), chunk_bytes):
                reader.feed_data(answer[start : start + chunk_bytes])
        assert len(sent) == len(answers)
        return outcomes

    return asyncio.run(work())


@pytest.mark.parametrize("chunk_bytes", [1, 9, 1000])
@pytest.mark.parametrize(
    ("answers", "outcomes"),
    [
        ([GOOD, GOOD, GOOD], [True, True, True]),
        # A cached successful answer must not hide a later error.
        ([GOOD, ERROR, GOOD], [True, False, True]),
        ([NOTICE + GOOD, GOOD], [True, True]),
        ([ERROR], [False]),
        ([GOOD, END], [True, False]),
        ([GOOD[:-1]], []),
        ([b"Z\0\0\0\0\0"], [False]),
    ],
)
def test_answer_of_a_probe(answers, outcomes, chunk_bytes):
    # If an error counted as healthy, a failed primary would stay in use.
    assert run_probes(answers, chunk_bytes)[: len(outcomes) + 1] == outcomes


def test_statement_waits_for_the_probe_in_flight():
    # Otherwise the statement's answer would be taken for the probe's.
    async def work():
        reader = EndpointReader()
        prober = Prober(reader, lambda _: None, 2**20)
        reader.on_end = prober.fail
        outcomes = []
        prober.send(outcomes.append)
        waiting = asyncio.ensure_future(prober.wait())
        await asyncio.sleep(0)
        assert not waiting.done()
        reader.feed_data(GOOD)
        await waiting
        reader.feed_data(ERROR)
        assert outcomes == [True]
        assert await reader.read(100) == ERROR

    asyncio.run(work())


def test_cancelled_probe_reports_nothing():
    # The owner that cancels a probe closes the connection itself, and must
    # not close it again because of the probe.
    async def work():
        reader = EndpointReader()
        prober = Prober(reader, lambda _: None, 2**20)
        reader.on_end = prober.fail
        prober.send(pytest.fail)
        waiting = asyncio.ensure_future(prober.wait())
        await asyncio.sleep(0)
        prober.cancel()
        await waiting
        reader.feed_eof()

    asyncio.run(work())
