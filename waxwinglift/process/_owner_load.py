"""Load and lag of one endpoint, as its owner observes them."""

from waxwinglift.connection import HealthState
from waxwinglift.request._endpoint_load import EndpointLoad
from waxwinglift.request._endpoint_load import LoadBook
from waxwinglift.request._primary_progress import PrimaryProgress
from waxwinglift.version import Position


class OwnerLoad:
    """Observes the load and the lag of an owner's endpoint.

    Nothing is sent for it: the endpoint states its position in each reply,
    also to the health probes.

    Parameters
    ----------
    owner : StatementOwner
    """

    def __init__(self, owner):
        self._owner = owner
        self._position: Position | None = None
        self._primary_progress = PrimaryProgress()

    def record_position(self, position: Position | None):
        """Record the position in a reply of the endpoint."""
        if position is not None:
            self._position = position

    def find(self, book: LoadBook) -> EndpointLoad:
        """Return the present load.

        Parameters
        ----------
        book : LoadBook
            Has the position of the primary, if its owner has reported it.
        """
        owner = self._owner
        now_ms = owner.now_ms()
        queue = owner.slots.queue.load()
        is_down = owner.health is HealthState.DOWN
        return EndpointLoad(
            endpoint=owner.endpoint,
            observed_ms=now_ms,
            slots_count=queue.slots_count,
            running_count=queue.running_count,
            expected_wait_ms=queue.expected_wait_ms,
            position=self._position,
            lag_ms=self._find_lag_ms(book, now_ms),
            failure_ratio=1.0 if is_down else 0.0,
        )

    def _find_lag_ms(self, book, now_ms):
        group = self._owner.view.group(self._owner.group)
        primary = None if group is None else group.primary
        # Also while a change of primary is in progress: its position is the
        # one of this endpoint itself.
        if primary == self._owner.endpoint:
            return 0.0
        floor = self._owner.positions.floors.last_sample
        if floor is not None:
            self._primary_progress.record(*floor)
        load = None if primary is None else book.find(primary, now_ms)
        if load is not None and load.position is not None:
            self._primary_progress.record(load.observed_ms, load.position)
        return self._primary_progress.age_ms(self._position, now_ms)
