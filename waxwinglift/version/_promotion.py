"""Right of a control leader to order a promotion by another service."""

import dataclasses
from typing import NewType

from waxwinglift.process import DaemonId
from waxwinglift.version._types import Term

FencingToken = NewType("FencingToken", int)

# Number of group terms that a token can represent for each control term.
_TERMS_PER_CONTROL_TERM = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRight:
    """Daemon that orders a promotion, and its token against older orders."""

    holder: DaemonId
    token: FencingToken


def promotion_right(
    holder: DaemonId, control_term: int, group_term: Term
) -> PromotionRight:
    """Return the right of the leader of ``control_term``.

    The token increases with each leader and, for one leader, with each term
    of the group, so that an order that is executed late cannot undo a later
    order of the same leader.
    """
    token = FencingToken(control_term * _TERMS_PER_CONTROL_TERM + group_term)
    return PromotionRight(holder, token)
