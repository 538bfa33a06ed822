"""Tests which endpoints an entry proxy avoids after refusals by queues."""

import random

import pytest

from waxwinglift.request._rejection_backoff import RejectionBackoff
from waxwinglift.version import EndpointId

_ENDPOINT = EndpointId("s1")


def _backoff(urgency_index=1, is_block=False, retry_after_ms=400.0):
    """Return the backoff after a refusal at 100 ms."""
    backoff = RejectionBackoff(random.Random(1))
    backoff.record(_ENDPOINT, urgency_index, is_block, 100.0, retry_after_ms)
    return backoff


@pytest.mark.parametrize(
    "refused, asked, is_closed",
    [
        # (urgency index, whether it is a block)
        ((1, False), (0, False), False),
        ((1, False), (1, False), True),
        ((1, False), (2, False), True),
        # A block also needs the slots that single statements need.
        ((1, False), (1, True), True),
        # Blocks can wait for connections while slots are free.
        ((1, True), (1, False), False),
        ((1, True), (2, True), True),
    ],
)
def test_refusal_keeps_back_what_the_queue_would_refuse(
    refused, asked, is_closed
):
    """A refusal must not keep back requests that the queue would serve."""
    left_ms = _backoff(*refused).left_ms(_ENDPOINT, *asked, 101.0)
    assert (left_ms > 0) is is_closed


@pytest.mark.parametrize(
    "refused_index, asked_index, is_closed",
    [(0, 2, False), (1, 2, False), (2, 2, True), (2, 1, False)],
)
def test_rank_with_a_floor_share_is_kept_back_by_its_own_refusals_only(
    refused_index, asked_index, is_closed
):
    """In a flood of urgent work the owner still serves its floor share."""
    left_ms = _backoff(refused_index).left_ms(
        _ENDPOINT, asked_index, False, 101.0, has_floor_share=True
    )
    assert (left_ms > 0) is is_closed


@pytest.mark.parametrize(
    "retry_after_ms, least_ms, most_ms",
    [(100, 100, 120), (800, 800, 960), (1500, 833, 1000), (9000, 833, 1000)],
)
def test_requests_return_after_the_advised_time(
    retry_after_ms, least_ms, most_ms
):
    """A wrong or very long advice must not keep requests back for long."""
    backoff = _backoff(retry_after_ms=retry_after_ms)
    left_ms = backoff.left_ms(_ENDPOINT, 1, False, 100.0)
    assert least_ms <= left_ms <= most_ms + 0.001
    assert not backoff.left_ms(_ENDPOINT, 1, False, 100.0 + left_ms)


@pytest.mark.parametrize(
    "observed_ms, is_closed", [(99.0, True), (101.0, False)]
)
def test_newer_report_of_free_slots_ends_the_backoff(observed_ms, is_closed):
    """Free slots must not stay idle until the advised time."""
    backoff = _backoff()
    backoff.lift(_ENDPOINT, observed_ms)
    assert (backoff.left_ms(_ENDPOINT, 2, False, 110.0) > 0) is is_closed
