"""Guards the failures reported for statements without a complete answer."""

import pytest

from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._statement_failures import cancelled_failure
from waxwinglift.request._statement_failures import connection_lost_failure
from waxwinglift.request._statement_failures import StatementProgress
from waxwinglift.request._statement_failures import timeout_failure

UNSENT = StatementProgress(False, False, False)
UNSENT_COMMIT = StatementProgress(False, True, True)
SINGLE = StatementProgress(True, False, False)
IN_BLOCK = StatementProgress(True, True, False)
COMMIT = StatementProgress(True, True, True)


@pytest.mark.parametrize("progress", [UNSENT, UNSENT_COMMIT, IN_BLOCK])
@pytest.mark.parametrize(
    "make_failure",
    [lambda s: connection_lost_failure(s, "reset"), timeout_failure],
)
def test_statement_without_effect_is_reported_as_not_run(
    progress, make_failure
):
    """A caller must be able to repeat what cannot have taken effect."""
    assert make_failure(progress).verdict is Verdict.NOT_RUN


@pytest.mark.parametrize("progress", [SINGLE, COMMIT])
@pytest.mark.parametrize(
    "make_failure",
    [
        lambda s: connection_lost_failure(s, "reset"),
        timeout_failure,
        cancelled_failure,
    ],
)
def test_outcome_of_a_sent_write_or_commit_is_unknown(progress, make_failure):
    """A caller must not repeat what may have taken effect."""
    assert make_failure(progress).verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "progress, code",
    [
        (UNSENT, FailureCode.UNAVAILABLE),
        (IN_BLOCK, FailureCode.ABORTED),
        (SINGLE, FailureCode.TIMED_OUT),
        (COMMIT, FailureCode.TIMED_OUT),
    ],
)
def test_code_of_a_timeout_shows_the_outcome(progress, code):
    """The code must show whether to retry or to check the outcome."""
    assert timeout_failure(progress).code is code
