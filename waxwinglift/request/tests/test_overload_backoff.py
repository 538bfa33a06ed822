"""Tests which owners an entry proxy avoids after a refusal."""

import random

import pytest

from waxwinglift.process import DaemonId
from waxwinglift.request._group_view import EndpointView
from waxwinglift.request._overload_backoff import OverloadBackoff
from waxwinglift.version import EndpointId
from waxwinglift.version import EndpointRole
from waxwinglift.version import Epoch

_OWNER, _STANDBY = DaemonId("owner"), DaemonId("standby")
_VIEW = EndpointView(
    EndpointId("s1"), EndpointRole.PRIMARY, 0, 4, _OWNER, Epoch(1), _STANDBY
)


def _backoff(*refusals):
    """Return the backoff after refusals of (daemon, urgency index) at 0."""
    backoff = OverloadBackoff(random.Random(1))
    for daemon, urgency_index in refusals:
        backoff.record(_VIEW.endpoint, daemon, urgency_index, 0.0, 1000.0)
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
        left_ms = backoff.left_ms(_VIEW.endpoint, _OWNER, index, 1.0)
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
    closed = backoff.closed_endpoints([_VIEW], 2, 1.0)
    assert (_VIEW.endpoint in closed) is is_closed


def test_avoided_owner_is_tried_again():
    """After the advised delay, an owner must get requests again."""
    backoff = _backoff((_OWNER, 2), (_STANDBY, 2))
    left_ms = backoff.closed_endpoints([_VIEW], 2, 0.0)[_VIEW.endpoint]
    assert 500.0 <= left_ms <= 1500.0
    assert not backoff.closed_endpoints([_VIEW], 2, left_ms)
