"""State machines of the control log in a group of control members."""

import dataclasses
import itertools
from typing import NamedTuple


class Replica(NamedTuple):
    """One control member.

    ``synced`` is the length of the log on disk and ``commit`` the committed
    length that the member knows.  ``match`` is the replicated length at each
    member, or empty if this member is not the leader.
    """

    term: int = 0
    vote: int = -1
    log: tuple = ()
    synced: int = 0
    match: tuple = ()
    commit: int = 0


class Group(NamedTuple):
    """State of the machines in ``GROUP_BOUNDS``.

    ``committed`` is the committed log, ``winners`` the leader of each term or
    -1, ``applied`` the length that the daemon has applied, and ``violation``
    the property that the last step has violated.
    """

    replicas: tuple
    committed: tuple = ()
    winners: tuple = ()
    applied: int = 0
    violation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Size and initial state; the first ``voters_count`` ids are voters."""

    voters_count: int
    learners_count: int
    terms_count: int
    has_daemon: bool
    replicas: tuple


# An entry is the term of its leader.  The entry that promotes the learner is
# the term plus this offset.
PROMOTION_OFFSET = 100
EMPTY = Replica()
# Two leaders have appended their first entry to their own logs only.
DIVERGED = (
    Replica(1, 0, (1,), 1),
    Replica(2, 1, (2,), 1),
    Replica(2, 1),
)
GROUP_BOUNDS = {
    "log": Bounds(3, 0, 3, False, (EMPTY,) * 3),
    "diverged": Bounds(3, 0, 4, False, DIVERGED),
    "daemon": Bounds(3, 0, 2, True, (EMPTY,) * 3),
    "repair": Bounds(3, 1, 2, False, (EMPTY,) * 4),
}

GROUP_PROPERTIES = (
    "one_leader_per_term",
    "committed_entry_kept",
    "daemon_never_goes_back",
    "promoted_member_holds_committed",
)


def _term_of(entry):
    return entry % PROMOTION_OFFSET


class GroupMachine:
    """Transitions of the machines in ``GROUP_BOUNDS``."""

    def __init__(self, bounds, rules):
        self.bounds = bounds
        self.rules = rules
        self.ids = range(bounds.voters_count + bounds.learners_count)
        self.initial = Group(bounds.replicas, (), (-1,) * 5)

    def steps(self, state):
        """Return the labelled successors of ``state``."""
        group = Group(*state)
        if group.violation:
            return []
        successors = []
        for i in self.ids:
            successors += self._elections(group, i)
            successors += self._crashes(group, i)
            successors += self._daemon_steps(group, i)
            if group.replicas[i].match:
                successors += self._leader_steps(group, i)
        return [(label, tuple(successor)) for label, successor in successors]

    def _voters(self, log):
        voters = list(range(self.bounds.voters_count))
        if any(entry > PROMOTION_OFFSET for entry in log):
            voters.append(self.bounds.voters_count)
        return voters

    def _majority(self, log):
        return len(self._voters(log)) // 2 + 1

    def _elections(self, group, i):
        """Elect ``i`` in each higher term within the bounds.

        It may skip terms, as it can learn a higher one from another member.
        """
        member = group.replicas[i]
        if i not in self._voters(member.log):
            return []
        terms = range(member.term + 1, self.bounds.terms_count + 1)
        successors = []
        for term in terms:
            successors += self._elections_in_term(group, i, term)
        return successors

    def _elections_in_term(self, group, i, term):
        member = group.replicas[i]
        granting = [
            j
            for j in self._voters(member.log)
            if j != i and self._grants_vote(group.replicas[j], member, i, term)
        ]
        needed_count = self._majority(member.log) - 1
        return [
            (
                f"elect {i} by {voters} in {term}",
                self._after_election(group, i, voters, term),
            )
            for voters in itertools.combinations(granting, needed_count)
        ]

    def _grants_vote(self, voter, candidate, i, term):
        is_vote_available = voter.term < term or voter.vote in (-1, i)
        is_vote_available = is_vote_available or not self.rules.votes_once
        if voter.term > term or not is_vote_available or voter.match:
            return False
        if not self.rules.votes_for_complete_log:
            return True
        return _log_key(candidate.log) >= _log_key(voter.log)

    def _after_election(self, group, i, voters, term):
        replicas = list(group.replicas)
        for j in voters:
            replicas[j] = self._adopt_term(replicas[j], term)._replace(vote=i)
        log = replicas[i].log + (term,)
        match = tuple(len(log) if j == i else 0 for j in self.ids)
        commit = replicas[i].commit
        replicas[i] = Replica(term, i, log, len(log), match, commit)
        winner = group.winners[term]
        violation = "one_leader_per_term" if winner not in (-1, i) else ""
        winners = list(group.winners)
        winners[term] = i
        # A term that all members have reached can have no further leader.
        # Its winner is removed to reduce the number of states.
        for past in range(1 + min(replica.term for replica in replicas)):
            winners[past] = -1
        return group._replace(
            replicas=tuple(replicas),
            winners=tuple(winners),
            violation=violation,
        )

    def _adopt_term(self, replica, term):
        if replica.term == term:
            return replica
        # Only the daemon reads the commit index of a follower.
        commit = replica.commit if self.bounds.has_daemon else 0
        return replica._replace(term=term, vote=-1, match=(), commit=commit)

    def _crashes(self, group, i):
        """Discard unsynced entries and the state that is only in memory."""
        member = group.replicas[i]
        after = member._replace(
            log=member.log[: member.synced], match=(), commit=0
        )
        if not self.rules.persists_votes:
            after = after._replace(vote=-1)
        if after == member:
            return []
        return [(f"crash {i}", _replace_member(group, i, after))]

    def _daemon_steps(self, group, i):
        commit = group.replicas[i].commit
        if not self.bounds.has_daemon or commit == group.applied:
            return []
        if commit < group.applied and self.rules.daemon_applies_higher_only:
            return []
        is_reverted = commit < group.applied
        violation = "daemon_never_goes_back" if is_reverted else ""
        successor = group._replace(applied=commit, violation=violation)
        return [(f"daemon applies from {i}", successor)]

    def _leader_steps(self, group, i):
        successors = []
        for j in self.ids:
            if j != i and group.replicas[j].term <= group.replicas[i].term:
                successors += self._replications(group, i, j)
        successors += self._commits(group, i)
        if self.bounds.learners_count:
            successors += self._promotions(group, i)
        return successors

    def _replications(self, group, i, j):
        """Send the next entry, or only the commit index."""
        leader = group.replicas[i]
        follower = self._adopt_term(group.replicas[j], leader.term)
        length = _common_length(leader.log, follower.log)
        if not self.rules.checks_previous_entry:
            length = min(len(follower.log), len(leader.log))
        log = follower.log
        if length < len(leader.log):
            log = leader.log[: length + 1]
            if not self.rules.checks_previous_entry:
                log = follower.log[:length] + (leader.log[length],)
            length += 1
        synced = len(log)
        if not self.rules.syncs_before_confirming:
            synced = min(_common_length(follower.log, log), follower.synced)
        follower = follower._replace(log=log, synced=synced)
        if self.bounds.has_daemon:
            commit = max(follower.commit, min(leader.commit, length))
            follower = follower._replace(commit=commit)
        match = list(leader.match)
        match[j] = max(match[j], self._committable_match(leader, length))
        successor = _replace_member(group, j, follower)
        leader = leader._replace(match=tuple(match))
        successor = _replace_member(successor, i, leader)
        if successor == group:
            return []
        return [(f"append {i} to {j}", successor)]

    def _committable_match(self, leader, length):
        """Return 0 for a match that cannot commit, to have fewer states."""
        is_own_term = _term_of(leader.log[length - 1]) == leader.term
        return (
            length
            if is_own_term or not self.rules.commits_own_term_only
            else 0
        )

    def _commits(self, group, i):
        leader = group.replicas[i]
        voters = self._voters(leader.log)
        if not self.rules.counts_voters_only:
            voters = self.ids
        matches = sorted((leader.match[j] for j in voters), reverse=True)
        needed_count = self._majority(leader.log)
        if not self.rules.counts_majority:
            needed_count = 1
        length = matches[needed_count - 1]
        is_new = length > leader.commit
        if not is_new or not self._may_commit(leader, length):
            return []
        successor = _replace_member(group, i, leader._replace(commit=length))
        successor = _record_commit(successor, leader.log[:length])
        if not self._is_learner_complete(successor):
            violation = "promoted_member_holds_committed"
            successor = successor._replace(violation=violation)
        return [(f"commit {i}", successor)]

    def _is_learner_complete(self, group):
        """Return whether a promoted learner has all earlier entries."""
        committed = group.committed
        if not any(entry > PROMOTION_OFFSET for entry in committed):
            return True
        length = max(
            committed.index(e) for e in committed if e > PROMOTION_OFFSET
        )
        learner = group.replicas[self.bounds.voters_count]
        return learner.log[:length] == committed[:length]

    def _may_commit(self, leader, length):
        is_own_term = _term_of(leader.log[length - 1]) == leader.term
        return is_own_term or not self.rules.commits_own_term_only

    def _promotions(self, group, i):
        leader = group.replicas[i]
        learner = self.bounds.voters_count
        is_caught_up = leader.match[learner] >= leader.commit
        is_ready = leader.commit > 0 and self._may_commit(
            leader, leader.commit
        )
        is_promoted = any(entry > PROMOTION_OFFSET for entry in leader.log)
        if not self.rules.promotes_caught_up_only:
            is_caught_up = True
        if is_promoted or not is_ready or not is_caught_up:
            return []
        log = leader.log + (PROMOTION_OFFSET + leader.term,)
        match = list(leader.match)
        match[i] = len(log)
        leader = leader._replace(log=log, synced=len(log), match=tuple(match))
        successor = _replace_member(group, i, leader)
        return [(f"promote by {i}", successor)]


def _log_key(log):
    return (_term_of(log[-1]) if log else 0, len(log))


def _common_length(one, other):
    length = 0
    while length < min(len(one), len(other)) and one[length] == other[length]:
        length += 1
    return length


def _replace_member(group, i, replica):
    replicas = list(group.replicas)
    replicas[i] = replica
    return group._replace(replicas=tuple(replicas))


def _record_commit(group, committed):
    recorded = group.committed
    length = min(len(recorded), len(committed))
    if recorded[:length] != committed[:length]:
        return group._replace(violation="committed_entry_kept")
    return group._replace(committed=max(recorded, committed, key=len))
