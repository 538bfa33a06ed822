"""Registries of what the server adds to SQLite."""

from collections.abc import Callable
import dataclasses
from typing import Any

from waxwinglift.process import Registry
from waxwinglift_standin.connection import PgType
from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState


@dataclasses.dataclass(frozen=True, slots=True)
class SqlFunction:
    """Function of SQL: receives the context, then its arguments.

    A pure function returns the same for the same arguments, so that writes
    need not record its results.
    """

    name: str
    run: Callable
    type: PgType
    is_pure: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SystemView:
    """View whose rows come from a function, as dictionaries."""

    name: str
    rows: Callable
    columns: dict[str, PgType]


@dataclasses.dataclass(slots=True)
class StatementContext:
    """What the running statement may use and change.

    `sleep_s` is the time that the statement sleeps in its slot before it is
    answered; `after_statement` holds actions that run when it has finished.
    """

    server: Any
    session: Any = None
    sleep_s: float = 0.0
    after_statement: list = dataclasses.field(default_factory=list)


SQL_FUNCTIONS = {}
SYSTEM_VIEWS = {}
# A command that does not reach SQLite takes the context and the statement's
# tokens and returns an Answer.
SQL_COMMANDS = Registry()
sql_command = SQL_COMMANDS.register
FAULTS = {}


def sql_function(name, returns=PgType.TEXT, is_pure=False):
    """Register a function of SQL under `name`."""

    def decorator(run):
        SQL_FUNCTIONS[name] = SqlFunction(name, run, returns, is_pure)
        return run

    return decorator


def system_view(name, **columns):
    """Register a view under `name` with the types of its columns."""

    def decorator(rows):
        SYSTEM_VIEWS[name] = SystemView(name, rows, columns)
        return rows

    return decorator


def fault(name):
    """Register the function that prepares the fault `name`.

    It receives the server's state and the text of the value, raises
    ValueError for a bad value, and returns the action that puts it in force.
    """

    def decorator(switch):
        FAULTS[name] = switch
        return switch

    return decorator


def command_name(tokens):
    """Return the registered command that `tokens` start with, or None."""
    words = [token.upper for token in tokens[:2]]
    for count in (2, 1):
        name = " ".join(words[:count])
        if name in SQL_COMMANDS:
            return name
    return None


def prepare_fault(state, name, value):
    """Return the action that switches the fault `name` of a server.

    Raises
    ------
    SqlError
        If there is no such fault or the value is out of range (22023).
    """
    if name not in FAULTS:
        known = ", ".join(sorted(FAULTS))
        message = f'unknown fault "{name}"; known faults are {known}'
        raise SqlError(SqlState.INVALID_VALUE, message)
    try:
        return FAULTS[name](state, value)
    except ValueError as error:
        message = f'invalid value for fault "{name}": {error}'
        raise SqlError(SqlState.INVALID_VALUE, message) from error
