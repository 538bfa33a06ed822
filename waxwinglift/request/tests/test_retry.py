"""Guards against repeated execution and retry storms."""

import random

import pytest

from waxwinglift.process._policy_settings import RetrySettings
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.request import Verdict
from waxwinglift.request._retry import decide_retry
from waxwinglift.request._retry import retry_delay_ms
from waxwinglift.request._retry import RetryBudget
from waxwinglift.request._retry import RetryDecision

UNAVAILABLE = not_run(FailureCode.UNAVAILABLE, "no primary")
REJECTED = not_run(FailureCode.REJECTED, "queue is full")
UNKNOWN = may_have_run("connection lost")
RAN = Failure(Verdict.RAN, FailureCode.ALREADY_RAN, "ran")


@pytest.mark.parametrize(
    ("failure", "attempts", "sent", "keyed", "now_ms", "expected"),
    [
        (UNAVAILABLE, 1, False, False, 0, RetryDecision.RETRY),
        (UNAVAILABLE, 1, True, False, 0, RetryDecision.RETRY),
        (UNAVAILABLE, 4, False, False, 0, RetryDecision.GIVE_UP),
        (UNAVAILABLE, 1, False, False, 100, RetryDecision.GIVE_UP),
        (REJECTED, 1, True, False, 0, RetryDecision.RETRY),
        # A second queue is full as well; more attempts only add load.
        (REJECTED, 2, True, False, 0, RetryDecision.GIVE_UP),
        # Repeating a payout that may have run could pay twice.
        (UNKNOWN, 1, True, False, 0, RetryDecision.GIVE_UP),
        (UNKNOWN, 1, True, True, 0, RetryDecision.LOOK_UP),
        (UNKNOWN, 1, False, False, 0, RetryDecision.RETRY),
        (RAN, 1, True, True, 0, RetryDecision.GIVE_UP),
        (
            not_run(FailureCode.FLOOR_LOST, "lost"),
            *(1, False, False, 0, RetryDecision.GIVE_UP),
        ),
    ],
)
def test_decide_retry(failure, attempts, sent, keyed, now_ms, expected):
    """A request that may have run must not be repeated without a key."""
    budget = RetryBudget(RetrySettings())
    decision = decide_retry(
        failure, attempts, sent, keyed, budget, now_ms, 100
    )
    assert decision is expected


def test_retries_stay_within_a_tenth_of_the_requests():
    """Unlimited retries multiply the load on a failing endpoint."""
    budget = RetryBudget(RetrySettings())
    retries = 0
    for _ in range(2000):
        budget.record_request()
        decision = decide_retry(UNAVAILABLE, 1, False, False, budget, 0, 9)
        retries += decision is RetryDecision.RETRY
    assert retries <= 0.1 * 2000 + budget.settings.budget_burst_count


def test_delays_grow_and_vary():
    """With equal delays all callers would retry at the same time."""
    rng = random.Random(1)
    delays = [retry_delay_ms(n, RetrySettings(), rng) for n in (1, 1, 3)]
    assert delays[0] != delays[1]
    assert delays[2] > 2 * min(delays[:2])
