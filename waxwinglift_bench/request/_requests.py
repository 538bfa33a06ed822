"""Simulated requests and their outcomes."""

import dataclasses
from typing import Any

from waxwinglift.request import Failure
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import Position
from waxwinglift.version import Rank


@dataclasses.dataclass(slots=True, eq=False)
class SimulatedRequest:
    """One request of a session; ``done(outcome)`` delivers its outcome."""

    number: int
    group: GroupName
    rank: Rank
    caller: str
    is_write: bool
    floor: Position | None
    max_age_ms: float | None
    arrival_ms: float
    deadline_ms: float
    # Execution time relative to the median.
    service_factor: float
    done: Any
    excluded: frozenset[EndpointId] = frozenset()
    attempt_count: int = 1
    sent_ms: float = 0.0
    # Longest wait for the endpoint to reach the session floor.
    wait_limit_ms: float = 0.0
    is_ended: bool = False
    was_rejected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Answer or failure of one attempt.

    ``floor_wait_ms`` is the wait for a replica to reach the session floor,
    ``quorum_wait_ms`` the wait for a quorum.  ``is_behind`` means that the
    replica did not reach the floor in time.
    """

    failure: Failure | None = None
    position: Position | None = None
    queue_wait_ms: float = 0.0
    floor_wait_ms: float = 0.0
    quorum_wait_ms: float = 0.0
    is_behind: bool = False
    by_replica: bool = False
