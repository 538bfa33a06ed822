"""Functions and views of PostgreSQL that SQLite does not have."""

import datetime
import random
import time
import uuid

from waxwinglift.connection import TransactionStatus
from waxwinglift_standin.connection import PgType
from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.connection import SqlState
from waxwinglift_standin.connection import values
from waxwinglift_standin.request._registries import prepare_fault
from waxwinglift_standin.request._registries import sql_function
from waxwinglift_standin.request._registries import system_view
from waxwinglift_standin.version import format_lsn
from waxwinglift_standin.version import parse_lsn

SERVER_VERSION = "15.0"
WAL_SEGMENT_BYTES = 1 << 24
# Values of pg_stat_activity.state by (is a statement running, status).
_ACTIVITY_STATES = {
    (True, status): "active" for status in TransactionStatus
} | {
    (False, TransactionStatus.IDLE): "idle",
    (False, TransactionStatus.IN_TRANSACTION): "idle in transaction",
    (False, TransactionStatus.FAILED): "idle in transaction (aborted)",
}


def _format_us(moment_us):
    moment = datetime.datetime.fromtimestamp(0, datetime.timezone.utc)
    moment += datetime.timedelta(microseconds=moment_us)
    return values.format_timestamp(moment)


@sql_function("pg_current_wal_lsn", PgType.PG_LSN)
def pg_current_wal_lsn(context):
    """Return the end of the primary's log."""
    if context.server.in_recovery:
        raise SqlError(SqlState.WRONG_STATE, "recovery is in progress")
    return format_lsn(context.server.log.end_lsn)


@sql_function("pg_last_wal_receive_lsn", PgType.PG_LSN)
def pg_last_wal_receive_lsn(context):
    """Return the end of the log that a replica has received and synced."""
    if not context.server.in_recovery:
        return None
    return format_lsn(context.server.log.end_lsn)


@sql_function("pg_walfile_name", PgType.TEXT)
def pg_walfile_name(context, lsn):
    """Return the name of the WAL file that contains or ends at `lsn`."""
    if context.server.in_recovery:
        raise SqlError(SqlState.WRONG_STATE, "recovery is in progress")
    segment = (parse_lsn(lsn) - 1) // WAL_SEGMENT_BYTES
    high, low = divmod(segment, 2**32 // WAL_SEGMENT_BYTES)
    return f"{context.server.log.term:08X}{high:08X}{low:08X}"


@sql_function("pg_last_wal_replay_lsn", PgType.PG_LSN)
def pg_last_wal_replay_lsn(context):
    """Return the position up to which a replica has replayed the log."""
    if not context.server.in_recovery:
        return None
    return format_lsn(context.server.replay_lsn)


@sql_function("pg_last_xact_replay_timestamp", PgType.TIMESTAMPTZ)
def pg_last_xact_replay_timestamp(context):
    """Return the commit time of the last replayed transaction."""
    replayed_us = context.server.replayed_commit_us
    return None if replayed_us is None else _format_us(replayed_us)


@sql_function("pg_is_in_recovery", PgType.BOOL)
def pg_is_in_recovery(context):
    """Return whether the server is a replica."""
    return int(context.server.in_recovery)


@sql_function("pg_promote", PgType.BOOL)
def pg_promote(context, *_):
    """Promote the replica before the statement's result is sent."""
    if not context.server.in_recovery:
        raise SqlError(SqlState.WRONG_STATE, "recovery is not in progress")
    context.after_statement.append(context.server.promote)
    return 1


@sql_function("pg_reload_conf", PgType.BOOL)
def pg_reload_conf(context):
    """Apply the settings changed by ALTER SYSTEM."""
    context.after_statement.append(context.server.reload)
    return 1


@sql_function("pg_wal_lsn_diff", PgType.NUMERIC, is_pure=True)
def pg_wal_lsn_diff(_, first, second):
    """Return the difference of two positions in bytes."""
    if first is None or second is None:
        return None
    return parse_lsn(first) - parse_lsn(second)


@sql_function("pg_sleep", PgType.VOID)
def pg_sleep(context, seconds):
    """Occupy the statement's slot for `seconds` before the result is sent."""
    context.sleep_s += float(seconds)
    return ""


@sql_function("standin_fault", PgType.TEXT)
def standin_fault(context, name, value):
    """Set a fault after the statement's result has been sent.

    An invalid value makes the statement fail.
    """
    set_fault = prepare_fault(context.server, name, str(value))
    context.session.after_response.append(set_fault)
    return f"{name} {value}"


@sql_function("now", PgType.TIMESTAMPTZ)
@sql_function("transaction_timestamp", PgType.TIMESTAMPTZ)
def now(context):
    """Return the start time of the transaction."""
    return _format_us(context.session.transaction.started_us)


@sql_function("clock_timestamp", PgType.TIMESTAMPTZ)
def clock_timestamp(_):
    """Return the current time."""
    return _format_us(time.time_ns() // 1000)


@sql_function("random", PgType.FLOAT8)
def random_number(_):
    """Return a random number from 0 to 1."""
    return random.random()


@sql_function("gen_random_uuid", PgType.UUID)
def gen_random_uuid(_):
    """Return a random UUID."""
    return str(uuid.uuid4())


@sql_function("version")
def version(_):
    """Return the version text."""
    return f"PostgreSQL {SERVER_VERSION} (waxwinglift stand-in)"


@sql_function("current_database")
def current_database(context):
    """Return the database name from the session's start-up message."""
    return context.session.start_parameters.get("database", "standin")


@sql_function("standin_user")
def current_user(context):
    """Return the user name from the session's start-up message."""
    return context.session.user


@sql_function("current_setting")
def current_setting(context, name, *_):
    """Return the value of a session parameter."""
    return context.session.parameters.get(name.lower(), "")


@sql_function("pg_backend_pid", PgType.INT4)
def pg_backend_pid(context):
    """Return the session's id."""
    return context.session.id


@sql_function("pg_terminate_backend", PgType.BOOL)
def pg_terminate_backend(context, pid, *_):
    """Terminate a session after the statement's result has been sent."""
    session = context.server.sessions.get(pid)
    if session is None:
        return 0
    context.session.after_response.append(session.disconnect)
    return 1


@sql_function("pg_advisory_unlock_all", PgType.VOID)
def pg_advisory_unlock_all(_):
    """Do nothing; asyncpg calls this when it resets a connection."""
    return ""


@sql_function("standin_bool", PgType.BOOL, is_pure=True)
def standin_bool(_, value):
    """Return 1 or 0 for the operand of a cast to boolean."""
    if isinstance(value, str):
        return values.parse_bool(value)
    return None if value is None else int(value != 0)


@sql_function("standin_timestamptz", PgType.TIMESTAMPTZ, is_pure=True)
def standin_timestamptz(_, value):
    """Return a timestamp as text that sorts in order of time."""
    if value is None:
        return None
    return values.format_timestamp(values.parse_timestamp(value))


@sql_function("standin_lsn", PgType.PG_LSN, is_pure=True)
def standin_lsn(_, value):
    """Return a position as padded text, which sorts in order of position."""
    return None if value is None else format_lsn(parse_lsn(value))


@sql_function("standin_epoch", PgType.FLOAT8, is_pure=True)
def standin_epoch(_, value):
    """Return a timestamp in seconds since 1970."""
    if value is None:
        return None
    return values.parse_timestamp(value).timestamp()


@system_view(
    "pg_stat_replication",
    pid=PgType.INT4,
    application_name=PgType.TEXT,
    state=PgType.TEXT,
    sent_lsn=PgType.PG_LSN,
    write_lsn=PgType.PG_LSN,
    flush_lsn=PgType.PG_LSN,
    replay_lsn=PgType.PG_LSN,
    sync_state=PgType.TEXT,
)
def pg_stat_replication(server):
    """Return a row for each streaming replica."""
    return [
        {
            "pid": pid,
            "application_name": replica.name,
            "state": "streaming",
            "sent_lsn": format_lsn(replica.sent_lsn),
            "write_lsn": format_lsn(replica.flush_lsn),
            "flush_lsn": format_lsn(replica.flush_lsn),
            "replay_lsn": format_lsn(replica.replay_lsn),
            "sync_state": "async",
        }
        for pid, replica in server.replicas.items()
    ]


@system_view(
    "pg_stat_activity",
    pid=PgType.INT4,
    datname=PgType.TEXT,
    usename=PgType.TEXT,
    application_name=PgType.TEXT,
    backend_start=PgType.TIMESTAMPTZ,
    state=PgType.TEXT,
    backend_type=PgType.TEXT,
)
def pg_stat_activity(server):
    """Return a row for each session."""
    return [
        {
            "pid": session_id,
            "datname": session.data.start_parameters.get("database", ""),
            "usename": session.data.user,
            "application_name": session.application_name,
            "backend_start": _format_us(session.data.started_us),
            "state": _ACTIVITY_STATES[session.is_running, session.data.status],
            "backend_type": "client backend",
        }
        for session_id, session in server.sessions.items()
    ]


@system_view(
    "pg_stat_wal_receiver",
    status=PgType.TEXT,
    flushed_lsn=PgType.PG_LSN,
    received_tli=PgType.INT4,
    sender_host=PgType.TEXT,
    sender_port=PgType.INT4,
)
def pg_stat_wal_receiver(server):
    """Return one row while the receiver is streaming."""
    if server.receiver is None:
        return []
    return [
        {
            "status": "streaming",
            "flushed_lsn": format_lsn(server.log.end_lsn),
            "received_tli": server.log.term,
            "sender_host": server.receiver.host,
            "sender_port": server.receiver.port,
        }
    ]


@system_view(
    "pg_control_checkpoint",
    checkpoint_lsn=PgType.PG_LSN,
    redo_lsn=PgType.PG_LSN,
    timeline_id=PgType.INT4,
)
def pg_control_checkpoint(server):
    """Return one row with the replay position and the term of the log."""
    lsn = format_lsn(server.replay_lsn)
    return [
        {
            "checkpoint_lsn": lsn,
            "redo_lsn": lsn,
            "timeline_id": server.log.term,
        }
    ]
