"""Runs statements, limited by the server's slots and its write lock."""

import asyncio
import dataclasses
import json
import sqlite3

from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState
from waxwinglift_standin.connection import StatementResult
from waxwinglift_standin.request import _transactions as transactions
from waxwinglift_standin.request._description import Describer
from waxwinglift_standin.request._registries import SQL_COMMANDS
from waxwinglift_standin.request._registries import SQL_FUNCTIONS
from waxwinglift_standin.request._registries import StatementContext
from waxwinglift_standin.request._registries import SYSTEM_VIEWS
from waxwinglift_standin.request._statement import command_tag
from waxwinglift_standin.request._statement import parse_statements
from waxwinglift_standin.request._statement import StatementKind
from waxwinglift_standin.version import FunctionCalls

_ALLOWED_AFTER_FAILURE = {"COMMIT", "END", "ROLLBACK", "ABORT", "ROLLBACK TO"}
_ROW_COUNT_VERBS = {"INSERT", "UPDATE", "DELETE"}


@dataclasses.dataclass(frozen=True, slots=True)
class _SqliteResult:
    """Result from SQLite; `names` is None if it has no columns."""

    tag: str
    names: list[str] | None
    rows: list[tuple]


class Executor:
    """Runs the statements of a server's sessions.

    `attach` sets the server after construction, because the server's state
    needs a Database, whose constructor needs `install`.
    """

    def __init__(self):
        self.server = None
        self._describer = None
        self.function_calls = FunctionCalls()
        self._context = StatementContext(None)
        # Error of an SQL function; SQLite reports only that a function failed.
        self._failure = None

    def attach(self, server):
        """Set the ServerState that statements run on."""
        self.server = server
        self._describer = Describer(server.database)

    def parse(self, text):
        """Return the statements of a query string."""
        return parse_statements(text)

    def install(self, connection):
        """Add the registered functions and views to a SQLite connection."""
        for function in SQL_FUNCTIONS.values():
            wrapped = self._wrap(function)
            connection.create_function(function.name, -1, wrapped)
        connection.create_function("standin_rows", 1, self._view_rows)
        for view in SYSTEM_VIEWS.values():
            fields = ", ".join(
                f"json_extract(value, '$.{name}') AS {name}"
                for name in view.columns
            )
            connection.execute(
                f"CREATE TEMP VIEW {view.name} AS SELECT {fields} "
                f"FROM json_each(standin_rows('{view.name}'))"
            )

    def _wrap(self, function):
        def call(*arguments):
            try:
                if function.is_pure:
                    return function.run(None, *arguments)
                return self.function_calls.call(
                    function.run, self._context, *arguments
                )
            except SqlError as error:
                self._failure = error
                raise
            except (ValueError, TypeError) as error:
                self._failure = SqlError(SqlState.INVALID_TEXT, str(error))
                raise

        return call

    def _view_rows(self, name):
        rows = SYSTEM_VIEWS[name].rows
        return self.function_calls.call(lambda: json.dumps(rows(self.server)))

    def describe(self, session, statement, parameter_oids):
        """Return the Description of a statement before it runs."""
        return self._describer.describe(session, statement, parameter_oids)

    async def run(self, session, statement, parameters, columns=None):
        """Run a statement and return its StatementResult.

        Parameters
        ----------
        columns : tuple of Column or None
            Result columns if the statement has been described.

        Raises
        ------
        SqlError
            If the statement fails; the calling code must then call `fail`.
        """
        is_allowed_after_failure = statement.verb in _ALLOWED_AFTER_FAILURE
        if session.has_failed and not is_allowed_after_failure:
            message = (
                "current transaction is aborted, commands ignored until "
                "end of transaction block"
            )
            raise SqlError(SqlState.FAILED_TRANSACTION, message)
        if statement.kind is StatementKind.COMMAND:
            context = StatementContext(self.server, session)
            return SQL_COMMANDS[statement.verb](context, statement.tokens)
        if session.transaction is None:
            default = session.parameters.get("default_transaction_read_only")
            transactions.begin(session, False, default == "on")
        if statement.kind is not StatementKind.READ:
            self._check_writable(session, statement)
            await transactions.acquire_write_lock(self.server, session)
        result = await self._run_in_slot(session, statement, parameters)
        if result.names is None:
            return StatementResult(result.tag)
        if columns is None:
            columns = self._describer.columns(
                session, statement, result.names, result.rows
            )
        if len(columns) != len(result.names):
            message = "cached plan must not change result type"
            raise SqlError(SqlState.NOT_SUPPORTED, message)
        return StatementResult(result.tag, columns, result.rows)

    def commit_implicit(self, session):
        """Commit the open transaction unless BEGIN started it."""
        if session.transaction and not session.transaction.is_explicit:
            transactions.commit(self.server, session)

    def begin_implicit(self, session):
        """Start the implicit transaction of a message's statements."""
        transactions.begin(session, is_explicit=False)

    def fail(self, session):
        """Mark the open transaction as failed, or undo an implicit one."""
        transactions.fail(self.server, session)

    def rollback(self, session):
        """Roll back the session's open transaction."""
        transactions.rollback(self.server, session)

    def _check_writable(self, session, statement):
        if self.server.in_recovery or session.transaction.is_read_only:
            verb = statement.verb
            if statement.kind is StatementKind.LOCKING_READ:
                verb = "SELECT FOR UPDATE"
            message = f"cannot execute {verb} in a read-only transaction"
            raise SqlError(SqlState.READ_ONLY, message)

    async def _run_in_slot(self, session, statement, parameters):
        server = self.server
        await server.slots.acquire()
        try:
            delay_ms = server.settings.statement_delay_ms
            delay_ms *= server.faults.slow_factor
            if delay_ms:
                await asyncio.sleep(delay_ms / 1000)
            await server.unfrozen.wait()
            context = StatementContext(server, session)
            result = self._run_sql(context, statement, parameters)
            if context.sleep_s:
                await asyncio.sleep(context.sleep_s)
        finally:
            server.slots.release()
        for action in context.after_statement:
            action()
        return result

    def _run_sql(self, context, statement, parameters):
        self._context, self._failure = context, None
        try:
            if statement.kind is StatementKind.WRITE:
                return self._write(context.session, statement, parameters)
            return self._read(context.session, statement, parameters)
        except sqlite3.Error as error:
            failure = self._failure or transactions.translate_error(error)
            raise failure from error
        except OverflowError as error:
            raise SqlError(SqlState.INVALID_VALUE, str(error)) from error

    def _read(self, session, statement, parameters):
        names, rows = self.server.database.read(
            statement.sql, parameters, session.transaction.has_write_lock
        )
        return _SqliteResult(command_tag(statement, len(rows)), names, rows)

    def _write(self, session, statement, parameters):
        logged, names, rows, count = self.server.database.write(
            statement.sql, parameters
        )
        if count or statement.verb not in _ROW_COUNT_VERBS:
            session.transaction.statements.append(logged)
        return _SqliteResult(command_tag(statement, count), names, rows)
