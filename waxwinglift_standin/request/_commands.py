"""SQL commands that the server executes itself instead of SQLite."""

from waxwinglift_standin.connection import Column
from waxwinglift_standin.connection import PgType
from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState
from waxwinglift_standin.connection import StatementResult
from waxwinglift_standin.connection import values
from waxwinglift_standin.request import _transactions as transactions
from waxwinglift_standin.request._lexer import TokenKind
from waxwinglift_standin.request._registries import sql_command

_SETTABLE_PARAMETERS = {
    "application_name",
    "bytea_output",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "default_transaction_deferrable",
    "default_transaction_isolation",
    "default_transaction_read_only",
    "extra_float_digits",
    "idle_in_transaction_session_timeout",
    "intervalstyle",
    "jit",
    "lock_timeout",
    "search_path",
    "statement_timeout",
    "synchronous_commit",
    "timezone",
}


def _upper_words(tokens):
    return [token.upper for token in tokens]


def _value_text(token):
    if token.kind is TokenKind.STRING:
        return token.text[1:-1].replace("''", "'")
    return token.name


def _last_name(tokens):
    return tokens[-1].name


@sql_command("BEGIN", "START TRANSACTION")
def begin(context, tokens):
    """Start a transaction block."""
    session = context.session
    is_read_only = _is_read_only(_upper_words(tokens))
    default = session.parameters.get("default_transaction_read_only")
    is_read_only |= default == "on" and "WRITE" not in _upper_words(tokens)
    _refuse_serializable_on_replica(context, _upper_words(tokens))
    transactions.begin(session, True, is_read_only)
    return StatementResult("BEGIN")


def _refuse_serializable_on_replica(context, words):
    level = " ".join(words)
    if "LEVEL" not in words:
        name = "default_transaction_isolation"
        level = context.session.parameters.get(name, "").upper()
    if context.server.in_recovery and "SERIALIZABLE" in level:
        message = "cannot use serializable mode in a hot standby"
        raise SqlError(SqlState.NOT_SUPPORTED, message)


def _is_read_only(words):
    return "ONLY" in words and words[words.index("ONLY") - 1] == "READ"


@sql_command("COMMIT", "END")
def commit(context, _):
    """Commit the transaction block."""
    return StatementResult(
        transactions.commit(context.server, context.session)
    )


@sql_command("ROLLBACK", "ABORT")
def rollback(context, tokens):
    """Roll back the transaction block."""
    if "TO" in _upper_words(tokens):
        return rollback_to(context, tokens)
    transactions.rollback(context.server, context.session)
    return StatementResult("ROLLBACK")


@sql_command("ROLLBACK TO")
def rollback_to(context, tokens):
    """Roll back to a savepoint."""
    name = _last_name(tokens)
    transactions.rollback_to_savepoint(context.server, context.session, name)
    return StatementResult("ROLLBACK")


@sql_command("SAVEPOINT")
def savepoint(context, tokens):
    """Set a savepoint."""
    name = _last_name(tokens)
    transactions.set_savepoint(context.server, context.session, name)
    return StatementResult("SAVEPOINT")


@sql_command("RELEASE")
def release(context, tokens):
    """Release a savepoint."""
    name = _last_name(tokens)
    transactions.release_savepoint(context.server, context.session, name)
    return StatementResult("RELEASE")


@sql_command("SET")
def set_parameter(context, tokens):
    """Set a session parameter."""
    rest = tokens[1:]
    is_local = _upper_words(rest)[:1] == ["LOCAL"]
    if is_local or _upper_words(rest)[:1] == ["SESSION"]:
        rest = rest[1:]
    words = _upper_words(rest)
    if words[:1] in (["TRANSACTION"], ["CHARACTERISTICS"]):
        _set_characteristics(context.session, words)
        return StatementResult("SET")
    if words[:2] == ["TIME", "ZONE"]:
        _set_value(context.session, "timezone", rest[2:], is_local)
        return StatementResult("SET")
    index = next((i for i, w in enumerate(words) if w in ("=", "TO")), None)
    if index is None:
        raise SqlError(SqlState.SYNTAX, "syntax error in SET")
    name = "".join(token.name for token in rest[:index])
    _set_value(context.session, name, rest[index + 1 :], is_local)
    return StatementResult("SET")


def _set_characteristics(session, words):
    is_read_only = _is_read_only(words)
    if words[0] == "CHARACTERISTICS":
        value = "on" if is_read_only else "off"
        session.parameters["default_transaction_read_only"] = value
    elif session.transaction is not None:
        session.transaction.is_read_only |= is_read_only


def _set_value(session, name, tokens, is_local):
    if name not in _SETTABLE_PARAMETERS and "." not in name:
        message = f'unrecognized configuration parameter "{name}"'
        raise SqlError(SqlState.UNKNOWN_PARAMETER, message)
    value = "".join(_value_text(token) for token in tokens)
    if value.lower() == "default" and tokens[0].kind is TokenKind.WORD:
        value = session.start_parameters.get(name, "")
    _check_timeout(name, value)
    _save_previous_value(session, name, is_local)
    session.parameters[name] = value
    session.changed_parameters.append(name)


def _check_timeout(name, value):
    if not name.endswith("_timeout"):
        return
    try:
        values.parse_duration_ms(value)
    except ValueError as error:
        message = f'invalid value for parameter "{name}": "{value}"'
        raise SqlError(SqlState.INVALID_VALUE, message) from error


def _save_previous_value(session, name, is_local):
    """Save the current value, to be restored when the transaction ends."""
    transaction = session.transaction
    if transaction is None:
        return
    saved_values = (
        transaction.values_before_set_local
        if is_local
        else transaction.values_before_set
    )
    saved_values.setdefault(name, session.parameters.get(name))


@sql_command("RESET")
def reset(context, tokens):
    """Reset one or all session parameters."""
    session = context.session
    name = "".join(token.name for token in tokens[1:])
    names = list(session.parameters) if name == "all" else [name]
    for known in names:
        if known in session.start_parameters:
            session.parameters[known] = session.start_parameters[known]
            session.changed_parameters.append(known)
        else:
            session.parameters.pop(known, None)
    return StatementResult("RESET")


@sql_command("SHOW")
def show(context, tokens):
    """Show a session parameter."""
    name = "".join(token.name for token in tokens[1:])
    name = {"transactionisolationlevel": "transaction_isolation"}.get(
        name, name
    )
    known = context.session.parameters | _computed_parameters(context)
    if name not in known:
        message = f'unrecognized configuration parameter "{name}"'
        raise SqlError(SqlState.UNKNOWN_PARAMETER, message)
    columns = (Column(name, PgType.TEXT),)
    return StatementResult("SHOW", columns, [(known[name],)])


def _computed_parameters(context):
    server, transaction = context.server, context.session.transaction
    is_read_only = transaction is not None and transaction.is_read_only
    return {
        "transaction_read_only": _on_or_off(
            server.in_recovery or is_read_only
        ),
        "in_hot_standby": _on_or_off(server.in_recovery),
        "transaction_isolation": "read committed",
        "primary_conninfo": server.primary_conninfo,
        "max_connections": str(server.settings.connection_limit_count),
    }


def _on_or_off(value):
    return "on" if value else "off"


@sql_command("ALTER SYSTEM")
def alter_system(context, tokens):
    """Change a server setting, which pg_reload_conf() then applies."""
    if context.session.transaction is not None:
        message = "ALTER SYSTEM cannot run inside a transaction block"
        raise SqlError(SqlState.ACTIVE_TRANSACTION, message)
    name = tokens[3].name if len(tokens) > 3 else ""
    if name != "primary_conninfo":
        message = f'unrecognized configuration parameter "{name}"'
        raise SqlError(SqlState.UNKNOWN_PARAMETER, message)
    is_reset = tokens[2].upper == "RESET"
    value = "" if is_reset else _value_text(tokens[-1])
    context.server.pending_conninfo = value
    return StatementResult("ALTER SYSTEM")


@sql_command("DEALLOCATE")
def deallocate(context, tokens):
    """Drop one or all prepared statements."""
    name = _last_name(tokens)
    if name == "all":
        context.session.prepared.clear()
        return StatementResult("DEALLOCATE ALL")
    context.session.prepared.pop(name, None)
    return StatementResult("DEALLOCATE")


@sql_command("DISCARD")
def discard(context, tokens):
    """Reset the session to its initial state."""
    context.session.prepared.clear()
    reset(context, [*tokens[:1], tokens[-1]])
    return StatementResult("DISCARD ALL")


@sql_command("CLOSE")
def close_all(context, _):
    """Close all portals."""
    context.session.portals.clear()
    return StatementResult("CLOSE CURSOR ALL")


@sql_command("UNLISTEN")
def unlisten(_, __):
    """Do nothing, because notifications are not supported."""
    return StatementResult("UNLISTEN")
