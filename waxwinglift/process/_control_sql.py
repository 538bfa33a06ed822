"""SQL actions of a change of primary, on one endpoint at a time.

The statements are the same for PostgreSQL and the stand-in server.  Handlers
are registered by the type of action that they execute; each is idempotent.
"""

import asyncio
import contextlib

from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._endpoint_errors import EndpointRefused
from waxwinglift.connection._backend import open_connection
from waxwinglift.connection._wire import parse_lsn
from waxwinglift.process import Registry
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version import Lsn
from waxwinglift.version import Timeline
from waxwinglift.version._types import ServerPosition

POLL_INTERVAL_S = 0.01
ANSWER_LIMIT_BYTES = 1 << 20

TIMELINE_SQL = "SELECT timeline_id FROM pg_control_checkpoint()"
# Names the timeline of a new primary, which its control file contains only
# after a checkpoint.
WAL_FILE_SQL = "SELECT pg_walfile_name(pg_current_wal_lsn())"
TIMELINE_DIGITS_COUNT = 8
RECOVERY_SQL = "SELECT pg_is_in_recovery()"
RECEIVED_SQL = "SELECT pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()"
RECEIVERS_SQL = "SELECT count(*) FROM pg_stat_wal_receiver"
PROMOTE_SQL = "SELECT pg_promote(false)"
RELOAD_SQL = "SELECT pg_reload_conf()"

# Coroutine functions ``(connection, action)`` by type of action.
SERVER_ACTION_HANDLERS = Registry()
on_server_action = SERVER_ACTION_HANDLERS.register


class ServerActionError(Exception):
    """The endpoint answered with an error or an unexpected value."""


async def run_server_action(action, account):
    """Execute an action and return its outcome event.

    Parameters
    ----------
    action : ServerAction
        Has the endpoint and the time limit.
    account : EndpointAccount
        Account that control uses at the endpoints.

    Returns
    -------
    ServerFenced, PositionRead, ServerPromoted, ServerRepointed or ActionFailed
    """
    is_reached = False
    try:
        async with asyncio.timeout(action.time_limit_ms / 1000):
            async with _open_session(action.address, account) as connection:
                is_reached = True
                return await SERVER_ACTION_HANDLERS[type(action)](
                    connection, action
                )
    except TimeoutError:
        message = "time limit exceeded"
    except ServerActionError as error:
        message = str(error)
    except (EndpointRefused, EndpointConnectionLost) as error:
        is_reached = False
        message = str(error)
    return failover.ActionFailed(action, message, is_reached)


@contextlib.asynccontextmanager
async def _open_session(address, account: EndpointAccount):
    connection = await open_connection(address, account, ANSWER_LIMIT_BYTES)
    try:
        yield connection
    finally:
        connection.close()


async def _query(connection, text):
    (result,) = await connection.query(text)
    if result.error is not None:
        fields = result.error.fields
        raise ServerActionError(f"{fields.get('C')}: {fields.get('M')}")
    return result.rows


async def _query_value(connection, text):
    rows = await _query(connection, text)
    if not rows or rows[0][0] is None:
        raise ServerActionError(f"query returned no value: {text}")
    return rows[0][0]


async def _set_upstream(connection, conninfo):
    await _query(
        connection, f"ALTER SYSTEM SET primary_conninfo = '{conninfo}'"
    )
    await _query(connection, RELOAD_SQL)


async def _wait_for_value(connection, text, expected):
    while await _query_value(connection, text) != expected:
        await asyncio.sleep(POLL_INTERVAL_S)


@on_server_action(failover.FenceServer)
async def _fence(connection, action):
    if await _query_value(connection, RECOVERY_SQL) == "f":
        raise ServerActionError("the endpoint is not a replica")
    await _set_upstream(connection, "")
    await _wait_for_value(connection, RECEIVERS_SQL, "0")
    return failover.ServerFenced(action.group, action.term, action.endpoint)


@on_server_action(failover.ReadPosition)
async def _read_position(connection, action):
    if await _query_value(connection, RECOVERY_SQL) == "f":
        raise ServerActionError("the endpoint is not a replica")
    timeline = await _query_value(connection, TIMELINE_SQL)
    # After a restart, the received position is unknown until streaming
    # starts, but everything replayed has also been received.
    (row,) = await _query(connection, RECEIVED_SQL)
    lsns = [parse_lsn(text) for text in row if text is not None]
    if not lsns:
        raise ServerActionError("the endpoint reports no log position")
    position = ServerPosition(Timeline(int(timeline)), Lsn(max(lsns)))
    return failover.PositionRead(
        action.group, action.term, action.endpoint, position
    )


@on_server_action(failover.PromoteServer)
async def _promote(connection, action):
    if await _query_value(connection, RECOVERY_SQL) == "t":
        await _query(connection, PROMOTE_SQL)
        await _wait_for_value(connection, RECOVERY_SQL, "f")
    wal_file = await _query_value(connection, WAL_FILE_SQL)
    timeline = Timeline(int(wal_file[:TIMELINE_DIGITS_COUNT], 16))
    return failover.ServerPromoted(
        action.group, action.term, action.endpoint, timeline
    )


@on_server_action(failover.RepointServer)
async def _repoint(connection, action):
    primary = action.primary_address
    conninfo = (
        f"host={primary.host} port={primary.port} "
        f"application_name={action.endpoint}"
    )
    await _set_upstream(connection, conninfo)
    return failover.ServerRepointed(action.group, action.term, action.endpoint)
