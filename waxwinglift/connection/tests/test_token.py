"""Tests the signature of session tokens."""

import pytest

from waxwinglift.connection._token import decode_token
from waxwinglift.connection._token import encode_token
from waxwinglift.version import GroupName
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term

SECRET = b"fleet secret"
FLOOR = Position(Term(3), Lsn(0x1_0000_00FF))


@pytest.mark.parametrize("group", ["ledger", "ledger.north.2", "a b"])
def test_token_returns_the_floor(group):
    # Dots in a group name must not shift the fields.
    token = encode_token(SECRET, GroupName(group), FLOOR)
    assert decode_token(SECRET, token).ok_value == (group, FLOOR)


@pytest.mark.parametrize(
    "forge",
    [
        lambda token: token.replace(".3.", ".2."),
        lambda token: token[:-1] + ("0" if token[-1] != "0" else "1"),
        lambda token: token.rpartition(".")[0],
        lambda token: token.replace("v1", "v2"),
        lambda token: encode_token(b"other", GroupName("ledger"), FLOOR),
        lambda token: token + "é",
        lambda token: "." * 1000,
        lambda token: "",
    ],
)
def test_forged_token_is_refused(forge):
    # With a forged floor, a session could read data older than its writes.
    token = encode_token(SECRET, GroupName("ledger"), FLOOR)
    assert decode_token(SECRET, forge(token)).is_err()
