"""Place of one transaction block among the blocks of an endpoint."""

from waxwinglift.request._admission_types import Ticket
from waxwinglift.request._types import Failure


class BlockPlace:
    """Occupies a connection of the endpoint for a block until it ends.

    Parameters
    ----------
    owner : StatementOwner
    stream : StatementStream
        Counts as running while its block is open.
    """

    def __init__(self, owner, stream):
        self._owner = owner
        self._stream = stream
        self._ticket: Ticket | None = None
        self._started_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the block is open."""
        return self._ticket is not None

    async def enter(self, ticket: Ticket) -> Failure | None:
        """Wait for a place; return the failure if the block is refused."""
        failure = await self._owner.blocks.enter(ticket)
        if failure is not None:
            return failure
        self._ticket = ticket
        self._started_ms = self._owner.now_ms()
        self._owner.add_running(self._stream)
        return None

    def leave(self):
        """Free the place, if there is one."""
        ticket, self._ticket = self._ticket, None
        if ticket is None:
            return
        service_ms = self._owner.now_ms() - self._started_ms
        self._owner.blocks.leave(ticket, service_ms)
        self._owner.remove_running(self._stream)
