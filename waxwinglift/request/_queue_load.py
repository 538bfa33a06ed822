"""Load of an admission queue at one moment."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLoad:
    """Load of the queue in front of one endpoint.

    Parameters
    ----------
    slots_count : int
        Statements that the endpoint executes concurrently.
    running_count, waiting_count : int
    expected_wait_ms : float
        Expected wait of a new request of the least urgent rank.
    """

    slots_count: int
    running_count: int
    waiting_count: int
    expected_wait_ms: float
