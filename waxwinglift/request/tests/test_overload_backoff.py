"""Tests which owners an entry proxy avoids after a refusal."""

import random

import pytest

from waxwinglift.process import DaemonId
from waxwinglift.request._overload_backoff import OverloadBackoff
from waxwinglift.version import EndpointId

_OWNER, _STANDBY = DaemonId("owner"), DaemonId("standby")
_ENDPOINT = EndpointId("s1")


def _backoff(*refusals):
    """Return the backoff after refusals of (daemon, urgency index) at 0."""
    backoff = OverloadBackoff(random.Random(1))
    for daemon, urgency_index in refusals:
        backoff.record(_ENDPOINT, daemon, urgency_index, 0.0, 1000.0)
    return backoff


@pytest.mark.parametrize(
    "refused_index, is_avoided",
    [(0, (True, True, True)), (1, (False, True, True)), (2, (False,) * 2)],
)
def test_refusal_of_a_rank_spares_the_more_urgent_ones(
    refused_index, is_avoided
):
    """A refusal must not keep back requests that the owner would serve."""
    backoff = _backoff((_OWNER, refused_index))
    for index, expected in enumerate(is_avoided):
        left_ms = backoff.left_ms(_ENDPOINT, _OWNER, index, 1.0)
        assert (left_ms > 0) is expected


@pytest.mark.parametrize(
    "refusals, is_closed",
    [
        ((), False),
        (((_OWNER, 2),), False),
        (((_STANDBY, 2),), False),
        (((_OWNER, 2), (_STANDBY, 2)), True),
        (((_OWNER, 2), (_STANDBY, 1)), True),
    ],
)
def test_endpoint_is_closed_once_all_its_owners_refuse(refusals, is_closed):
    """The standby owner serves while the owner lacks processor time."""
    backoff = _backoff(*refusals)
    left_ms = backoff.endpoint_left_ms(_ENDPOINT, (_OWNER, _STANDBY), 2, 1.0)
    assert (left_ms > 0) is is_closed


def test_endpoint_without_a_reachable_owner_is_not_closed():
    """If no owner can be reached, the entry proxy serves by itself."""
    backoff = _backoff((_OWNER, 0), (_STANDBY, 0))
    assert backoff.endpoint_left_ms(_ENDPOINT, (), 2, 1.0) == 0


def test_avoided_owner_is_tried_again():
    """After the advised delay, an owner must get requests again."""
    backoff = _backoff((_OWNER, 2), (_STANDBY, 2))
    daemons = (_OWNER, _STANDBY)
    left_ms = backoff.endpoint_left_ms(_ENDPOINT, daemons, 2, 0.0)
    assert 500.0 <= left_ms <= 1500.0
    assert not backoff.endpoint_left_ms(_ENDPOINT, daemons, 2, left_ms)
