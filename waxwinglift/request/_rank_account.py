"""Accounting of the slot time of one rank of a pool."""


class RankAccount:
    """Limits of a rank and the slot time that it has used.

    Parameters
    ----------
    row : RankRow
        Row of the pool's table.
    urgency_index : int
        Index of the rank in its table, 0 for the most urgent.

    Attributes
    ----------
    floor_share : float
        Share of the endpoint's capacity that is guaranteed to the rank in a
        flood, 0 to 1.
    credit_ms : float
        Unused slot time that the rank has earned at its floor share;
        negative if it has used more.
    virtual_ms : float
        Used slot time divided by the weight.
    running_count : int
    is_retired : bool
        Whether the rank was removed from its table and only serves its
        remaining tickets.
    """

    def __init__(self, row, urgency_index):
        self.row = row
        self.urgency_index = urgency_index
        self.floor_share = 0.0
        self.credit_ms = 0.0
        self.virtual_ms = 0.0
        self.running_count = 0
        self.is_retired = False

    @property
    def is_most_urgent(self):
        """Whether this is the first rank of its pool's table."""
        return self.urgency_index == 0

    @property
    def is_at_limit(self):
        """Whether the rank uses as many slots as its limit allows."""
        limit_count = self.row.limit_count
        return 0 < limit_count <= self.running_count

    def charge(self, used_ms, debt_cap_ms):
        """Record used slot time; a negative amount corrects an estimate.

        The credit does not fall below ``-debt_cap_ms``.
        """
        self.virtual_ms += used_ms / max(1, self.row.weight)
        self.credit_ms = max(self.credit_ms - used_ms, -debt_cap_ms)
