"""Session tokens: a session's floor as signed text for any proxy."""

import hashlib
import hmac

from result import Err
from result import Ok
from result import Result

from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.version import GroupName
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term

_VERSION = "v1"
_MAC_BYTES = 16
# Longest text whose signature is checked; a token has about 80 characters.
TOKEN_LIMIT_CHARACTERS = 512


def encode_token(secret: bytes, group: GroupName, floor: Position) -> str:
    """Return ``v1.<group>.<term>.<lsn>.<mac>`` for a floor.

    Parameters
    ----------
    secret : bytes
        Secret of the fleet, 1 to 64 bytes.
    group : GroupName
        Group that the floor belongs to; may contain dots.
    floor : Position
        Lowest position that the session's reads must include.
    """
    body = f"{_VERSION}.{group}.{floor.term}.{floor.lsn:X}"
    return f"{body}.{_sign(secret, body)}"


def decode_token(
    secret: bytes, text: str
) -> Result[tuple[GroupName, Position], Failure]:
    """Return the group and floor of a token signed by this fleet."""
    body, _, mac = text.rpartition(".")
    if len(text) > TOKEN_LIMIT_CHARACTERS or not text.isascii():
        return _refuse(
            "the token must consist of at most "
            f"{TOKEN_LIMIT_CHARACTERS} ASCII characters"
        )
    if not hmac.compare_digest(_sign(secret, body), mac):
        return _refuse("the token's signature does not match")
    return _parse_body(body)


def _parse_body(body):
    version, _, rest = body.partition(".")
    parts = rest.rsplit(".", 2)
    if version != _VERSION or len(parts) != 3:
        return _refuse(f"the token has version {version!r}, not {_VERSION!r}")
    group, term, lsn = parts
    floor = Position(Term(int(term)), Lsn(int(lsn, 16)))
    return Ok((GroupName(group), floor))


def _sign(secret, body):
    digest = hashlib.blake2b(body.encode(), key=secret, digest_size=_MAC_BYTES)
    return digest.hexdigest()


def _refuse(message):
    return Err(not_run(FailureCode.BAD_PARAMETER, message))
