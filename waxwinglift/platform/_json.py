"""Decoding of JSON documents from other programs."""

import json
import math

# Limits of the integer fields of rpc/control.proto and rpc/peer.proto, which
# carry the decoded values between the processes.
UINT32_MAX = 2**32 - 1
UINT64_MAX = 2**64 - 1


def decode_json(body: bytes):
    """Return the value of a JSON document.

    Raises
    ------
    ValueError
        The bytes are not JSON, are nested too deeply, or have a number
        that a 64-bit float cannot hold.
    """
    try:
        return json.loads(
            body, parse_float=_parse_float, parse_constant=_refuse_constant
        )
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error


def _parse_float(text):
    value = float(text)
    if math.isinf(value):
        raise ValueError("a number is too large for a 64-bit float")
    return value


def _refuse_constant(text):
    raise ValueError(f"{text} is not JSON")
