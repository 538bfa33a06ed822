"""Registries of SQL functions, views and commands, and of faults."""

from collections.abc import Callable
import dataclasses
from typing import Any

from waxwinglift.process import Registry
from waxwinglift_standin.connection import PgType
from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState


@dataclasses.dataclass(frozen=True, slots=True)
class SqlFunction:
    """SQL function; `run` takes the context, then the SQL arguments.

    The result of a pure function depends only on its arguments, so that the
    log need not record it.
    """

    name: str
    run: Callable
    type: PgType
    is_pure: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SystemView:
    """SQL view; `rows` returns its rows as dictionaries."""

    name: str
    rows: Callable
    columns: dict[str, PgType]


@dataclasses.dataclass(slots=True)
class StatementContext:
    """Context of a running statement for commands and functions.

    `sleep_s` is the time that the statement occupies its slot before its
    result is sent; `after_statement` is a list of actions to run when the
    statement has finished.
    """

    server: Any
    session: Any = None
    sleep_s: float = 0.0
    after_statement: list = dataclasses.field(default_factory=list)


SQL_FUNCTIONS = {}
SYSTEM_VIEWS = {}
# Commands by their first words.  Each takes the context and the statement's
# tokens and returns a StatementResult.
SQL_COMMANDS = Registry()
sql_command = SQL_COMMANDS.register
FAULTS = {}


def sql_function(name, returns=PgType.TEXT, is_pure=False):
    """Register an SQL function under `name`."""

    def decorator(run):
        SQL_FUNCTIONS[name] = SqlFunction(name, run, returns, is_pure)
        return run

    return decorator


def system_view(name, **columns):
    """Register an SQL view under `name` with the types of its columns."""

    def decorator(rows):
        SYSTEM_VIEWS[name] = SystemView(name, rows, columns)
        return rows

    return decorator


def fault(name):
    """Register the function that prepares the fault `name`.

    It takes the server's state and the value as text, raises ValueError if
    the value is invalid, and returns the action that sets the fault.
    """

    def decorator(prepare):
        FAULTS[name] = prepare
        return prepare

    return decorator


def command_name(tokens):
    """Return the name of the command that `tokens` begin with, or None."""
    words = [token.upper for token in tokens[:2]]
    for count in (2, 1):
        name = " ".join(words[:count])
        if name in SQL_COMMANDS:
            return name
    return None


def prepare_fault(state, name, value):
    """Return the action that sets the fault `name` of a server.

    Raises
    ------
    SqlError
        If the fault is unknown or its value invalid (22023).
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
