"""State machine of configuration edits, resends and snapshots."""

from typing import NamedTuple


class Edits(NamedTuple):
    """State of the machine ``edits``.

    ``log`` contains edit ids.  Each replica is a tuple (index, answers,
    version, applied_counts), with the number of times each edit was applied.
    ``whole`` applies the complete log, ``restored`` may load a snapshot.
    """

    log: tuple = ()
    whole: tuple = (0, (), 0, (0, 0))
    restored: tuple = (0, (), 0, (0, 0))


LOG_LIMIT_COUNT = 5


class EditsMachine:
    """Edits ``0`` and ``1``, both based on version 0 and sent repeatedly."""

    def __init__(self, rules):
        self.rules = rules
        self.initial = Edits()

    def steps(self, state):
        edits = Edits(*state)
        successors = []
        if len(edits.log) < LOG_LIMIT_COUNT:
            for edit in (0, 1):
                successor = edits._replace(log=edits.log + (edit,))
                successors.append((f"commit edit {edit}", successor))
        for name in ("whole", "restored"):
            replica = getattr(edits, name)
            if replica[0] < len(edits.log):
                applied = self._apply(replica, edits.log[replica[0]])
                successor = edits._replace(**{name: applied})
                successors.append((f"{name} applies", successor))
        if edits.whole[0] > edits.restored[0]:
            successor = edits._replace(restored=self._snapshot(edits.whole))
            successors.append(("restore from snapshot", successor))
        return [(label, tuple(successor)) for label, successor in successors]

    def _apply(self, replica, edit):
        index, answers, version, applied_counts = replica
        is_resent = any(edit == answered for answered, _ in answers)
        if is_resent and self.rules.answers_resend_once:
            return (index + 1, answers, version, applied_counts)
        is_applied = version == 0 or not self.rules.compares_version
        if is_resent:
            # With the rule disabled, a resent edit is applied again.
            is_applied = True
        if is_applied:
            version += 1
            counts = list(applied_counts)
            counts[edit] += 1
            applied_counts = tuple(counts)
        answers += ((edit, is_applied),)
        return (index + 1, answers, version, applied_counts)

    def _snapshot(self, replica):
        index, answers, version, applied_counts = replica
        if not self.rules.keeps_answers_in_snapshot:
            answers = ()
        return (index, answers, version, applied_counts)


def _takes_effect_once(state):
    return max(state["whole"][3] + state["restored"][3]) <= 1


def _one_edit_wins(state):
    return max(state["whole"][2], state["restored"][2]) <= 1


def _answers_agree(state):
    whole, restored = state["whole"], state["restored"]
    return whole[0] != restored[0] or whole[1] == restored[1]


EDIT_PROPERTIES = {
    "edit_takes_effect_once": _takes_effect_once,
    "one_edit_of_a_version_wins": _one_edit_wins,
    "answers_agree": _answers_agree,
}
