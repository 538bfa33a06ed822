"""Tests of the age of a proxy's state, which bounds the use of old keys."""

import math
import random

import pytest

from waxwinglift.version._view_age import ViewAge


def test_state_is_of_unknown_age_before_the_first_grant():
    # A proxy that starts with an old snapshot must accept no key by it.
    assert ViewAge().age_ms(1000.0) == math.inf


@pytest.mark.parametrize(
    ("grants", "applied_index", "now_ms", "expected_ms"),
    [
        pytest.param([(100, 5)], 5, 150, 50, id="applied"),
        pytest.param([(100, 5)], 4, 150, math.inf, id="not applied"),
        pytest.param([(100, 5), (400, 6)], 5, 500, 400, id="older confirmed"),
        pytest.param([(100, 5), (400, 6)], 6, 500, 100, id="both confirmed"),
        pytest.param([(400, 5), (100, 5)], 5, 500, 100, id="late answer"),
    ],
)
def test_age_counts_from_the_send_time_of_a_confirmed_renewal(
    grants, applied_index, now_ms, expected_ms
):
    # Counted from the answer, a slow network would hide a withdrawn key.
    age = ViewAge()
    for sent_ms, commit_index in grants:
        age.on_grant(sent_ms, commit_index, applied_index=0)
    age.on_applied(applied_index)
    assert age.age_ms(now_ms) == expected_ms


_LIMIT_MS = 3750.0
_QUORUM_MS = 300.0
_REVOCATION_MS = 5000.0


def _serves_withdrawn_key(rng, limit_ms, counts_from_answer=False):
    """Return whether a key was accepted too long after its withdrawal.

    Control commits the withdrawal, index 1, at 0 ms.  A leader that has lost
    its quorum may still grant with the old index for the check-quorum time.
    """
    age = ViewAge()
    events = []
    sent_ms = -rng.uniform(0, 1000)
    while sent_ms < 12_000:
        received_ms = sent_ms + rng.expovariate(1 / 100)
        answered_ms = received_ms + rng.expovariate(1 / 300)
        is_stale = received_ms < _QUORUM_MS or rng.random() < 0.05
        if is_stale and received_ms >= _QUORUM_MS:
            # Control refuses without a quorum; the grant does not come.
            pass
        else:
            index = 0 if received_ms < _QUORUM_MS else 1
            base_ms = answered_ms if counts_from_answer else sent_ms
            events.append((answered_ms, base_ms, index))
        sent_ms += rng.uniform(50, 900)
    applied_ms = rng.uniform(0, 12_000)
    for answered_ms, base_ms, index in sorted(events):
        applied_index = int(answered_ms >= applied_ms)
        age.on_grant(base_ms, index, applied_index)
        checked_ms = answered_ms + rng.uniform(0, 6000)
        has_key = checked_ms < applied_ms
        is_accepted = has_key and age.age_ms(checked_ms) <= limit_ms
        if is_accepted and checked_ms > _REVOCATION_MS:
            return True
    return False


@pytest.mark.parametrize("seed", range(20))
def test_withdrawn_key_is_refused_within_its_bound(seed):
    # A proxy that the log no longer reaches still has the key in its state.
    rng = random.Random(seed)
    assert not any(_serves_withdrawn_key(rng, _LIMIT_MS) for _ in range(200))


@pytest.mark.parametrize(
    "mutation",
    [
        pytest.param({"limit_ms": _REVOCATION_MS}, id="no check-quorum time"),
        pytest.param({"limit_ms": math.inf}, id="no limit"),
        pytest.param(
            {"limit_ms": _LIMIT_MS, "counts_from_answer": True},
            id="counted from the answer",
        ),
    ],
)
def test_each_rule_of_the_bound_is_needed(mutation):
    # The test above must be able to fail.
    rng = random.Random(1)
    assert any(_serves_withdrawn_key(rng, **mutation) for _ in range(20_000))
