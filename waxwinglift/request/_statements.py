"""Typed statements and answers of protocols with one statement a message.

A protocol's codec turns its messages into these types and back; sessions,
runners and streams know nothing else of it.  Texts, rows and receipts are
opaque bytes that are passed on unchanged.
"""

import dataclasses
import enum

from waxwinglift.connection._types import TransactionStatus
from waxwinglift.request._types import Verdict
from waxwinglift.version import Position


class StatementVerb(enum.Enum):
    """What a caller asks for."""

    BEGIN = "begin"
    BEGIN_READ = "begin_read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedShape:
    """What a prepared name stands for."""

    is_write: bool
    shape: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a caller.

    Parameters
    ----------
    verb : StatementVerb
    request : bytes
        The caller's id, which the endpoint sees unchanged.
    text : bytes
        The statement as the caller sent it.
    name : bytes
        Setting or prepared name that it concerns.
    arguments : bytes
        What follows the name: a setting's value, or what a prepared
        statement is executed with.
    shape : PreparedShape or None
        Of PREPARE, and of EXECUTE once the session has looked it up.
    """

    verb: StatementVerb
    request: bytes
    text: bytes
    name: bytes = b""
    arguments: bytes = b""
    shape: PreparedShape | None = None

    @property
    def is_write(self) -> bool:
        """Whether it changes data."""
        if self.verb is StatementVerb.EXECUTE:
            return self.shape is not None and self.shape.is_write
        return self.verb is StatementVerb.WRITE


class EndpointErrorCode(enum.Enum):
    """Why an endpoint did not do what it was asked."""

    OVERLOADED = "overloaded"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    UNKNOWN_STATEMENT = "unknown_statement"
    WRONG_ENDPOINT = "wrong_endpoint"
    CONNECTION_LIMIT = "connection_limit"
    MALFORMED = "malformed"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    OTHER = "other"


_VERDICTS = {
    EndpointErrorCode.FAILED: Verdict.RAN,
    EndpointErrorCode.TIMED_OUT: Verdict.RAN,
    EndpointErrorCode.OTHER: Verdict.MAY_HAVE_RUN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointError:
    """Error of an endpoint, with the text that it gave."""

    code: EndpointErrorCode
    text: bytes = b""

    @property
    def verdict(self) -> Verdict:
        """Whether the statement ran."""
        return _VERDICTS.get(self.code, Verdict.NOT_RUN)


@dataclasses.dataclass(frozen=True, slots=True)
class StatementAnswer:
    """An endpoint's whole answer to one statement.

    ``receipt`` proves to the caller that the endpoint itself has answered.
    """

    rows: tuple[bytes, ...] = ()
    receipt: bytes = b""
    error: EndpointError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What an endpoint says of itself.

    Parameters
    ----------
    is_primary : bool
    received : Position
        Last commit that it has received, in the endpoint's own terms.
    fenced_term : int
        Term above which it receives nothing; 0 when it receives.
    """

    is_primary: bool
    received: Position
    fenced_term: int = 0


class CommandKind(enum.Enum):
    """What an owner or control asks an endpoint for."""

    CALLER = "caller"
    EXECUTE = "execute"
    BEGIN = "begin"
    BEGIN_READ = "begin_read"
    ROLLBACK = "rollback"
    SET = "set"
    PREPARE = "prepare"
    RESET = "reset"
    STATUS = "status"
    FENCE = "fence"


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One message to an endpoint.

    Parameters
    ----------
    kind : CommandKind
        CALLER sends ``text`` as it is; the others are built from the fields.
    request : bytes
        A caller's id; empty for what the proxy itself sends.
    text : bytes
    name, arguments : bytes
        Of SET, PREPARE and EXECUTE.
    shape : PreparedShape or None
        Of PREPARE.
    after : Position or None
        Least position that the endpoint must have.
    term : int
        Of FENCE.
    """

    kind: CommandKind
    request: bytes = b""
    text: bytes = b""
    name: bytes = b""
    arguments: bytes = b""
    shape: PreparedShape | None = None
    after: Position | None = None
    term: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An endpoint's answer to one command and its state afterwards."""

    answer: StatementAnswer
    status: TransactionStatus
    position: Position | None
