"""Endpoint protocols with typed statements."""

import importlib
from collections.abc import Callable

from waxwinglift.connection._statement_protocols import ConnectionOpener


class StatementEndpoints:
    """Provides control and owners with the parts specific to a protocol.

    The parts of owners and of control are imported when they are first used:
    no process needs both.

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

    def __init__(
        self,
        open_connection: ConnectionOpener,
        decode_status: Callable,
        make_promote: Callable,
    ):
        self._open_connection = open_connection
        self._decode_status = decode_status
        self._make_promote = make_promote

    @property
    def owner_class(self):
        """Class of the owners of endpoints."""
        module = "waxwinglift.process._statement_owner"
        return importlib.import_module(module).StatementOwner

    def attach(self, owner, find_executor):
        """Set the dependencies of an owner before it starts."""
        owner.attach(self._open_connection, find_executor)

    def make_action_runner(self, settings):
        """Return the coroutine function that executes server actions."""
        module = "waxwinglift.process._statement_actions"
        runner = importlib.import_module(module).StatementActionRunner(
            self._open_connection,
            self._decode_status,
            self._make_promote(settings),
        )
        return runner.run
