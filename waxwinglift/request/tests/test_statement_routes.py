"""Tests when a statement that no endpoint takes may be sent again."""

import types

import pytest
from result import Err

from waxwinglift.request import Access
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._statement_attempts import StatementAttempts
from waxwinglift.request._statement_daemons import StatementDaemons
from waxwinglift.request._statement_routes import StatementRoutes

_PRIMARY, _REPLICA = "s1", "s2"
_REFUSED = Err(not_run(FailureCode.UNAVAILABLE, "none is left"))


def _find(access, full_ms, overloaded_ms):
    """Return the route, with times by endpoint for which it is closed."""
    views = [
        types.SimpleNamespace(endpoint=name, owner=name, standby=None)
        for name in (_PRIMARY, _REPLICA)
    ]
    group_view = types.SimpleNamespace(primary=views[0], replicas=views[1:])
    allowed = {_PRIMARY}
    if access is Access.READ:
        allowed.add(_REPLICA)
    executor = types.SimpleNamespace(is_unresponsive=False)
    context = types.SimpleNamespace(
        uses_load=True,
        group_view=lambda group: group_view,
        now_ms=lambda: 0.0,
        loads=types.SimpleNamespace(find=lambda *_: None),
        executors=types.SimpleNamespace(executor_for=lambda _: executor),
        metrics=types.SimpleNamespace(incr=lambda name: None),
        rejection_backoff=types.SimpleNamespace(
            left_ms=lambda endpoint, *_, **__: full_ms.get(endpoint, 0.0)
        ),
        overload_backoff=types.SimpleNamespace(
            endpoint_left_ms=lambda e, *_: overloaded_ms.get(e, 0.0)
        ),
        choose_route=lambda _, request: (
            None if allowed - request.excluded else _REFUSED
        ),
    )
    session = types.SimpleNamespace(
        floor=None,
        policy=types.SimpleNamespace(urgency_index=1, max_staleness_ms=0),
        table=types.SimpleNamespace(
            group="g", rows=[types.SimpleNamespace(floor_percent=10)]
        ),
    )
    daemons = StatementDaemons(context, session)
    attempts = StatementAttempts(access, 0.0, 1000.0, is_block=False)
    return StatementRoutes(context, session, daemons)._find(attempts)


@pytest.mark.parametrize(
    "access, full_ms, overloaded_ms, expected",
    [
        # Only the primary takes a write, whatever the replica's owner does.
        (
            Access.WRITE,
            {_PRIMARY: 800.0},
            {_REPLICA: 50.0},
            (FailureCode.REJECTED, 800),
        ),
        (
            Access.WRITE,
            {},
            {_PRIMARY: 300.0, _REPLICA: 50.0},
            (FailureCode.OVERLOADED, 300),
        ),
        (
            Access.READ,
            {_PRIMARY: 800.0},
            {_REPLICA: 50.0},
            (FailureCode.REJECTED, 50),
        ),
    ],
)
def test_refusal_names_the_time_of_an_endpoint_that_may_serve(
    access, full_ms, overloaded_ms, expected
):
    """A caller that returns too early is refused again."""
    failure = _find(access, full_ms, overloaded_ms).err_value
    assert (failure.code, failure.retry_after_ms) == expected
