"""Log of one database server."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Writes that are committed together, in order.

    Each write is (item, value, request id).
    """

    term: int
    number: int
    writes: tuple[tuple[bytes, bytes, bytes], ...]

    @property
    def position(self):
        """Position of the commit: (term, number), ordered."""
        return self.term, self.number


class ServerLog:
    """Received commits, of which the first `applied_count` are applied."""

    def __init__(self):
        self.commits: list[Commit] = []
        self.applied_count = 0

    @property
    def received(self) -> tuple[int, int]:
        """Position of the last received commit."""
        return self.commits[-1].position if self.commits else (1, 0)

    @property
    def applied(self) -> tuple[int, int]:
        """Position of the last applied commit."""
        if not self.applied_count:
            return (1, 0)
        return self.commits[self.applied_count - 1].position

    def append(self, commit: Commit):
        """Append a received commit."""
        self.commits.append(commit)

    def apply_first(self, count: int):
        """Apply the first ``count`` commits."""
        self.applied_count = max(
            self.applied_count, min(count, len(self.commits))
        )

    def copy_from(self, other: "ServerLog"):
        """Become a copy of another log; other commits are discarded."""
        self.commits = list(other.commits)
        self.applied_count = len(self.commits)

    def contains(self, position: tuple[int, int]) -> bool:
        """Return whether the commit at a position has been applied."""
        if position[1] == 0:
            return True
        applied = self.commits[: self.applied_count]
        return any(commit.position == position for commit in applied) or (
            bool(applied)
            and applied[-1].position >= position
            and self._is_in_history(applied, position)
        )

    def value(self, item: bytes) -> bytes:
        """Return the last applied value of an item, empty if it has none."""
        for commit in reversed(self.commits[: self.applied_count]):
            for name, data, _ in reversed(commit.writes):
                if name == item:
                    return data
        return b""

    def requests(self) -> list[bytes]:
        """Return the request ids of the applied writes, in order."""
        return [
            request
            for commit in self.commits[: self.applied_count]
            for _, _, request in commit.writes
        ]

    @staticmethod
    def _is_in_history(applied, position):
        """Return whether the position belongs to the history of `applied`."""
        same = [c for c in applied if c.term == position[0]]
        return bool(same) and same[-1].number >= position[1]
