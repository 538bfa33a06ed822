"""Guards what callers are told of statements without a whole answer."""

import pytest

from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._statement_failures import cancelled
from waxwinglift.request._statement_failures import lost
from waxwinglift.request._statement_failures import StatementProgress
from waxwinglift.request._statement_failures import timed_out

UNSENT = StatementProgress(False, False, False)
UNSENT_COMMIT = StatementProgress(False, True, True)
SINGLE = StatementProgress(True, False, False)
IN_BLOCK = StatementProgress(True, True, False)
COMMIT = StatementProgress(True, True, True)


@pytest.mark.parametrize("state", [UNSENT, UNSENT_COMMIT, IN_BLOCK])
@pytest.mark.parametrize("end", [lambda s: lost(s, "reset"), timed_out])
def test_nothing_is_kept(state, end):
    """What cannot have taken effect must be safe to repeat."""
    assert end(state).verdict is Verdict.NOT_RUN


@pytest.mark.parametrize("state", [SINGLE, COMMIT])
@pytest.mark.parametrize(
    "end", [lambda s: lost(s, "reset"), timed_out, cancelled]
)
def test_outcome_is_unknown(state, end):
    """A write or a commit that was sent may have taken effect."""
    assert end(state).verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "state, code",
    [
        (UNSENT, FailureCode.UNAVAILABLE),
        (IN_BLOCK, FailureCode.ABORTED),
        (SINGLE, FailureCode.TIMED_OUT),
        (COMMIT, FailureCode.TIMED_OUT),
    ],
)
def test_time_out_says_what_happened(state, code):
    """A caller must know whether to come back or to look things up."""
    assert timed_out(state).code is code
