"""Describes the parameters and result columns of statements."""

import re
import sqlite3

from waxwinglift_standin.connection import Column
from waxwinglift_standin.connection import Description
from waxwinglift_standin.connection import PgType
from waxwinglift_standin.request import _transactions as transactions
from waxwinglift_standin.request._inference import Inference
from waxwinglift_standin.request._inference import type_of_name
from waxwinglift_standin.request._lexer import split_commas
from waxwinglift_standin.request._lexer import tokenize
from waxwinglift_standin.request._registries import SYSTEM_VIEWS
from waxwinglift_standin.request._statement import StatementKind

_IDENTIFIER = re.compile(r"^[^\W\d]\w*$")
_CALL = re.compile(r"^([^\W\d]\w*) ?\(")
# SQLite appends :1 and so on to repeated column names.
_DUPLICATE_SUFFIX = re.compile(r":\d+$")
_VALUE_TYPES = {
    int: PgType.INT8,
    float: PgType.FLOAT8,
    bytes: PgType.BYTEA,
}
# Size limit of the cache.  Without it, callers that write literal values into
# their SQL would fill the memory.
_CACHE_LIMIT_COUNT = 5000


class Describer:
    """Describes statements; caches descriptions until the schema changes.

    Parameters
    ----------
    database : Database
        Contains the tables that the statements refer to.
    """

    def __init__(self, database):
        self._database = database
        self._descriptions = {}
        self._tables = {}

    def columns(self, session, statement, names, rows):
        """Return the columns of a result that has no Description yet.

        Unknown types are derived from the first value of the column.
        """
        known = self.describe(session, statement, (), names).columns
        if known is None or len(known) != len(names):
            known = tuple(
                Column(_pg_column_name(name), None) for name in names
            )
        return tuple(
            column if column.type else _with_type_of_value(column, rows, index)
            for index, column in enumerate(known)
        )

    def describe(self, session, statement, parameter_oids, names=None):
        """Return the Description of a statement; unknown types are None.

        Parameters
        ----------
        parameter_oids : tuple of int
            Parameter type oids from the caller, 0 where unspecified.
        names : list of str or None
            SQLite's names of the result columns, None if the statement has
            not run.

        Raises
        ------
        SqlError
            If the statement refers to something that does not exist.
        """
        if statement.kind is StatementKind.COMMAND:
            return _describe_command(statement)
        if _uses_working_copy(session):
            return self._describe(statement, parameter_oids, names, True)
        key = (statement, parameter_oids, self._database.schema_version)
        if key not in self._descriptions:
            if len(self._descriptions) >= _CACHE_LIMIT_COUNT:
                self._descriptions.clear()
            self._descriptions[key] = self._describe(
                statement, parameter_oids, names, False
            )
        return self._descriptions[key]

    def _describe(self, statement, parameter_oids, names, uses_working_copy):
        def columns_of(table):
            return self._columns_of(table, uses_working_copy)

        inference = Inference(statement, columns_of)
        count = max(statement.parameters_count(), len(parameter_oids))
        parameters = inference.parameters(count, parameter_oids)
        if not statement.returns_rows:
            return Description(parameters, None)
        if statement.kind is StatementKind.WRITE:
            names = inference.returning_names()
        elif names is None:
            names = self._column_names(statement, count, uses_working_copy)
        names = [_pg_column_name(name) for name in names]
        types = inference.columns(names)
        return Description(parameters, tuple(map(Column, names, types)))

    def _column_names(self, statement, count, uses_working_copy):
        # With LIMIT 0, SQLite does not call the statement's functions.
        sql = f"SELECT * FROM ({statement.sql}) LIMIT 0"
        try:
            names, _ = self._database.read(
                sql, (None,) * count, uses_working_copy
            )
        except sqlite3.Error as error:
            raise transactions.translate_error(error) from error
        return names

    def _columns_of(self, table, uses_working_copy):
        if table in SYSTEM_VIEWS:
            return SYSTEM_VIEWS[table].columns
        key = (table, self._database.schema_version)
        if not uses_working_copy and key in self._tables:
            return self._tables[key]
        _, rows = self._database.read(
            "SELECT name, type FROM pragma_table_info(?)",
            (table,),
            uses_working_copy,
        )
        columns = {
            name.lower(): type_of_name(tokenize(text)) for name, text in rows
        }
        if not uses_working_copy:
            self._tables[key] = columns
        return columns


def _describe_command(statement):
    if statement.verb != "SHOW":
        return Description((), None)
    name = "".join(token.name for token in statement.tokens[1:])
    return Description((), (Column(name, PgType.TEXT),))


def _uses_working_copy(session):
    return (
        session.transaction is not None and session.transaction.has_write_lock
    )


def _pg_column_name(name):
    name = _DUPLICATE_SUFFIX.sub("", name)
    if _IDENTIFIER.match(name):
        return name
    call = _CALL.match(name)
    if call and len(split_commas(tokenize(name))) == 1:
        return call.group(1).lower()
    return "?column?"


def _with_type_of_value(column, rows, index):
    value = next((r[index] for r in rows if r[index] is not None), None)
    return Column(column.name, _VALUE_TYPES.get(type(value), PgType.TEXT))
