"""Tests the validation and decoding of an operator's document."""

import copy
import json

import pytest
from result import Err

from waxwinglift.platform._desired_state import decode_desired_state
from waxwinglift.platform._desired_state import encode_document
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.version._types import Consistency
from waxwinglift.version._workspaces import digest_key

_ROUTE = {
    "name": "r-1",
    "host": "ledger",
    "pathPrefix": "/",
    "kind": "read_your_writes",
    "timeoutMs": 800,
    "targetLatencyMs": 1500,
    "priority": 2,
    "service": "svc",
    "maxAttempts": 2,
    "maxStalenessMs": 2500,
}
_DOCUMENT = {
    "version": 7,
    "routes": [_ROUTE, _ROUTE | {"name": "r-2", "host": "stock"}],
    "services": [
        {"name": "svc", "maxConns": 28, "protocol": "h1", "syncReplicas": 0}
    ],
    "limits": {"txIdleMs": 3000, "maxHeaderBytes": 16384},
}


def _decode(document):
    if not isinstance(document, bytes):
        document = json.dumps(document).encode()
    return decode_desired_state(document)


def test_pools_and_groups():
    """Each route becomes a pool with its own policy."""
    request = _decode(_DOCUMENT).ok_value
    first, second = request.pools
    assert (first.pool, second.pool) == ("ledger", "stock")
    assert first.policy.consistency is Consistency.SESSION
    assert first.policy.statement_timeout_ms == 800
    assert first.policy.target_latency_ms == 1500
    assert first.policy.max_staleness_ms == 2500
    assert first.policy.urgency_index == 2
    assert request.groups[0].connection_limit_count == 28
    assert request.limits.idle_block_ms == 3000


def test_document_is_returned_unchanged():
    """The document that is read equals the one sent, with unknown fields."""
    document = _DOCUMENT | {"comment": {"by": "ops"}, "empty": []}
    request = _decode(document).ok_value
    assert json.loads(encode_document(request.document)) == document


def _changed(path, value):
    document = copy.deepcopy(_DOCUMENT)
    container = document
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return document


def _tenant(name, *keys):
    return {
        "name": name,
        "apiKeys": list(keys or ("k1", "k2")),
        "priority": 1,
        "ratePerS": 135,
        "burst": 140,
    }


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"{",
        b'{"version": 7',
        b"[" * 100_000,
        [],
        {"version": 7},
        _changed(("version",), 0),
        _changed(("version",), "7"),
        _changed(("routes", 0, "service"), "other"),
        _changed(("routes", 1, "host"), "ledger"),
        _changed(("routes", 0, "timeoutMs"), 0),
        _changed(("routes", 0, "timeoutMs"), "800"),
        _changed(("routes", 0, "kind"), "eventual"),
        _changed(("routes", 0), "r-1"),
        _changed(("services", 0, "maxConns"), 0),
        _changed(("services",), [_DOCUMENT["services"][0]] * 2),
        # A shared key would let one tenant act as the other.
        _changed(("tenants",), [_tenant("a"), _tenant("b")]),
        _changed(("tenants",), [_tenant("a"), _tenant("a", "other")]),
        # The name is sent to servers as one field of a line.
        _changed(("tenants",), [_tenant("a b")]),
        _changed(("tenants",), [_tenant("a\r\nQUERY")]),
        _changed(("tenants",), [_tenant("a", "")]),
        _changed(("tenants",), [_tenant("a") | {"ratePerS": -1}]),
        _changed(("tenants",), [_tenant("a") | {"burst": "7"}]),
        _changed(("routes", 0, "public"), 1),
    ],
)
def test_invalid_document(document):
    """An invalid document must be refused before anything is stored."""
    assert isinstance(_decode(document), Err)


@pytest.mark.parametrize("missing_count", [1, 10, 100, 300])
def test_truncated_document(missing_count):
    """A truncated document must be refused."""
    body = json.dumps(_DOCUMENT).encode()
    assert isinstance(_decode(body[:-missing_count]), Err)


@pytest.mark.parametrize("kind", ["lists", "objects"])
def test_nesting_of_any_depth_is_decoded_or_refused(kind):
    """Nesting near the interpreter's limit must not raise an exception."""
    opened, closed = {"lists": ("[", "]"), "objects": ('{"a":', "}")}[kind]
    for depth in (*range(900, 1000), 100_000):
        nested = opened * depth + "0" + closed * depth
        body = json.dumps(_DOCUMENT)[:-1] + f',"news":{nested}}}'
        decoded = _decode(body.encode())
        assert decoded.is_ok() or decoded.is_err()


@pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity", "1e400"])
def test_number_that_cannot_be_returned_is_refused(number):
    """The document that is read must be JSON with the values that were sent.

    Python's decoder accepts these words, and its encoder writes them, but no
    other JSON decoder reads them.
    """
    body = json.dumps(_DOCUMENT)[:-1] + f',"news":{number}}}'
    assert isinstance(_decode(body.encode()), Err)


@pytest.mark.parametrize(
    "path",
    [
        ("routes", 0, "timeoutMs"),
        ("routes", 0, "targetLatencyMs"),
        ("routes", 0, "maxStalenessMs"),
        ("services", 0, "maxConns"),
        ("limits", "txIdleMs"),
    ],
    ids=lambda path: path[-1],
)
@pytest.mark.parametrize(
    "value", [2**32, 10**400], ids=["33 bits", "beyond a float"]
)
def test_large_number_is_accepted_and_can_be_used(path, value):
    """Proxies calculate with these numbers and send them in 32 bits.

    A larger one must neither be refused nor raise an exception there.
    """
    document = _changed(path, value)
    request = _decode(document).ok_value
    assert json.loads(encode_document(request.document)) == document
    policy = request.pools[0].policy
    header = peer_pb2.ExecuteHeader()
    header.statement_timeout_ms = policy.statement_timeout_ms
    header.max_age_ms = policy.max_staleness_ms
    used = (
        policy.target_latency_ms,
        request.groups[0].connection_limit_count,
        request.limits.idle_block_ms,
    )
    assert all(0 < number < 2**32 for number in used)


@pytest.mark.parametrize(
    ("changes", "limit_ms"),
    [({}, 0), ({"maxStalenessMs": 0}, 1), ({"maxStalenessMs": 1500}, 1500)],
    ids=["no limit", "nothing older", "limit"],
)
def test_staleness_limit_of_zero_is_not_taken_for_none(changes, limit_ms):
    """Reads would run on replicas at any position."""
    route = {k: v for k, v in _ROUTE.items() if k != "maxStalenessMs"}
    document = _DOCUMENT | {"routes": [route | changes]}
    (pool,) = _decode(document).ok_value.pools
    assert pool.policy.max_staleness_ms == limit_ms


def test_tenants_are_stored_without_their_keys():
    """A key in clear text would reach logs and every proxy's memory."""
    request = _decode(_DOCUMENT | {"tenants": [_tenant("a")]}).ok_value
    (settings,) = request.workspaces
    assert settings.workspace == "a"
    assert set(settings.keys) == {digest_key(b"k1"), digest_key(b"k2")}
    assert (settings.rate_per_s, settings.burst_count) == (135, 140)
    assert "k1" not in repr(settings)


@pytest.mark.parametrize(
    ("tenants", "public", "expected"),
    [
        (None, None, True),
        (None, False, False),
        (None, True, True),
        ([], None, False),
        ([], True, True),
        ([_tenant("a")], None, False),
        ([_tenant("a")], False, False),
    ],
)
def test_routes_of_deployments_with_tenants_need_a_key(
    tenants, public, expected
):
    """A route that omits the field must not be open to everyone."""
    document = _DOCUMENT | {"routes": [_ROUTE | {"public": public}]}
    if public is None:
        document["routes"] = [_ROUTE]
    if tenants is not None:
        document["tenants"] = tenants
    request = _decode(document).ok_value
    assert request.pools[0].policy.is_public is expected
