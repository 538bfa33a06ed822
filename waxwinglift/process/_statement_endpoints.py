"""Endpoint protocols whose statements are typed."""

from collections.abc import Callable

from waxwinglift.connection._statement_protocols import ConnectionOpener
from waxwinglift.process._statement_owner import StatementOwner
from waxwinglift.process._statement_steps import StatementSteps


class StatementEndpoints:
    """What control and owners need to use endpoints of one such protocol.

    Parameters
    ----------
    open_connection : callable
        Opens a connection to an endpoint.
    decode_status : callable
        Returns the EndpointStatus of a row.
    make_promote : callable
        Returns, for the settings of a control daemon, the coroutine that
        orders a promotion.
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
        """Give an owner what it needs before it starts."""
        owner.attach(self._open_connection, find_executor)

    def make_action_runner(self, settings):
        """Return the coroutine that carries out steps on servers."""
        steps = StatementSteps(
            self._open_connection,
            self._decode_status,
            self._make_promote(settings),
        )
        return steps.run
