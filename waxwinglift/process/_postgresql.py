"""PostgreSQL as the first entry of the protocol registries."""

from waxwinglift.connection._backend import EndpointAccount
from waxwinglift.connection._orphaned_sessions import CONTROL_NAME
from waxwinglift.connection._protocol_registry import endpoint_protocol
from waxwinglift.process._control_sql import run_server_action
from waxwinglift.process._postgresql_owner import PostgresOwner


@endpoint_protocol("postgresql")
class PostgresEndpoints:
    """What control and owners need to use PostgreSQL servers."""

    owner_class = PostgresOwner

    @staticmethod
    def attach(owner, find_executor):
        """Do nothing: an owner needs no other proxy."""

    @staticmethod
    def make_action_runner(settings):
        """Return the coroutine that carries out steps on servers."""
        account = EndpointAccount(
            settings.endpoint_user,
            settings.endpoint_password.get_secret_value(),
            settings.endpoint_database,
            CONTROL_NAME,
        )

        async def run_action(action, right):
            return await run_server_action(action, account)

        return run_action
