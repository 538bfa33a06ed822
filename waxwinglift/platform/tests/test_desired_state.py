"""Tests the validation and decoding of an operator's document."""

import copy
import json

import pytest
from result import Err

from waxwinglift.platform._desired_state import decode_desired_state
from waxwinglift.platform._desired_state import encode_document
from waxwinglift.version._types import Consistency

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
