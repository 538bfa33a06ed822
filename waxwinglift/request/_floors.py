"""Comparison of session floors with the positions of endpoints."""

import enum


class FloorState(enum.Enum):
    """Relation of an endpoint's position to a session's floor.

    MET allows the read, BEHIND may change as the endpoint catches up, LOST
    is final: a change of primary discarded the floor.
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
        Position that the endpoint has replayed.
    term_ends : Mapping[Term, Lsn]
        Recorded ends of the group's past terms.

    Returns
    -------
    FloorState
    """
    if floor is None:
        return FloorState.MET
    if position.term < floor.term:
        return FloorState.BEHIND
    if is_floor_lost(floor, position.term, term_ends):
        return FloorState.LOST
    if floor.term < position.term and floor.term not in term_ends:
        # The entry with the end is committed but not applied here yet.
        return FloorState.BEHIND
    if position.lsn < floor.lsn:
        return FloorState.BEHIND
    return FloorState.MET


def is_floor_lost(floor, term, term_ends):
    """Return whether the history of ``term`` lacks the floor.

    A floor of an older term survives only up to the end of its own term and
    of each recorded term in between, because a later primary may have been
    promoted from a server that never followed one of them.  Without a
    recorded end nothing is known yet and the floor does not count as lost.
    """
    ends = [
        lsn for past, lsn in term_ends.items() if floor.term <= past < term
    ]
    return bool(ends) and floor.lsn > min(ends)


def advance_floor(floor, position):
    """Return the higher of a session's floor and an answer's position.

    Parameters
    ----------
    floor : Position or None
    position : Position or None
        None when the answer carried no position.

    Returns
    -------
    Position or None
    """
    if floor is None or position is None:
        return position if floor is None else floor
    return max(floor, position)
