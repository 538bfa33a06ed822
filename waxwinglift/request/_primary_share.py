"""Allowance of reads that go to the primary to save a wait."""

# Part of a bucket above which the least saving is the shortest wait; with a
# linear rise over the whole bucket the urgent p99 was 53 to 76 ms, with a
# quarter 29 to 36 ms.
MIN_SAVING_FILL_FRACTION = 0.25

# Part of what reads earn that pays back reads that had to go to the primary.
REPAYMENT_FRACTION = 0.25


class PrimaryShare:
    """Token buckets over the reads of one group at one entry proxy.

    A read that would wait for a replica may take a token and go to the
    primary; the less is left, the more time the read must save.  Urgent
    reads have a bucket of their own, which fills first: the many reads of a
    flood cannot empty it.

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
        """Add the part of a token that each read earns."""
        share = self.settings.primary_share
        common_fraction = REPAYMENT_FRACTION if self._common_count < 0 else 0.0
        urgent_count = self._urgent_count + (1 - common_fraction) * share
        excess_count = max(0.0, urgent_count - self._limit_count)
        self._urgent_count = urgent_count - excess_count
        earned_count = common_fraction * share + excess_count
        self._add_common(earned_count)

    def forget_read(self):
        """Take back what a read earned that a queue refused.

        Refused reads in a flood would otherwise move the share of the
        answered ones to the primary.
        """
        self._add_common(-self.settings.primary_share)

    def spend(self, is_urgent):
        """Take a token for a read that goes to the primary.

        The common bucket may become negative: reads that no replica can
        serve go to the primary in any case and leave less for the others.
        """
        if is_urgent and self._urgent_count >= 1:
            self._urgent_count -= 1
        else:
            self._add_common(-1)

    def has_common(self):
        """Return whether a token is left for reads of any rank."""
        return self._common_count >= 1

    def min_saving_ms(self, is_urgent):
        """Return the time that a read must save to go to the primary."""
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
