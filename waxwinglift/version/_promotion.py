"""Authorization that a control leader attaches to a promotion request.

The leader sends such a request to the platform to have a server promoted.
"""

import dataclasses
from typing import NewType

from waxwinglift.process import DaemonId
from waxwinglift.version._types import Term

FencingToken = NewType("FencingToken", int)

# Number of group terms that a token can represent for each control term.
_TERMS_PER_CONTROL_TERM = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRight:
    """Daemon that requests a promotion, and its fencing token.

    The platform rejects requests with an older token.
    """

    holder: DaemonId
    token: FencingToken


def promotion_right(
    holder: DaemonId, control_term: int, group_term: Term
) -> PromotionRight:
    """Return the authorization of the leader of ``control_term``.

    The token increases with each leader and, for one leader, with each term
    of the group, so that a request that is executed late cannot undo a later
    request of the same leader.
    """
    token = FencingToken(control_term * _TERMS_PER_CONTROL_TERM + group_term)
    return PromotionRight(holder, token)
