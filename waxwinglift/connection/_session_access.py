"""Decides whether the statements of a session may run on a replica."""

from collections.abc import Mapping
from collections.abc import Sequence

from waxwinglift.connection._session_options import SessionOptions
from waxwinglift.request import Access
from waxwinglift.request._classify import ClassifiedStatement
from waxwinglift.request._classify import StatementKind

_READ_KINDS = frozenset(
    {
        StatementKind.READ,
        StatementKind.SHOW,
        StatementKind.SET,
        StatementKind.RESET,
        StatementKind.EMPTY,
        StatementKind.BEGIN_READ_ONLY,
    }
)
# True values of a boolean setting, with PostgreSQL's abbreviations.
_TRUE_TEXTS = frozenset(
    {"on", "true", "tru", "tr", "t", "yes", "ye", "y", "1"}
)


def choose_access(
    options: SessionOptions,
    settings: Mapping[str, str],
    statements: Sequence[ClassifiedStatement],
) -> Access:
    """Return the access, READ or WRITE, that one exchange needs.

    Parameters
    ----------
    options : SessionOptions
    settings : mapping of str to str
        The session's settings, name to SQL literal.
    statements : sequence of ClassifiedStatement
        Statements that run or are prepared.
    """
    if options.idempotency_key:
        return Access.WRITE
    if options.access is not Access.AUTO:
        return options.access
    if _value(settings, "default_transaction_isolation") == "serializable":
        # A replica refuses this isolation level.
        return Access.WRITE
    is_read_only = _is_read_only(settings)
    is_read = all(
        _is_read(statement, is_read_only) for statement in statements
    )
    return Access.READ if is_read else Access.WRITE


def _is_read(statement, is_read_only):
    if statement.kind is StatementKind.BEGIN:
        # A mode given in BEGIN itself overrides the default.
        return is_read_only and not statement.name
    return statement.kind in _READ_KINDS


def _is_read_only(settings):
    return _value(settings, "default_transaction_read_only") in _TRUE_TEXTS


def _value(settings, name):
    return settings.get(name, "").strip("'").lower()
