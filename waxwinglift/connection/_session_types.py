"""What a session decides about the statements of one exchange."""

import dataclasses
from collections.abc import Sequence

from waxwinglift.request import Access
from waxwinglift.request import Failure
from waxwinglift.request._classify import Statement


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement as the caller prepared it.

    ``endpoint_name`` identifies the query and types on any connection to an
    endpoint; it is empty for the unnamed statement.
    """

    endpoint_name: str
    query: str
    param_types: tuple[int, ...]
    statement: Statement


@dataclasses.dataclass(frozen=True, slots=True)
class LocalAnswer:
    """Answer that needs no endpoint; ``column`` is set for SHOW."""

    tag: str
    column: str = ""
    value: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RunPlan:
    """The statements go to an endpoint.

    Parameters
    ----------
    access : Access
        READ or WRITE, never AUTO.
    starts_block : bool
        A transaction block starts with these statements.
    needs_floor : bool
        False for statements that read no data.
    uses_idempotency_key : bool
        Work is executed, which the idempotency key covers; False for an
        exchange that only prepares or describes statements.
    statements : sequence of Statement
    """

    access: Access
    starts_block: bool
    needs_floor: bool
    uses_idempotency_key: bool
    statements: Sequence[Statement]


Plan = LocalAnswer | RunPlan | Failure
