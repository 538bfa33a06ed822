"""Text and binary formats of values on the wire.

SQLite stores booleans as 0 and 1, and timestamps as UTC text that sorts in
order of time.
"""

import datetime
import decimal
import struct
import uuid

from waxwinglift_standin.connection._types import PgType
from waxwinglift_standin.connection._types import SqlError
from waxwinglift_standin.connection._types import SqlState

_EPOCH = datetime.datetime(2000, 1, 1, tzinfo=datetime.timezone.utc)
_MICROSECOND = datetime.timedelta(microseconds=1)
_TRUE_WORDS = {"t", "true", "y", "yes", "on", "1"}
_FALSE_WORDS = {"f", "false", "n", "no", "off", "0"}
_STRUCT_FORMATS = {
    PgType.INT2: "!h",
    PgType.INT4: "!i",
    PgType.INT8: "!q",
    PgType.FLOAT4: "!f",
    PgType.FLOAT8: "!d",
}
# "ms" must come before "s", because it also ends with "s".
_UNITS_MS = {"ms": 1, "min": 60000, "s": 1000}
_INTEGERS = (PgType.INT2, PgType.INT4, PgType.INT8)
_FLOATS = (PgType.FLOAT4, PgType.FLOAT8)
_TIMES = (PgType.TIMESTAMP, PgType.TIMESTAMPTZ)

# Converters by type.  Values of types without a converter are sent as text.
TEXT_DECODERS = {}
BINARY_DECODERS = {}
TEXT_ENCODERS = {}
BINARY_ENCODERS = {}


def _register_in(registry, *types):
    def decorator(function):
        registry.update({pg_type: function for pg_type in types})
        return function

    return decorator


def decodes_text(*types):
    """Register the text decoder of `types`."""
    return _register_in(TEXT_DECODERS, *types)


def decodes_binary(*types):
    """Register the binary decoder of `types`."""
    return _register_in(BINARY_DECODERS, *types)


def encodes_text(*types):
    """Register the text encoder of `types`."""
    return _register_in(TEXT_ENCODERS, *types)


def encodes_binary(*types):
    """Register the binary encoder of `types`."""
    return _register_in(BINARY_ENCODERS, *types)


def format_timestamp(moment, pg_type=PgType.TIMESTAMPTZ):
    """Return a UTC `moment` as fixed-width text that sorts in time order."""
    text = moment.strftime("%Y-%m-%d %H:%M:%S.%f")
    return text + "+00" if pg_type is PgType.TIMESTAMPTZ else text


def parse_timestamp(text):
    """Return the moment, in UTC, of a timestamp's text form."""
    moment = datetime.datetime.fromisoformat(text.strip())
    if moment.tzinfo is None:
        return moment.replace(tzinfo=datetime.timezone.utc)
    return moment.astimezone(datetime.timezone.utc)


def parse_duration_ms(text):
    """Return the duration in ms of a time-out's text form.

    Raises
    ------
    ValueError
        If `text` is not a number with an optional unit.
    """
    text = text.strip()
    for unit, factor in _UNITS_MS.items():
        if text.endswith(unit):
            return float(text.removesuffix(unit)) * factor
    return float(text)


def parse_bool(text):
    """Return 1 or 0 for the text form of a boolean."""
    word = text.strip().lower()
    if word not in _TRUE_WORDS and word not in _FALSE_WORDS:
        raise ValueError(f'invalid input syntax for type boolean: "{text}"')
    return int(word in _TRUE_WORDS)


def to_sqlite_number(number):
    """Return a Decimal as an int or float, which SQLite can store."""
    if number == number.to_integral_value():
        return int(number)
    return float(number)


def _parse_numeric(text, _):
    return to_sqlite_number(decimal.Decimal(text))


@decodes_text(*_INTEGERS)
def _text_to_int(text, _):
    return int(text)


@decodes_text(*_FLOATS)
def _text_to_float(text, _):
    return float(text)


@decodes_text(PgType.BOOL)
def _text_to_bool(text, _):
    return parse_bool(text)


@decodes_text(PgType.BYTEA)
def _text_to_bytes(text, _):
    if text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return text.encode().decode("unicode_escape").encode("latin-1")


@decodes_text(*_TIMES)
def _text_to_time(text, pg_type):
    return format_timestamp(parse_timestamp(text), pg_type)


TEXT_DECODERS[PgType.NUMERIC] = _parse_numeric


@decodes_binary(*_STRUCT_FORMATS)
def _binary_to_number(data, pg_type):
    return struct.unpack(_STRUCT_FORMATS[pg_type], data)[0]


@decodes_binary(PgType.BOOL)
def _binary_to_bool(data, _):
    return data[0]


@decodes_binary(PgType.BYTEA)
def _binary_to_bytes(data, _):
    return data


@decodes_binary(*_TIMES)
def _binary_to_time(data, pg_type):
    moment = _EPOCH + struct.unpack("!q", data)[0] * _MICROSECOND
    return format_timestamp(moment, pg_type)


@decodes_binary(PgType.UUID)
def _binary_to_uuid(data, _):
    return str(uuid.UUID(bytes=data))


@decodes_binary(PgType.JSONB)
def _binary_to_jsonb(data, _):
    return data[1:].decode()


@decodes_binary(PgType.NUMERIC)
def _binary_to_numeric(data, _):
    count, weight, sign, _scale = struct.unpack_from("!hhHh", data)
    digits = struct.unpack_from(f"!{count}h", data, 8)
    number = decimal.Decimal(0)
    for index, digit in enumerate(digits):
        number += decimal.Decimal(digit).scaleb(4 * (weight - index))
    return to_sqlite_number(-number if sign == 0x4000 else number)


@decodes_binary(PgType.PG_LSN)
def _binary_to_lsn(data, _):
    high, low = struct.unpack("!II", data)
    return f"{high:X}/{low:08X}"


@encodes_text(PgType.BOOL)
def _bool_to_text(value, _):
    return "t" if value not in (0, "0", "f", "false") else "f"


@encodes_text(PgType.BYTEA)
def _bytes_to_text(value, _):
    data = value.encode() if isinstance(value, str) else value
    return "\\x" + data.hex()


@encodes_text(*_INTEGERS)
def _int_to_text(value, _):
    return str(int(value))


@encodes_text(PgType.NUMERIC)
def _numeric_to_text(value, _):
    return format(decimal.Decimal(str(value)), "f")


@encodes_binary(*_INTEGERS)
def _int_to_binary(value, pg_type):
    return struct.pack(_STRUCT_FORMATS[pg_type], int(value))


@encodes_binary(*_FLOATS)
def _float_to_binary(value, pg_type):
    return struct.pack(_STRUCT_FORMATS[pg_type], float(value))


@encodes_binary(PgType.BOOL)
def _bool_to_binary(value, pg_type):
    return b"\x01" if _bool_to_text(value, pg_type) == "t" else b"\x00"


@encodes_binary(PgType.BYTEA)
def _bytes_to_binary(value, _):
    return value.encode() if isinstance(value, str) else bytes(value)


@encodes_binary(*_TIMES)
def _time_to_binary(value, _):
    elapsed = parse_timestamp(value) - _EPOCH
    return struct.pack("!q", elapsed // _MICROSECOND)


@encodes_binary(PgType.UUID)
def _uuid_to_binary(value, _):
    return uuid.UUID(value).bytes


@encodes_binary(PgType.JSONB)
def _jsonb_to_binary(value, _):
    return b"\x01" + str(value).encode()


@encodes_binary(PgType.PG_LSN)
def _lsn_to_binary(value, _):
    high, low = value.split("/")
    return struct.pack("!II", int(high, 16), int(low, 16))


@encodes_binary(PgType.NUMERIC)
def _numeric_to_binary(value, _):
    number = decimal.Decimal(str(value))
    text = format(abs(number), "f")
    whole, _, fraction = text.partition(".")
    scale = len(fraction)
    whole = whole.zfill(-(-len(whole) // 4) * 4)
    fraction = fraction.ljust(-(-scale // 4) * 4, "0")
    joined = whole + fraction
    digits = [int(joined[i : i + 4]) for i in range(0, len(joined), 4)]
    sign = 0x4000 if number < 0 else 0
    head = struct.pack("!hhHh", len(digits), len(whole) // 4 - 1, sign, scale)
    return head + struct.pack(f"!{len(digits)}h", *digits)


def decode_value(data, pg_type, is_binary):
    """Return the SQLite value of a parameter.

    Raises
    ------
    SqlError
        If `data` is not a value of `pg_type` (22P02).
    """
    if data is None:
        return None
    try:
        if is_binary and pg_type in BINARY_DECODERS:
            return BINARY_DECODERS[pg_type](data, pg_type)
        text = data.decode()
        decoder = TEXT_DECODERS.get(pg_type)
        return decoder(text, pg_type) if decoder else text
    except (ValueError, ArithmeticError, struct.error) as error:
        name = pg_type.name.lower()
        message = f"invalid input syntax for type {name}: {data!r}"
        raise SqlError(SqlState.INVALID_TEXT, message) from error


def encode_value(value, pg_type, is_binary):
    """Return the wire bytes of a SQLite value, or None for NULL.

    Raises
    ------
    SqlError
        If the value does not fit `pg_type` (22P02).
    """
    if value is None:
        return None
    try:
        if is_binary and pg_type in BINARY_ENCODERS:
            return BINARY_ENCODERS[pg_type](value, pg_type)
        encoder = TEXT_ENCODERS.get(pg_type)
        if encoder:
            return encoder(value, pg_type).encode()
    except (ValueError, ArithmeticError, struct.error) as error:
        name = pg_type.name.lower()
        message = f"value {value!r} does not fit type {name}"
        raise SqlError(SqlState.INVALID_TEXT, message) from error
    return value if isinstance(value, bytes) else str(value).encode()
