"""Comparison of session floors with the positions of endpoints.

The floor of a session is the lowest position that its reads must include.
"""

import enum

from waxwinglift.version import Position


class FloorState(enum.Enum):
    """Relation of an endpoint's position to a session's floor.

    MET: the endpoint may serve the read.  BEHIND: it may reach the floor
    later.  LOST: a change of primary discarded writes up to the floor.
    """

    MET = "met"
    BEHIND = "behind"
    LOST = "lost"


def check_floor(floor, position, term_ends):
    """Compare a session's floor with the position of an endpoint.

    Parameters
    ----------
    floor : Position or None
        None for a session without a floor.
    position : Position
        Position up to which the endpoint has replayed the log.
    term_ends : Mapping[Term, Lsn]
        Offsets at which the group's past terms ended, where recorded.

    Returns
    -------
    FloorState
    """
    if floor is None:
        return FloorState.MET
    if position.term < floor.term:
        return FloorState.BEHIND
    past_ends = {t: e for t, e in term_ends.items() if t < position.term}
    if is_floor_lost(floor, past_ends):
        return FloorState.LOST
    if floor.term < position.term and floor.term not in term_ends:
        # This proxy has not yet applied the control log entry with the end
        # of the floor's term.
        return FloorState.BEHIND
    if position.lsn < floor.lsn:
        return FloorState.BEHIND
    return FloorState.MET


def is_floor_lost(floor, past_ends):
    """Return whether a log in a later term does not contain the floor.

    ``past_ends`` maps the terms before that later term to their ends, where
    recorded.  The log contains the floor only if the floor is not above the
    end of its own term or of any recorded term after it, because the server
    promoted for a later term may never have received the log of a term in
    between.  Without a recorded end the floor does not count as lost.
    """
    ends = [lsn for past, lsn in past_ends.items() if floor.term <= past]
    return bool(ends) and floor.lsn > min(ends)


def surviving_floor(floor, past_ends):
    """Return the floor for the writes that were not discarded.

    Parameters
    ----------
    floor : Position
        A floor that is lost; see `is_floor_lost`.
    past_ends : Mapping[Term, Lsn]
        Ends of the terms before the current one, where recorded.

    Returns
    -------
    Position or None
        Last position up to ``floor`` in the current history; None if that
        history has no write up to it.
    """
    end = min(lsn for past, lsn in past_ends.items() if floor.term <= past)
    if not end:
        return None
    # Later terms with the same end have no writes in this history.
    term = min(past for past, lsn in past_ends.items() if lsn >= end)
    return Position(term, end)


def advance_floor(floor, position):
    """Return the higher of a session's floor and an answer's position.

    Parameters
    ----------
    floor : Position or None
    position : Position or None
        None if the answer contained no position.

    Returns
    -------
    Position or None
    """
    if floor is None or position is None:
        return position if floor is None else floor
    return max(floor, position)
