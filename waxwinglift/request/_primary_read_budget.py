"""Budget of reads that are routed to the primary to avoid a wait."""

# A bucket that is filled to at least this fraction of its limit requires reads
# to save only the minimum time.  If it had to be full, the p99 of urgent reads
# would be 53 to 76 ms instead of 29 to 36 ms.
MIN_SAVING_FILL_FRACTION = 0.25

# Part of the earned tokens that goes to the common bucket while it is
# negative.
REPAYMENT_FRACTION = 0.25


class PrimaryReadBudget:
    """Token buckets for the reads of one group at one entry proxy.

    A read that would wait for a replica may instead use a token and go to
    the primary.  The fewer tokens are left, the more time it must save.
    Urgent reads have a separate bucket, which the many reads of a flood
    cannot empty.  It fills first, except that a negative common bucket gets
    a part of the tokens.

    Parameters
    ----------
    settings : RoutingSettings
    """

    def __init__(self, settings):
        self.settings = settings
        self._limit_count = settings.primary_burst_count
        self._urgent_count = settings.primary_burst_count / 2
        self._common_count = 0.0

    def record_read(self):
        """Add the fraction of a token that each read earns."""
        share = self.settings.primary_share
        common_fraction = REPAYMENT_FRACTION if self._common_count < 0 else 0.0
        urgent_count = self._urgent_count + (1 - common_fraction) * share
        excess_count = max(0.0, urgent_count - self._limit_count)
        self._urgent_count = urgent_count - excess_count
        earned_count = common_fraction * share + excess_count
        self._add_common(earned_count)

    def revoke_earned_token(self):
        """Remove the fraction of a token earned by a rejected read.

        Reads that queues reject in a flood would otherwise raise the share
        of answered reads that go to the primary.
        """
        self._add_common(-self.settings.primary_share)

    def spend(self, is_urgent):
        """Use a token for a read that goes to the primary.

        The common bucket may become negative, because reads that no replica
        can serve go to the primary even without a token.  They leave fewer
        tokens for the other reads.
        """
        if is_urgent and self._urgent_count >= 1:
            self._urgent_count -= 1
        else:
            self._add_common(-1)

    def has_common_token(self):
        """Return whether a token is left for reads of any rank."""
        return self._common_count >= 1

    def min_saving_ms(self, is_urgent):
        """Return the minimum time that a read must save at the primary."""
        count = self._urgent_count if is_urgent else self._common_count
        fill = min(
            1.0,
            max(0.0, count) / (self._limit_count * MIN_SAVING_FILL_FRACTION),
        )
        range_ms = self.settings.replica_wait_ms - self.settings.prompt_wait_ms
        return self.settings.prompt_wait_ms + (1 - fill) * max(0.0, range_ms)

    def _add_common(self, count):
        total_count = self._common_count + count
        total_count = min(total_count, self._limit_count)
        self._common_count = max(total_count, -self._limit_count)
