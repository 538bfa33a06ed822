"""Detects a watch stream that does not follow the control log."""

# Time within which the entries that the leader has committed must arrive.
# Detection and one more relay that stands still take less than 3 s together,
# within which an accepted state has to be in force.
LAG_LIMIT_MS = 600.0


class WatchLag:
    """Compares the applied log index with the leader's.

    A relay can answer renewals and keep its stream alive although its own log
    stands still, or the stream can be silent while renewals pass.  The grants
    and refusals of the leader contain its log index in both cases.
    """

    def __init__(self):
        self._due_index = None
        self._since_ms = 0.0

    def record(self, leader_index: int, applied_index: int, now_ms: float):
        """Record the leader's index, 0 if a relay without a leader answers.

        Returns
        -------
        bool
            Whether entries have been missing for longer than the limit.
        """
        if leader_index == 0:
            return False
        due_index = self._due_index
        is_reached = due_index is None or applied_index >= due_index
        # A leader with a lower index has started from another history.
        if is_reached or leader_index < due_index:
            is_behind = leader_index > applied_index
            self._due_index = leader_index if is_behind else None
            self._since_ms = now_ms
            return False
        return now_ms - self._since_ms >= LAG_LIMIT_MS

    def reset(self):
        """Start again with another relay."""
        self._due_index = None
