"""Registers PostgreSQL as an endpoint protocol."""

from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.connection._orphaned_sessions import CONTROL_NAME
from waxwinglift.connection._protocol_registry import endpoint_protocol
from waxwinglift.process._control_sql import run_server_action
from waxwinglift.process._postgresql_owner import PostgresOwner


@endpoint_protocol("postgresql")
class PostgresEndpoints:
    """Owner class and server actions of PostgreSQL endpoints."""

    owner_class = PostgresOwner

    @staticmethod
    def attach(owner, find_executor):
        """Do nothing: owners of PostgreSQL servers use no other proxy."""

    @staticmethod
    def make_action_runner(settings):
        """Return the coroutine function that runs actions on servers."""
        account = EndpointAccount(
            settings.endpoint_user,
            settings.endpoint_password.get_secret_value(),
            settings.endpoint_database,
            CONTROL_NAME,
        )

        async def run_action(action, _promotion_right):
            return await run_server_action(action, account)

        return run_action
