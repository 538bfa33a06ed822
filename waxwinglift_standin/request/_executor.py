"""Runs statements: slots, the writer's turn, SQLite and the log."""

import asyncio
import itertools
import json
import random
import re
import sqlite3

from waxwinglift_standin.connection import Answer
from waxwinglift_standin.connection import Column
from waxwinglift_standin.connection import Description
from waxwinglift_standin.connection import PgType
from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState
from waxwinglift_standin.request import _transactions as transactions
from waxwinglift_standin.request._inference import Inference
from waxwinglift_standin.request._inference import type_of_name
from waxwinglift_standin.request._lexer import split_commas
from waxwinglift_standin.request._lexer import tokenize
from waxwinglift_standin.request._registries import SQL_COMMANDS
from waxwinglift_standin.request._registries import SQL_FUNCTIONS
from waxwinglift_standin.request._registries import StatementContext
from waxwinglift_standin.request._registries import SYSTEM_VIEWS
from waxwinglift_standin.request._statement import command_tag
from waxwinglift_standin.request._statement import parse_statements
from waxwinglift_standin.request._statement import StatementKind

_ENDS = {"COMMIT", "END", "ROLLBACK", "ABORT", "ROLLBACK TO"}
_COUNTED = {"INSERT", "UPDATE", "DELETE"}
_IDENTIFIER = re.compile(r"^[^\W\d]\w*$")
_CALL = re.compile(r"^([^\W\d]\w*) ?\(")
_DUPLICATE = re.compile(r":\d+$")
_VALUE_TYPES = {
    int: PgType.INT8,
    float: PgType.FLOAT8,
    bytes: PgType.BYTEA,
}
_DESCRIPTIONS_COUNT = 5000


class Executor:
    """Runs the statements of a server's sessions.

    `server` is set once the server's state exists, because the state needs
    databases and these need `install`.
    """

    def __init__(self):
        self.server = None
        self._context = StatementContext(None)
        self._failure = None
        self._descriptions = {}
        self._tables = {}

    def parse(self, text):
        """Return the statements of a query string."""
        return parse_statements(text)

    def install(self, connection):
        """Add the registered functions and views to a SQLite connection."""
        for function in SQL_FUNCTIONS.values():
            wrapped = self._wrap(function.run)
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

    def set_statement(self, now_us, rng):
        """Set the time and the random generator of the next statement."""
        self._context.now_us = now_us
        self._context.rng = rng

    def _wrap(self, run):
        def call(*arguments):
            try:
                return run(self._context, *arguments)
            except SqlError as error:
                self._failure = error
                raise
            except (ValueError, TypeError) as error:
                self._failure = SqlError(SqlState.INVALID_TEXT, str(error))
                raise

        return call

    def _view_rows(self, name):
        return json.dumps(SYSTEM_VIEWS[name].rows(self.server))

    async def run(self, session, statement, parameters):
        """Run a statement and return its Answer.

        Raises
        ------
        SqlError
            If the statement fails; the caller then calls `fail`.
        """
        is_end = statement.verb in _ENDS
        if session.has_failed and not is_end:
            message = (
                "current transaction is aborted, commands ignored until "
                "end of transaction block"
            )
            raise SqlError(SqlState.FAILED_TRANSACTION, message)
        if statement.kind is StatementKind.COMMAND:
            context = StatementContext(self.server, session)
            return SQL_COMMANDS[statement.verb](context, statement.tokens)
        transactions.begin(session, is_explicit=False)
        if statement.kind is not StatementKind.READ:
            self._check_writable(session, statement)
            await transactions.take_writer(self.server, session)
        return await self._run_in_slot(session, statement, parameters)

    def commit_implicit(self, session):
        """Commit a transaction that no BEGIN started."""
        if session.transaction and not session.transaction.is_explicit:
            transactions.commit(self.server, session)

    def begin_implicit(self, session):
        """Start a transaction for several statements of one message."""
        transactions.begin(session, is_explicit=False)

    def fail(self, session):
        """Note that a statement failed."""
        transactions.fail(self.server, session)

    def rollback(self, session):
        """Undo whatever the session has open."""
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
            await server.runs.wait()
            context = StatementContext(server, session)
            answer = self._run_sql(context, statement, parameters)
            if context.sleep_s:
                await asyncio.sleep(context.sleep_s)
        finally:
            server.slots.release()
        for action in context.after_statement:
            action()
        return answer

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
        transaction = session.transaction
        self.set_statement(transaction.started_us, random)
        names, rows = self.server.database.read(
            statement.sql, parameters, transaction.holds_writer
        )
        columns = self._fill(session, statement, names, rows)
        return Answer(command_tag(statement, len(rows)), columns, rows)

    def _write(self, session, statement, parameters):
        transaction = session.transaction
        names, rows, count = self.server.database.write(
            statement.sql,
            parameters,
            transaction.started_us,
            len(transaction.statements),
        )
        if count or statement.verb not in _COUNTED:
            transaction.statements.append((statement.sql, parameters))
        tag = command_tag(statement, count)
        if names is None:
            return Answer(tag)
        columns = self._fill(session, statement, names, rows)
        return Answer(tag, columns, rows)

    def _fill(self, session, statement, names, rows):
        known = self.describe(session, statement, ()).columns
        if known is None or len(known) != len(names):
            known = tuple(Column(name, None) for name in names)
        return tuple(
            column if column.type else _typed(column, rows, index)
            for index, column in enumerate(known)
        )

    def describe(self, session, statement, given):
        """Return the Description of a statement, with unknown types None.

        Parameters
        ----------
        given : tuple of int
            Oids of parameters that the caller stated, 0 where unset.

        Raises
        ------
        SqlError
            If the statement names something that does not exist.
        """
        if statement.kind is StatementKind.COMMAND:
            return _describe_command(statement)
        is_working = _is_working(session)
        version = self.server.database.schema_version
        key = (statement, given, version)
        if not is_working and key in self._descriptions:
            return self._descriptions[key]
        description = self._describe(statement, given, is_working)
        if not is_working:
            if len(self._descriptions) >= _DESCRIPTIONS_COUNT:
                self._descriptions.clear()
            self._descriptions[key] = description
        return description

    def _describe(self, statement, given, is_working):
        def columns_of(table):
            return self._columns_of(table, is_working)

        inference = Inference(statement, columns_of)
        count = max(statement.parameters_count(), len(given))
        parameters = inference.parameters(count, given)
        if not statement.returns_rows:
            return Description(parameters, None)
        if statement.kind is StatementKind.WRITE:
            names = inference.returning_names()
        else:
            names = self._column_names(statement, count, is_working)
        types = inference.columns(names)
        columns = tuple(itertools.starmap(Column, zip(names, types)))
        return Description(parameters, columns)

    def _column_names(self, statement, count, is_working):
        # LIMIT 0 keeps the functions of the statement from being called.
        sql = f"SELECT * FROM ({statement.sql}) LIMIT 0"
        try:
            names, _ = self.server.database.read(
                sql, (None,) * count, is_working
            )
        except sqlite3.Error as error:
            raise transactions.translate_error(error) from error
        return [_pg_name(name) for name in names]

    def _columns_of(self, table, is_working):
        if table in SYSTEM_VIEWS:
            return SYSTEM_VIEWS[table].columns
        key = (table, self.server.database.schema_version)
        if not is_working and key in self._tables:
            return self._tables[key]
        _, rows = self.server.database.read(
            "SELECT name, type FROM pragma_table_info(?)", (table,), is_working
        )
        columns = {
            name.lower(): type_of_name(tokenize(text)) for name, text in rows
        }
        if not is_working:
            self._tables[key] = columns
        return columns


def _describe_command(statement):
    if statement.verb != "SHOW":
        return Description((), None)
    name = "".join(token.name for token in statement.tokens[1:])
    return Description((), (Column(name, PgType.TEXT),))


def _is_working(session):
    return session.transaction is not None and session.transaction.holds_writer


def _pg_name(name):
    name = _DUPLICATE.sub("", name)
    if _IDENTIFIER.match(name):
        return name
    call = _CALL.match(name)
    if call and len(split_commas(tokenize(name))) == 1:
        return call.group(1).lower()
    return "?column?"


def _typed(column, rows, index):
    value = next((r[index] for r in rows if r[index] is not None), None)
    return Column(column.name, _VALUE_TYPES.get(type(value), PgType.TEXT))
