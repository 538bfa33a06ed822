"""Handlers of the messages of the simple and extended query protocols."""

from pygwire import messages as pg
from waxwinglift_standin.connection import _values as values
from waxwinglift_standin.connection._session import on_message
from waxwinglift_standin.connection._types import Description
from waxwinglift_standin.connection._types import PgType
from waxwinglift_standin.connection._types import Portal
from waxwinglift_standin.connection._types import PreparedStatement
from waxwinglift_standin.connection._types import SqlError
from waxwinglift_standin.connection._types import SqlState
from waxwinglift_standin.connection._types import TYPE_SIZES_BYTES


def skip_to_sync_on_error(handler):
    """Wrap a handler so that messages after an error are skipped to Sync."""

    async def wrapper(session, message):
        try:
            await handler(session, message)
        except SqlError as error:
            session.buffer_error(error)
            session.skips_to_sync = True

    return wrapper


def format_at(formats, index):
    """Return the format code of a value: 0 for text, 1 for binary."""
    if not formats:
        return 0
    return formats[0] if len(formats) == 1 else formats[index]


def row_description(columns, formats):
    """Return the RowDescription of `columns`."""
    fields = [
        pg.FieldDescription(
            name=column.name,
            type_oid=column.type.value,
            type_size=TYPE_SIZES_BYTES.get(column.type, -1),
            type_modifier=-1,
            format_code=format_at(formats, index),
        )
        for index, column in enumerate(columns)
    ]
    return pg.RowDescription(fields)


def buffer_rows(session, result, rows, formats):
    """Append the DataRow messages of `rows` to the output."""
    encodings = [
        (column.type, format_at(formats, index) == 1)
        for index, column in enumerate(result.columns)
    ]
    for row in rows:
        cells = [
            values.encode_value(value, pg_type, is_binary)
            for value, (pg_type, is_binary) in zip(row, encodings, strict=True)
        ]
        session.buffer(pg.DataRow(cells))


@on_message(pg.Query)
async def handle_query(session, message):
    """Run the statements of a simple query."""
    try:
        statements = session.executor.parse(message.query_string)
        if not statements:
            session.buffer(pg.EmptyQueryResponse())
        for statement in statements:
            if len(statements) > 1:
                session.executor.begin_implicit(session.data)
            result = await session.run(statement, ())
            if result.columns is not None:
                session.buffer(row_description(result.columns, ()))
                buffer_rows(session, result, result.rows, ())
            if statement is statements[-1]:
                session.executor.commit_implicit(session.data)
            session.buffer(pg.CommandComplete(result.tag))
    except SqlError as error:
        session.buffer_error(error)
    session.buffer_ready()
    await session.flush()


@on_message(pg.Parse)
@skip_to_sync_on_error
async def handle_parse(session, message):
    """Prepare a statement."""
    if message.statement and message.statement in session.data.prepared:
        text = f'prepared statement "{message.statement}" already exists'
        raise SqlError(SqlState.DUPLICATE_STATEMENT, text)
    statements = session.executor.parse(message.query)
    if len(statements) > 1:
        text = "cannot insert multiple commands into a prepared statement"
        raise SqlError(SqlState.SYNTAX, text)
    if statements:
        parameter_oids = tuple(message.param_types)
        prepared = PreparedStatement(
            statements[0],
            session.executor.describe(
                session.data, statements[0], parameter_oids
            ),
        )
    else:
        prepared = PreparedStatement(None, Description((), None))
    session.data.prepared[message.statement] = prepared
    session.buffer(pg.ParseComplete())


@on_message(pg.Bind)
@skip_to_sync_on_error
async def handle_bind(session, message):
    """Create a portal with decoded parameters."""
    prepared = session.prepared(message.statement)
    types = prepared.description.parameters
    if len(message.param_values) != len(types):
        text = (
            f"bind message supplies {len(message.param_values)} parameters, "
            f"but the statement requires {len(types)}"
        )
        raise SqlError(SqlState.PROTOCOL_VIOLATION, text)
    parameters = tuple(
        values.decode_value(
            data, types[i], format_at(message.param_formats, i) == 1
        )
        for i, data in enumerate(message.param_values)
    )
    portal = Portal(prepared, parameters, message.result_formats)
    session.data.portals[message.portal] = portal
    session.buffer(pg.BindComplete())


@on_message(pg.Describe)
@skip_to_sync_on_error
async def handle_describe(session, message):
    """Describe a prepared statement or a portal."""
    formats = ()
    if message.kind == "S":
        description = session.prepared(message.name).description
        oids = [pg_type.value for pg_type in description.parameters]
        session.buffer(pg.ParameterDescription(oids))
    else:
        portal = session.portal(message.name)
        description = portal.prepared.description
        formats = portal.result_formats
    columns = with_known_types(description.columns)
    if columns is None:
        session.buffer(pg.NoData())
    else:
        session.buffer(row_description(columns, formats))


def with_known_types(columns):
    """Return `columns` with TEXT in place of unknown types."""
    if columns is None:
        return None
    return tuple(
        column if column.type else type(column)(column.name, PgType.TEXT)
        for column in columns
    )


@on_message(pg.Execute)
@skip_to_sync_on_error
async def handle_execute(session, message):
    """Run a portal, or send its next rows."""
    portal = session.portal(message.portal)
    prepared = portal.prepared
    if prepared.statement is None:
        session.buffer(pg.EmptyQueryResponse())
        return
    if portal.result is None:
        columns = with_known_types(prepared.description.columns)
        portal.result = await session.run(
            prepared.statement, portal.parameters, columns
        )
    buffer_next_rows(session, portal, message.max_rows)


def buffer_next_rows(session, portal, max_rows):
    """Append the next rows of a portal to the output."""
    result = portal.result
    if result.columns is None:
        session.buffer(pg.CommandComplete(result.tag))
        return
    end = len(result.rows)
    if max_rows:
        end = min(end, portal.sent_count + max_rows)
    rows = result.rows[portal.sent_count : end]
    buffer_rows(session, result, rows, portal.result_formats)
    portal.sent_count = end
    if max_rows and end < len(result.rows):
        session.buffer(pg.PortalSuspended())
    else:
        session.buffer(pg.CommandComplete(result.tag))


@on_message(pg.Close)
@skip_to_sync_on_error
async def handle_close(session, message):
    """Close a prepared statement or a portal."""
    is_statement = message.kind == "S"
    objects = session.data.prepared if is_statement else session.data.portals
    objects.pop(message.name, None)
    session.buffer(pg.CloseComplete())


@on_message(pg.Flush)
async def handle_flush(session, _):
    """Send the buffered output."""
    await session.flush()


@on_message(pg.Sync)
async def handle_sync(session, _):
    """End an extended query and commit its implicit transaction."""
    session.skips_to_sync = False
    try:
        session.executor.commit_implicit(session.data)
    except SqlError as error:
        session.buffer_error(error)
    if session.data.transaction is None:
        session.data.portals.clear()
    session.buffer_ready()
    await session.flush()
