"""Guards which times count as the work of an endpoint."""

import pytest

from waxwinglift.connection import TransactionStatus
from waxwinglift.request._statement_ticket import WorkSample
from waxwinglift.request._statements import EndpointError
from waxwinglift.request._statements import EndpointErrorCode
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import StatementAnswer


def _reply(code):
    error = None if code is None else EndpointError(code)
    answer = StatementAnswer(error=error)
    return Reply(answer, TransactionStatus.IDLE, None)


@pytest.mark.parametrize(
    ("codes", "work_ms"),
    [
        ([None], 30.0),
        ([None, None], 30.0),
        ([EndpointErrorCode.FAILED], 30.0),
        ([EndpointErrorCode.BEHIND], None),
        ([EndpointErrorCode.READ_ONLY, None], None),
        ([EndpointErrorCode.OVERLOADED], None),
        # The connection was lost before a reply.
        (None, None),
    ],
)
def test_only_statements_that_ran_are_samples(codes, work_ms):
    """Quick refusals by replicas that are behind made waits look short."""
    now_ms = 0.0
    sample = WorkSample(lambda: now_ms)
    sample.start()
    # A connection has become free.
    now_ms = 100.0
    sample.start()
    now_ms = 130.0
    if codes is not None:
        sample.record_replies([_reply(code) for code in codes])
    assert sample.elapsed_ms() == work_ms
