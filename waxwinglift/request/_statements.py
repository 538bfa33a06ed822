"""Statements and answers of protocols with one statement per message.

A protocol's codec converts its messages to these types and back; sessions
and the execution of statements do not depend on the protocol.  Texts, rows
and receipts are opaque bytes that are passed on unchanged.
"""

import dataclasses
import enum

from waxwinglift.connection._types import TransactionStatus
from waxwinglift.request._types import Verdict
from waxwinglift.version import Position
from waxwinglift.version import Term


class StatementVerb(enum.Enum):
    """Kinds of statements that callers send."""

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
    """Definition of a prepared statement, without its name.

    ``shape`` is the definition as the protocol writes it.
    """

    is_write: bool
    shape: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a caller.

    Parameters
    ----------
    verb : StatementVerb
    request : bytes
        Request id chosen by the caller, passed to the endpoint unchanged.
    text : bytes
        The statement as the caller sent it.
    name : bytes
        Name of a setting or of a prepared statement.
    arguments : bytes
        Value of the setting, or arguments of the prepared statement.
    shape : PreparedShape or None
        Set for PREPARE, and for EXECUTE once the session has looked it up.
    """

    verb: StatementVerb
    request: bytes
    text: bytes
    name: bytes = b""
    arguments: bytes = b""
    shape: PreparedShape | None = None

    @property
    def is_write(self) -> bool:
        """Whether the statement changes data."""
        if self.verb is StatementVerb.EXECUTE:
            return self.shape is not None and self.shape.is_write
        return self.verb is StatementVerb.WRITE


class EndpointErrorCode(enum.Enum):
    """Reasons why an endpoint refused a command or failed to execute it."""

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


# With FAILED and TIMED_OUT the endpoint reports that it executed the
# statement.  With all codes not listed here it refused the command.
_VERDICTS = {
    EndpointErrorCode.FAILED: Verdict.RAN,
    EndpointErrorCode.TIMED_OUT: Verdict.RAN,
    EndpointErrorCode.OTHER: Verdict.MAY_HAVE_RUN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointError:
    """Error that an endpoint reported, with its text."""

    code: EndpointErrorCode
    text: bytes = b""

    @property
    def verdict(self) -> Verdict:
        """Whether the statement was executed, as far as is known."""
        return _VERDICTS.get(self.code, Verdict.NOT_RUN)


@dataclasses.dataclass(frozen=True, slots=True)
class StatementAnswer:
    """An endpoint's complete answer to one statement.

    ``receipt`` proves to the caller that the endpoint itself has answered.
    """

    rows: tuple[bytes, ...] = ()
    receipt: bytes = b""
    error: EndpointError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointStatus:
    """State that an endpoint reports about itself.

    Parameters
    ----------
    is_primary : bool
    term : Term
        Term that the endpoint leads or follows.
    received : Position
        Position of the last commit that it has received.  Its term is below
        ``term`` until the endpoint receives a commit of that term.
    fenced_term : int
        Term for which the endpoint was fenced; it receives no commits while
        it is fenced.  0 if it is not fenced.
    """

    is_primary: bool
    term: Term
    received: Position
    fenced_term: int = 0


class CommandKind(enum.Enum):
    """Kinds of commands that an owner or control sends to an endpoint."""

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
    UNFENCE = "unfence"


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command to an endpoint, sent as one message.

    Parameters
    ----------
    kind : CommandKind
        CALLER sends ``text`` as it is; the others are built from the fields.
    request : bytes
        Request id chosen by the caller; empty for commands of the proxy.
    text : bytes
    name, arguments : bytes
        Set for SET, PREPARE and EXECUTE.
    shape : PreparedShape or None
        Set for PREPARE.
    after : Position or None
        Position that the endpoint must have reached.
    term : int
        Set for FENCE.
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
