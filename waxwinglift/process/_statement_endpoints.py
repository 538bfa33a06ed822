"""Endpoint protocols with typed statements."""

from collections.abc import Callable

from waxwinglift.connection._statement_protocols import ConnectionOpener
from waxwinglift.process._statement_owner import StatementOwner
from waxwinglift.process._statement_actions import StatementActionRunner


class StatementEndpoints:
    """Provides control and owners with the parts specific to a protocol.

    Parameters
    ----------
    open_connection : callable
        Opens a connection to an endpoint.
    decode_status : callable
        Returns the EndpointStatus of a row.
    make_promote : callable
        Returns the coroutine function that orders a promotion; called with
        the settings of a control daemon.
    """

    owner_class = StatementOwner

    def __init__(
        self,
        open_connection: ConnectionOpener,
        decode_status: Callable,
        make_promote: Callable,
    ):
        self._open_connection = open_connection
        self._decode_status = decode_status
        self._make_promote = make_promote

    def attach(self, owner: StatementOwner, find_executor):
        """Set the dependencies of an owner before it starts."""
        owner.attach(self._open_connection, find_executor)

    def make_action_runner(self, settings):
        """Return the coroutine function that executes server actions."""
        runner = StatementActionRunner(
            self._open_connection,
            self._decode_status,
            self._make_promote(settings),
        )
        return runner.run
