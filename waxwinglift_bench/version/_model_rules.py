"""Rules of the configuration log that the models can disable."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the log; waxwinglift implements all of them."""

    persists_votes: bool = True
    votes_once: bool = True
    votes_for_complete_log: bool = True
    syncs_before_confirming: bool = True
    commits_own_term_only: bool = True
    checks_previous_entry: bool = True
    counts_majority: bool = True
    daemon_applies_higher_only: bool = True
    counts_voters_only: bool = True
    promotes_caught_up_only: bool = True
    # A resent edit is not applied again but gets the recorded answer.
    answers_resend_once: bool = True
    keeps_answers_in_snapshot: bool = True
    compares_version: bool = True
