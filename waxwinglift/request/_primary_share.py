"""Allowance of reads that go to the primary to save a wait."""


class PrimaryShare:
    """Token bucket over the reads of one group at one entry proxy.

    A read that would wait for a replica may take a token and go to the
    primary.  The less is left, the more time the read must save.  The upper
    half of the bucket is for all reads, the lower half for urgent ones.

    Parameters
    ----------
    settings : RoutingSettings
    """

    def __init__(self, settings):
        self.settings = settings
        self._token_count = settings.primary_burst_count / 2

    def record_read(self):
        """Add the part of a token that each read earns."""
        count = self._token_count + self.settings.primary_share
        self._token_count = min(count, self.settings.primary_burst_count)

    def forget_read(self):
        """Take back what a read earned that a queue refused.

        Refused reads in a flood would otherwise move the share of the
        answered ones to the primary.
        """
        count = self._token_count - self.settings.primary_share
        floor_count = -self.settings.primary_burst_count
        self._token_count = max(count, floor_count)

    def spend(self):
        """Take a token for a read that goes to the primary.

        The count may become negative: reads that no replica can serve go to
        the primary in any case and leave less for the others.
        """
        floor_count = -self.settings.primary_burst_count
        self._token_count = max(self._token_count - 1, floor_count)

    def least_saving_ms(self, is_urgent):
        """Return the time that a read must save to go to the primary."""
        half_count = self.settings.primary_burst_count / 2
        spare_count = self._token_count - (0 if is_urgent else half_count)
        fill = min(1.0, max(0.0, spare_count / half_count))
        range_ms = self.settings.replica_wait_ms - self.settings.prompt_wait_ms
        return self.settings.prompt_wait_ms + (1 - fill) * max(0.0, range_ms)
