"""Decisions on whether a failed request is sent again, within a budget."""

import enum

from waxwinglift.request._types import FailureCode
from waxwinglift.request._types import Verdict

# Failures with other codes are not retried here; most are due to the request
# itself and would recur on any endpoint.
RETRIED_CODES = frozenset(
    {
        FailureCode.UNAVAILABLE,
        FailureCode.REJECTED,
        FailureCode.SHUTTING_DOWN,
        FailureCode.OUTCOME_UNKNOWN,
    }
)


class RetryDecision(enum.Enum):
    """What to do with a failed request.

    LOOK_UP: first query the primary for the idempotency key.
    """

    RETRY = "retry"
    LOOK_UP = "look_up"
    GIVE_UP = "give_up"


class RetryBudget:
    """Token bucket that limits a pool's retries to a share of its requests.

    Parameters
    ----------
    settings : RetrySettings
    """

    def __init__(self, settings):
        self.settings = settings
        self._token_count = settings.budget_burst_count

    def record_request(self):
        """Add the fraction of a retry that each request earns."""
        total_count = self._token_count + self.settings.budget_ratio
        self._token_count = min(total_count, self.settings.budget_burst_count)

    def try_spend(self):
        """Use one retry of the budget and return whether one was left."""
        if self._token_count < 1:
            return False
        self._token_count -= 1
        return True


def decide_retry(
    failure,
    attempt_count,
    was_sent,
    has_key,
    budget,
    now_ms,
    deadline_ms,
):
    """Decide whether a failed request may be sent again.

    Parameters
    ----------
    failure : Failure
    attempt_count : int
        Number of attempts so far, at least 1.
    was_sent : bool
        Whether any byte of the request has left this process.
    has_key : bool
        Whether the transaction has an idempotency key.
    budget : RetryBudget
        Charged only if the decision is RETRY.
    now_ms, deadline_ms : float
        Current time and deadline on the same clock.

    Returns
    -------
    RetryDecision
    """
    if now_ms >= deadline_ms:
        return RetryDecision.GIVE_UP
    if attempt_count >= _attempt_limit_count(failure, budget.settings):
        return RetryDecision.GIVE_UP
    if failure.code not in RETRIED_CODES:
        return RetryDecision.GIVE_UP
    if _is_known_not_run(failure, was_sent):
        return _spend(budget)
    if failure.verdict is Verdict.MAY_HAVE_RUN and has_key:
        return RetryDecision.LOOK_UP
    return RetryDecision.GIVE_UP


def retry_delay_ms(attempt_count, settings, rng):
    """Return the delay before the next attempt, with jitter.

    Parameters
    ----------
    attempt_count : int
        Number of attempts so far, at least 1.
    settings : RetrySettings
    rng : random.Random
    """
    mean_ms = settings.backoff_ms * 2 ** (attempt_count - 1)
    return mean_ms * rng.uniform(0.5, 1.5)


def _is_known_not_run(failure, was_sent):
    if failure.verdict is Verdict.NOT_RUN:
        return True
    return failure.verdict is Verdict.MAY_HAVE_RUN and not was_sent


def _attempt_limit_count(failure, settings):
    if failure.code is not FailureCode.REJECTED:
        return settings.attempt_limit_count
    # One rejection may be due to a single overloaded endpoint; a second one
    # indicates that the whole group is overloaded.
    return min(settings.attempt_limit_count, settings.rejected_limit_count)


def _spend(budget):
    if budget.try_spend():
        return RetryDecision.RETRY
    return RetryDecision.GIVE_UP
