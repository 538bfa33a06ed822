"""Options ``waxwinglift.*`` that a session may set."""

import dataclasses

from result import Err
from result import Ok
from result import Result

from waxwinglift.process import Registry
from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.version import PoolTable
from waxwinglift.version import Rank

PREFIX = "waxwinglift."
IDEMPOTENCY_KEY_LIMIT_CHARACTERS = 200
# The protocol between proxies encodes milliseconds in 32 bits.
_LIMIT_MS = 2**31
# Parsers of option values, by option name.
_parsers = Registry()
_option = _parsers.register


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOptions:
    """Current options; None means the default of the pool's table.

    ``max_age_ms`` is the largest accepted age of read data, 0 if not set.
    """

    rank: Rank | None = None
    access: Access = Access.AUTO
    max_age_ms: int = 0
    deadline_ms: int | None = None
    idempotency_key: str = ""


def with_option(
    options: SessionOptions, name: str, text: str, table: PoolTable
) -> Result[SessionOptions, Failure]:
    """Return a copy of the options with one of them set from its text."""
    parser = _parsers.get(name)
    if parser is None:
        return _refuse(f"unknown option {PREFIX}{name}")
    parsed = parser(text, table)
    return parsed.map(
        lambda value: dataclasses.replace(options, **{name: value})
    )


def copy_option(
    options: SessionOptions, name: str, source: SessionOptions
) -> SessionOptions:
    """Return a copy of the options with one of them taken from ``source``."""
    return dataclasses.replace(options, **{name: getattr(source, name)})


def show_option(options: SessionOptions, name: str) -> str | None:
    """Return the value of an option as text, None if it is unknown."""
    if name not in _parsers:
        return None
    value = getattr(options, name)
    if isinstance(value, Access):
        return value.value
    return "" if value is None else str(value)


@_option("rank")
def _parse_rank(text, table):
    if any(row.rank == text for row in table.rows):
        return Ok(Rank(text))
    return _refuse(f"pool {table.pool} has no rank {text!r}")


@_option("access")
def _parse_access(text, table):
    try:
        return Ok(Access(text.lower()))
    except ValueError:
        return _refuse(f"access must be read, write or auto, not {text!r}")


@_option("max_age_ms")
def _parse_max_age(text, table):
    return _parse_ms(text, 0)


@_option("deadline_ms")
def _parse_deadline(text, table):
    return _parse_ms(text, 1)


@_option("idempotency_key")
def _parse_idempotency_key(text, table):
    is_short = len(text) <= IDEMPOTENCY_KEY_LIMIT_CHARACTERS
    if is_short and text.isprintable():
        return Ok(text)
    return _refuse(
        "the idempotency key must consist of at most "
        f"{IDEMPOTENCY_KEY_LIMIT_CHARACTERS} printable characters"
    )


def _parse_ms(text, min_ms):
    if not text.isascii() or not text.isdigit() or len(text) > 10:
        return _refuse(
            f"expected a whole number of milliseconds, got {text!r}"
        )
    value = int(text)
    if not min_ms <= value < _LIMIT_MS:
        return _refuse(
            f"{value} ms is not between {min_ms} and {_LIMIT_MS - 1} ms"
        )
    return Ok(value)


def _refuse(message):
    return Err(not_run(FailureCode.BAD_PARAMETER, message))
