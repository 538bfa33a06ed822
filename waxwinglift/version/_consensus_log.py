"""In-memory log that tracks which of its entries are durable."""

from waxwinglift.version._consensus_types import ConsensusError


class MemoryLog:
    """Entries after ``base_index``; earlier entries are compacted.

    Parameters
    ----------
    snapshot : Snapshot or None
        Start of the log; None for an empty log from index 1.
    entries : iterable of LogEntry
        Durable entries after the snapshot.
    """

    def __init__(self, snapshot, entries):
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries = list(entries)
        self.durable_index = self.last_index
        self._check_continuous()

    def _check_continuous(self):
        expected = range(self.base_index + 1, self.last_index + 1)
        if [entry.index for entry in self._entries] != list(expected):
            raise ConsensusError(
                f"stored log entries after index {self.base_index} are not"
                " consecutive"
            )

    @property
    def last_index(self):
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index):
        """Return the term at ``index``, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def between(self, first_index, last_index):
        """Return the entries from ``first_index`` to ``last_index``."""
        start = max(first_index, self.base_index + 1)
        offset = self.base_index + 1
        return tuple(self._entries[start - offset : last_index + 1 - offset])

    def batch(self, first_index, limit_bytes):
        """Return entries from ``first_index`` on, up to ``limit_bytes``.

        At least one entry is returned, if there is any.
        """
        batch = []
        size_bytes = 0
        start = first_index - self.base_index - 1
        for position in range(start, len(self._entries)):
            entry = self._entries[position]
            size_bytes += len(entry.payload)
            if batch and size_bytes > limit_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entry):
        """Add the entry at the next index; it is not durable yet."""
        if entry.index != self.last_index + 1:
            raise ConsensusError(
                f"entry {entry.index} does not follow entry {self.last_index}"
            )
        self._entries.append(entry)

    def truncate_after(self, index):
        """Drop the entries after ``index``."""
        del self._entries[index - self.base_index :]
        self.durable_index = min(self.durable_index, index)

    def compact(self, index):
        """Drop the entries up to ``index`` from memory."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, snapshot):
        """Restart the log after ``snapshot``, which is not durable yet."""
        self._entries.clear()
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.durable_index = 0

    def first_index_of_term(self, index):
        """Return the first index in memory of the term at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def is_other_up_to_date(self, last_index, last_term):
        """Return whether another log is at least as complete as this one.

        The arguments are the index and the term of its last entry.
        """
        return (last_term, last_index) >= (self.last_term, self.last_index)
