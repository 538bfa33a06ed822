"""Configuration of the control group, derived from the log.

A member uses the newest configuration in its log as soon as it is appended,
before it is committed.  This is safe because only one change is made at a
time: the majorities of consecutive configurations overlap, so both may be in
use at once.  A truncated change is undone.
"""

import dataclasses

from waxwinglift.process import Registry
from waxwinglift.version._consensus_messages import LogEntry
from waxwinglift.version._consensus_messages import MemberRole
from waxwinglift.version._entry_kinds import EntryKind
from waxwinglift.version._entries import MemberAdded
from waxwinglift.version._entries import MemberPromoted
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import encode_entry

# Lower than the term of the first leader, whose first entry commits the
# bootstrap entries.
BOOTSTRAP_TERM = 0

_MEMBER_KINDS = frozenset(
    {
        EntryKind.MEMBER_ADDED,
        EntryKind.MEMBER_PROMOTED,
        EntryKind.MEMBER_REMOVED,
    }
)


def read_change(payload):
    """Return the membership entry in ``payload``, None for other kinds."""
    # The search avoids decoding most entries; a match may be accidental.  No
    # membership entry is missed: they are too small to be compressed.
    if b'"member_' not in payload:
        return None
    entry = decode_entry(payload)
    return entry if entry.kind in _MEMBER_KINDS else None


def bootstrap_entries(members):
    """Return the first entries of the log of a new control group.

    Parameters
    ----------
    members : iterable of (DaemonId, Address, Location or None)
        Must be the same on all initial members, which write these entries
        to their empty stores before the first start.  A member that joins
        later starts with an empty log.

    Returns
    -------
    tuple of LogEntry
    """
    ordered = sorted(members, key=lambda founder: founder[0])
    changes = [MemberAdded(*founder) for founder in ordered]
    changes += [MemberPromoted(member) for member, *_ in ordered]
    return tuple(
        LogEntry(index, BOOTSTRAP_TERM, encode_entry(change))
        for index, change in enumerate(changes, start=1)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Members of the control group from log index ``index`` on."""

    index: int
    members: tuple[MemberRole, ...] = ()

    @property
    def voters(self):
        return tuple(m.member for m in self.members if m.is_voter)

    @property
    def all_members(self):
        return tuple(m.member for m in self.members)

    @property
    def majority_count(self):
        return len(self.voters) // 2 + 1

    def is_majority(self, members):
        """Return whether ``members`` contain a majority of the voters."""
        members_count = sum(voter in members for voter in self.voters)
        return members_count >= self.majority_count

    def majority_value(self, values):
        """Return the highest value that a majority of voters has reached.

        Parameters
        ----------
        values : mapping of DaemonId to a number
            One value for each voter.
        """
        ordered = sorted((values[v] for v in self.voters), reverse=True)
        return ordered[self.majority_count - 1]

    def changed_by(self, change, index):
        """Return the configuration after ``change``, None if invalid."""
        roles = {m.member: m.is_voter for m in self.members}
        if not _CHANGE_FUNCTIONS[change.kind](roles, change.member):
            return None
        members = tuple(MemberRole(m, roles[m]) for m in sorted(roles))
        return Configuration(index, members)


# A function takes ``(roles, member)``, where ``roles`` maps each member to
# whether it is a voter.  It edits ``roles`` in place and returns True, or
# returns False without an edit if the change is invalid.
_CHANGE_FUNCTIONS = Registry()
_applies_change = _CHANGE_FUNCTIONS.register


@_applies_change(EntryKind.MEMBER_ADDED)
def _add(roles, member):
    if member in roles:
        return False
    roles[member] = False
    return True


@_applies_change(EntryKind.MEMBER_PROMOTED)
def _promote(roles, member):
    if roles.get(member) is not False:
        return False
    roles[member] = True
    return True


@_applies_change(EntryKind.MEMBER_REMOVED)
def _remove(roles, member):
    is_last = [m for m, is_voter in roles.items() if is_voter] == [member]
    if member not in roles or is_last:
        return False
    del roles[member]
    return True


class MembershipHistory:
    """Configurations of the log, newest last."""

    def __init__(self, snapshot, entries):
        self._history = []
        self.reset(snapshot)
        for entry in entries:
            self.on_append(entry)

    @property
    def current(self):
        return self._history[-1]

    def at(self, index):
        """Return the configuration that applies at ``index``."""
        return [c for c in self._history if c.index <= index][-1]

    def reset(self, snapshot):
        """Restart from the configuration in ``snapshot``."""
        members = snapshot.members if snapshot else ()
        index = snapshot.index if snapshot else 0
        self._history = [Configuration(index, members)]

    def on_append(self, entry):
        """Switch to the new configuration if the entry changes it."""
        change = read_change(entry.payload)
        if change is None:
            return
        configuration = self.current.changed_by(change, entry.index)
        if configuration is not None:
            self._history.append(configuration)

    def on_truncate(self, index):
        """Undo the changes after ``index``."""
        while self.current.index > index:
            self._history.pop()

    def on_compact(self, index):
        """Drop the configurations before the one that applies at ``index``."""
        kept = self.at(index)
        later = [c for c in self._history if c.index > index]
        self._history = [kept, *later]
