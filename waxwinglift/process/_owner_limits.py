"""Limits of the connections, slots and blocks of one endpoint's owner."""

from collections.abc import Iterable
import dataclasses
import logging

from waxwinglift.process._connection_budget import ConnectionBudget
from waxwinglift.process._connection_budget import ConnectionRole
from waxwinglift.process._connection_budget import find_role
from waxwinglift.process._connection_division import CONNECTION_DIVISIONS
from waxwinglift.process._owner_succession import OwnerSuccession
from waxwinglift.request._in_flight_limit import InFlightLimit
from waxwinglift.version import PoolTable

logger = logging.getLogger(__name__)

# Connections that a standby owner keeps open to probe the endpoint.
STANDBY_WARM_COUNT = 1
# Connections reserved for transaction blocks of the most urgent rank.
_URGENT_BLOCKS_COUNT = 2


class OwnerLimits:
    """Sets the limits of an owner's pool and queues for its present role.

    Parameters
    ----------
    owner : StatementOwner
    """

    def __init__(self, owner):
        self._owner = owner
        division = CONNECTION_DIVISIONS[owner.settings.connection_division]
        self._division = division()
        self._budget = ConnectionBudget()
        self._succession = OwnerSuccession()
        self._is_lowered = False
        self._in_flight_limit = InFlightLimit(owner.settings.admission)
        self._block_tables: tuple[PoolTable, ...] = ()

    @property
    def role(self) -> ConnectionRole:
        """What the owner may do at the endpoint."""
        return self._budget.role

    def record_round_trip(self, elapsed_ms: float):
        """Record the round trip of a statement."""
        self._in_flight_limit.record_round_trip(
            elapsed_ms, self._owner.now_ms()
        )

    def update(self):
        """Set the limits of connections, slots and blocks."""
        owner = self._owner
        record = owner.view.endpoint(owner.endpoint)
        if record is None:
            return
        pool = owner.connections.pool
        self._update_budget(record)
        pool.limit_count = self._division.limit_count(
            self._budget,
            owner.view.fleet.connection_limit_count(record),
            pool.is_per_workspace,
            owner.now_ms(),
        )
        self._report_lowering()
        is_owner = self.role is ConnectionRole.OWNER
        pool.warm_count = None if is_owner else STANDBY_WARM_COUNT
        queue = owner.slots.queue
        slots_count = self._in_flight_limit.limit_count(
            record.slots_count, queue.service_ms
        )
        # A former owner may open no connections, but its blocks go on.
        usable_count = max(pool.limit_count, pool.connection_count, 1)
        slots_count = min(slots_count, usable_count)
        queue.slots_count = slots_count
        # One connection for each slot, but at most half of them, is reserved
        # for statements outside of blocks; blocks may use the rest.
        reserved_count = min(slots_count, pool.limit_count // 2)
        blocks_count = max(1, pool.limit_count - reserved_count)
        if blocks_count != owner.blocks.queue.slots_count:
            owner.blocks.queue.slots_count = blocks_count
            self._set_block_tables()

    def set_block_tables(self, tables: Iterable[PoolTable]):
        """Set the tables of the ranks of blocks, without their limits."""
        self._block_tables = tuple(tables)
        self._set_block_tables()

    def record_full(self):
        """Record that the endpoint refused a connection of this proxy."""
        owner = self._owner
        pool = owner.connections.pool
        connection_count = pool.connection_count
        owner.metrics.incr("owner.connections_full")
        if self._budget.record_full(connection_count, owner.now_ms()):
            logger.warning(
                "the endpoint has no free connection for this proxy's share",
                extra={
                    "endpoint": owner.endpoint,
                    "role": self.role.value,
                    "connection_count": connection_count,
                    "share_count": pool.limit_count,
                    "view_age_ms": owner.view.age_ms(),
                },
            )
        self.update()

    def _set_block_tables(self):
        queue = self._owner.blocks.queue
        limit_count = max(1, queue.slots_count - _URGENT_BLOCKS_COUNT)
        queue.set_tables(
            [_limit_blocks(table, limit_count) for table in self._block_tables]
        )

    def _update_budget(self, record):
        owner = self._owner
        view, endpoint = owner.view, owner.endpoint
        self._succession.update(view, endpoint)
        temporary_owners = self._division.temporary_owners(view, record)
        is_temporary = (
            owner.is_temporary_owner(endpoint)
            and view.daemon in temporary_owners
        )
        self._budget.update(
            find_role(view, endpoint, is_temporary),
            owner.now_ms(),
            view_age_ms=view.age_ms(),
            former_owner=self._succession.former_owner,
            has_missed_changes=self._succession.has_missed_changes,
        )

    def _report_lowering(self):
        """Report a share that is lowered; called after each update."""
        was_lowered = self._is_lowered
        self._is_lowered = self._budget.is_lowered
        if was_lowered or not self._is_lowered:
            return
        owner = self._owner
        pool = owner.connections.pool
        owner.metrics.incr("owner.share_lowered")
        logger.warning(
            "the state of the fleet is too old for the full share of"
            " connections",
            extra={
                "endpoint": owner.endpoint,
                "connection_count": pool.connection_count,
                "share_count": pool.limit_count,
                "view_age_ms": owner.view.age_ms(),
            },
        )


def _limit_blocks(table, limit_count):
    """Return the table with a limit for all ranks but the most urgent."""
    limited = [
        dataclasses.replace(row, limit_count=limit_count)
        for row in table.rows[1:]
    ]
    return dataclasses.replace(table, rows=(table.rows[0], *limited))
