"""Right of a control leader to order a change of primary elsewhere."""

import dataclasses
from typing import NewType

from waxwinglift.process import DaemonId
from waxwinglift.version._types import Term

FencingToken = NewType("FencingToken", int)

# Room for the terms of a group below each control term.
_TERMS_COUNT = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRight:
    """Who orders a change and the token that fences older orders."""

    holder: DaemonId
    token: FencingToken


def promotion_right(
    holder: DaemonId, control_term: int, group_term: Term
) -> PromotionRight:
    """Return the right of the leader of ``control_term``.

    The token rises with each leader and, for one leader, with each term of
    the group: an order that is carried out late must not undo a later one of
    the same leader.
    """
    token = FencingToken(control_term * _TERMS_COUNT + group_term)
    return PromotionRight(holder, token)
