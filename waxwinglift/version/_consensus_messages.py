"""Messages between control members and their JSON codec."""

import dataclasses
import enum
import typing

import pydantic

from waxwinglift.process import DaemonId
from waxwinglift.version._types import LogIndex

# Election term of the control log; the terms of database groups are a Term.
ControlTerm = typing.NewType("ControlTerm", int)

# Payloads are arbitrary bytes, which JSON strings cannot represent.
_BASE64 = pydantic.ConfigDict(
    ser_json_bytes="base64", val_json_bytes="base64", extra="forbid"
)


class MessageKind(enum.Enum):
    """Discriminator of the encoded form of a message."""

    PRE_VOTE_REQUEST = "pre_vote_request"
    PRE_VOTE_RESPONSE = "pre_vote_response"
    VOTE_REQUEST = "vote_request"
    VOTE_RESPONSE = "vote_response"
    APPEND_REQUEST = "append_request"
    APPEND_RESPONSE = "append_response"
    SNAPSHOT_REQUEST = "snapshot_request"


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the log, with an opaque payload."""

    __pydantic_config__: typing.ClassVar = _BASE64

    index: LogIndex
    term: ControlTerm
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRole:
    """A member of the configuration; learners have no vote."""

    member: DaemonId
    is_voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State after ``index``, with the configuration at that index."""

    __pydantic_config__: typing.ClassVar = _BASE64

    index: LogIndex
    term: ControlTerm
    members: tuple[MemberRole, ...]
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Asks whether the sender could win ``term``; changes no term or vote."""

    term: ControlTerm
    last_index: LogIndex
    last_term: ControlTerm
    kind: MessageKind = MessageKind.PRE_VOTE_REQUEST


@dataclasses.dataclass(frozen=True, slots=True)
class PreVoteResponse:
    """Answer to a pre-vote request.

    ``term`` is the requested term if granted, else the sender's own term.
    """

    term: ControlTerm
    is_granted: bool
    kind: MessageKind = MessageKind.PRE_VOTE_RESPONSE


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for the recipient's vote in ``term``."""

    term: ControlTerm
    last_index: LogIndex
    last_term: ControlTerm
    kind: MessageKind = MessageKind.VOTE_REQUEST


@dataclasses.dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answer to a vote request; a vote is sent only once it is durable."""

    term: ControlTerm
    is_granted: bool
    kind: MessageKind = MessageKind.VOTE_RESPONSE


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries after ``previous_index``; without entries a heartbeat.

    ``sent_ms`` is the send time on the leader's clock; the response echoes
    it.
    """

    term: ControlTerm
    previous_index: LogIndex
    previous_term: ControlTerm
    entries: tuple[LogEntry, ...]
    commit_index: LogIndex
    sent_ms: float
    kind: MessageKind = MessageKind.APPEND_REQUEST


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answer to an append or a snapshot.

    ``match_index`` is the last durable entry that is known to equal the
    leader's.  In a rejection it is an index up to which the logs may agree,
    after which the leader should continue.
    """

    term: ControlTerm
    is_accepted: bool
    match_index: LogIndex
    sent_ms: float
    kind: MessageKind = MessageKind.APPEND_RESPONSE


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Replaces the log of a lagging member up to ``snapshot.index``."""

    term: ControlTerm
    snapshot: Snapshot
    sent_ms: float
    kind: MessageKind = MessageKind.SNAPSHOT_REQUEST


Message = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotRequest
)


def _kind_of(value):
    if isinstance(value, dict):
        return value.get("kind")
    return getattr(getattr(value, "kind", None), "value", None)


_TAGGED_CLASSES = tuple(
    typing.Annotated[
        message_class,
        pydantic.Tag(message_class.__dataclass_fields__["kind"].default.value),
    ]
    for message_class in typing.get_args(Message)
)
_ADAPTER = pydantic.TypeAdapter(
    typing.Annotated[
        typing.Union[_TAGGED_CLASSES], pydantic.Discriminator(_kind_of)
    ]
)


def encode_message(message):
    """Return the JSON bytes of ``message``."""
    return _ADAPTER.dump_json(message)


def decode_message(payload):
    """Return the message of ``payload``.

    Raises
    ------
    ValueError
        The bytes are not a message of a known kind.
    """
    return _ADAPTER.validate_json(payload)
