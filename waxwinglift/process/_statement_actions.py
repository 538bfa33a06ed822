"""Steps of a change of primary on endpoints with typed statements."""

import asyncio
import contextlib

from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._endpoint_errors import EndpointRefused
from waxwinglift.connection._endpoint_errors import PromotionRefused
from waxwinglift.process import Registry
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import EndpointStatus
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version import Timeline
from waxwinglift.version._types import ServerPosition

# Time between two checks whether a promoted server is the leader.
_POLL_INTERVAL_S = 0.02
# Time for which an idle connection is kept open for the next action.
_IDLE_TIMEOUT_S = 5.0
# Only the leader accepts BEGIN; replicas accept BEGIN_READ.  A transaction
# without statements occupies no slot of the endpoint.
_LEADER_CHECK = (Command(CommandKind.BEGIN), Command(CommandKind.ROLLBACK))
# A fence with a term that is not above the endpoint's term has no effect.  It
# returns the status, but unlike a STATUS command it occupies no slot.
_STATUS_WITHOUT_SLOT = Command(CommandKind.FENCE, term=0)

# Coroutine function for each type of action.
_ACTION_HANDLERS = Registry()
_on_action = _ACTION_HANDLERS.register


class ServerActionError(Exception):
    """The endpoint answered, but not with the status that is needed."""


class StatementActionRunner:
    """Executes server actions and reuses the connections to endpoints.

    Each is an action of a change of primary on one server.

    Parameters
    ----------
    open_connection : callable
        Opens a connection; raises EndpointRefused.
    decode_status : callable
        Returns the EndpointStatus of a row; raises ValueError.
    promote : callable
        Coroutine function that orders a promotion, given an action and a
        PromotionRight; raises PromotionRefused or OSError.
    """

    def __init__(self, open_connection, decode_status, promote):
        self.promote = promote
        self._open = open_connection
        self._decode_status = decode_status
        self._idle = {}

    async def run(self, action, promotion_right):
        """Execute an action and return its outcome event.

        A promotion is ordered with ``promotion_right``, a PromotionRight.
        """
        is_reached = False
        try:
            async with asyncio.timeout(action.time_limit_ms / 1000):
                return await _ACTION_HANDLERS[type(action)](
                    self, action, promotion_right
                )
        except PromotionRefused as error:
            return failover.ActionFailed(
                action, str(error), is_not_running=error.is_not_running
            )
        except ServerActionError as error:
            is_reached = True
            message = str(error)
        except TimeoutError:
            message = "time limit exceeded"
        except (EndpointRefused, EndpointConnectionLost, OSError) as error:
            message = str(error)
        return failover.ActionFailed(action, message, is_reached)

    async def status(self, action, command) -> EndpointStatus:
        """Send a command and return the status in its answer."""
        async with self.connect(action) as connection:
            (reply,) = await connection.run([command])
        error = reply.answer.error
        if error is not None or not reply.answer.rows:
            reason = "no row" if error is None else error.code.value
            raise ServerActionError(
                f"the endpoint returned no status: {reason}"
            )
        try:
            return self._decode_status(reply.answer.rows[0])
        except ValueError as error:
            raise ServerActionError(
                f"the endpoint returned an invalid status: {error}"
            ) from error

    @contextlib.asynccontextmanager
    async def connect(self, action):
        """Yield a connection, and keep it open if it is still usable."""
        key = (action.endpoint, action.address)
        connection = self._take_idle(key)
        if connection is None:
            connection = await self._open(
                action.address, action.group, action.endpoint, None
            )
        try:
            yield connection
        except BaseException:
            connection.close()
            raise
        self._store_idle(key, connection)

    def _take_idle(self, key):
        idle = self._idle.pop(key, None)
        if idle is None:
            return None
        connection, timer = idle
        timer.cancel()
        return connection if connection.is_usable else None

    def _store_idle(self, key, connection):
        if key in self._idle or not connection.is_usable:
            connection.close()
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(_IDLE_TIMEOUT_S, self._close_idle, key)
        self._idle[key] = (connection, timer)

    def _close_idle(self, key):
        connection, _ = self._idle.pop(key)
        connection.close()


@_on_action(failover.FenceServer)
async def _fence(runner, action, promotion_right):
    """Make the server stop receiving from the primary.

    The server accepts only a term above its own, so the fence is repeated
    with a higher term if necessary.
    """
    # These servers have terms in place of the timelines of PostgreSQL.
    term = action.timeline
    while True:
        command = Command(CommandKind.FENCE, term=term)
        status = await runner.status(action, command)
        if term > status.term:
            return failover.ServerFenced(
                action.group,
                action.term,
                action.endpoint,
                _server_position(status),
            )
        term = status.term + 1


@_on_action(failover.ReadPosition)
async def _read_position(runner, action, promotion_right):
    status = await runner.status(action, Command(CommandKind.STATUS))
    return failover.PositionRead(
        action.group,
        action.term,
        action.endpoint,
        _server_position(status),
        status.is_primary,
    )


@_on_action(failover.PromoteServer)
async def _promote(runner, action, promotion_right):
    """Order the promotion and wait until the server is the leader."""
    await runner.promote(action, promotion_right)
    while True:
        async with runner.connect(action) as connection:
            reply, _ = await connection.run(_LEADER_CHECK)
        if reply.answer.error is None:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    # The position in the reply has the term of the last write, which is older
    # than the term that the server leads now.
    status = await runner.status(action, _STATUS_WITHOUT_SLOT)
    return failover.ServerPromoted(
        action.group,
        action.term,
        action.endpoint,
        Timeline(status.term),
        _server_position(status),
    )


@_on_action(failover.RepointServer)
async def _repoint(runner, action, promotion_right):
    """Let the server receive from the primary again after a fence."""
    await runner.status(action, Command(CommandKind.UNFENCE))
    return failover.ServerRepointed(action.group, action.term, action.endpoint)


def _server_position(status):
    return ServerPosition(Timeline(status.received.term), status.received.lsn)
