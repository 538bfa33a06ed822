"""Tests the text and binary formats of values that callers exchange."""

import struct

import pytest

from waxwinglift_standin.connection import PgType
from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection._values import decode_value
from waxwinglift_standin.connection._values import encode_value

NOON = "2026-12-04 12:00:00.000001+00"
UUID = "00000000-0000-0000-0000-0000000000ff"
VALUES = [
    (PgType.INT2, -2, b"-2", b"\xff\xfe"),
    (PgType.INT4, 7, b"7", struct.pack("!i", 7)),
    (PgType.INT8, 1 << 40, b"1099511627776", struct.pack("!q", 1 << 40)),
    (PgType.FLOAT8, 1.5, b"1.5", struct.pack("!d", 1.5)),
    (PgType.BOOL, 1, b"t", b"\x01"),
    (PgType.BOOL, 0, b"f", b"\x00"),
    (PgType.TEXT, "é", "é".encode(), "é".encode()),
    (PgType.BYTEA, b"\x00a", b"\\x0061", b"\x00a"),
    (PgType.TIMESTAMPTZ, NOON, NOON.encode(),
     struct.pack("!q", 849700800000001)),
    (PgType.UUID, UUID, UUID.encode(), bytes(15) + b"\xff"),
    (PgType.JSONB, "[1]", b"[1]", b"\x01[1]"),
    (PgType.PG_LSN, "1/0000000A", b"1/0000000A", struct.pack("!II", 1, 10)),
    (PgType.NUMERIC, 0, b"0", struct.pack("!4h1h", 1, 0, 0, 0, 0)),
    (PgType.NUMERIC, 12345.5, b"12345.5",
     struct.pack("!hhHh3h", 3, 1, 0, 1, 1, 2345, 5000)),
    (PgType.NUMERIC, -3, b"-3", struct.pack("!hhHhh", 1, 0, 0x4000, 0, 3)),
]  # fmt: skip


@pytest.mark.parametrize(("pg_type", "value", "text", "binary"), VALUES)
def test_values_survive_encoding_and_decoding(pg_type, value, text, binary):
    # A value altered by encoding or decoding would look like a lost write.
    assert encode_value(value, pg_type, False) == text
    assert encode_value(value, pg_type, True) == binary
    assert decode_value(text, pg_type, False) == value
    assert decode_value(binary, pg_type, True) == value


@pytest.mark.parametrize(
    ("pg_type", "text", "value"),
    [
        (PgType.BOOL, b"yes", 1),
        (PgType.TIMESTAMPTZ, b"2026-12-04T20:00:00.000001+08:00", NOON),
        (PgType.NUMERIC, b"1.250", 1.25),
        (PgType.INT4, None, None),
    ],
)
def test_alternative_text_forms_are_decoded(pg_type, text, value):
    # Callers may use different text forms of the same value.
    assert decode_value(text, pg_type, False) == value


@pytest.mark.parametrize(
    ("pg_type", "data", "is_binary"),
    [
        (PgType.INT4, b"x", False),
        (PgType.INT4, b"\x00", True),
        (PgType.BOOL, b"maybe", False),
        (PgType.NUMERIC, b"1,5", False),
        (PgType.TIMESTAMPTZ, b"noon", False),
    ],
)
def test_malformed_value_is_refused(pg_type, data, is_binary):
    # Without the check a malformed parameter would end the connection.
    with pytest.raises(SqlError) as caught:
        decode_value(data, pg_type, is_binary)
    assert caught.value.state.value == "22P02"


def test_result_out_of_range_is_refused():
    # An uncaught struct.error would end the connection.
    with pytest.raises(SqlError):
        encode_value(1 << 40, PgType.INT4, True)
