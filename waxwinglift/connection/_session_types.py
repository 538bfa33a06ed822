"""Plans that a session makes for the statements of one exchange."""

import dataclasses
from collections.abc import Sequence

from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request._classify import ClassifiedStatement


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement as the caller prepared it.

    ``endpoint_name`` identifies the query and its parameter types on any
    connection to an endpoint; it is empty for the unnamed statement.
    """

    endpoint_name: str
    query: str
    param_types: tuple[int, ...]
    statement: ClassifiedStatement


@dataclasses.dataclass(frozen=True, slots=True)
class LocalAnswer:
    """Answer that needs no endpoint; only SHOW sets ``column``."""

    tag: str
    column: str = ""
    value: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RunPlan:
    """Plan for statements that run at an endpoint.

    Parameters
    ----------
    access : Access
        READ or WRITE, never AUTO.
    starts_block : bool
        Whether the statements start a transaction block.
    needs_floor : bool
        False for statements that read no data.
    uses_idempotency_key : bool
        Whether work is executed that the idempotency key covers; False for
        an exchange that only prepares or describes statements.
    statements : sequence of ClassifiedStatement
        Statements that are executed, without those only prepared or described.
    """

    access: Access
    starts_block: bool
    needs_floor: bool
    uses_idempotency_key: bool
    statements: Sequence[ClassifiedStatement]


Plan = LocalAnswer | RunPlan | Failure
