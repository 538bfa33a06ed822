"""Packets for an endpoint: a caller's messages and the proxy's statements.

A packet is a sequence of messages that is sent in one piece.  An exchange is
a simple query, or the messages of a caller up to a Sync or Flush.
"""

import dataclasses
import functools
from collections.abc import Mapping
from collections.abc import Sequence

from pygwire.messages import BindComplete
from pygwire.messages import Close
from pygwire.messages import CloseComplete
from pygwire.messages import CommandComplete
from pygwire.messages import NoData
from pygwire.messages import ParameterDescription
from pygwire.messages import Parse
from pygwire.messages import ParseComplete
from pygwire.messages import Query

from waxwinglift.connection._session_types import PreparedStatement
from waxwinglift.connection._wire import FrameSplitter
from waxwinglift.connection._wire import PacketStep
from waxwinglift.connection._wire import step_of
from waxwinglift.connection._wire import StepKind
from waxwinglift.request._classify import classify
from waxwinglift.request._classify import StatementKind

PRIMARY_POSITION_SQL = "SELECT pg_current_wal_lsn()"
REPLICA_POSITION_SQL = "SELECT pg_last_wal_replay_lsn()"
_HEADER_BYTES = 5
_BLOCK_KINDS = frozenset({StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY})
_SETTING_KINDS = frozenset(
    {StatementKind.SET, StatementKind.RESET, StatementKind.DISCARD_ALL}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeSummary:
    """Properties of an exchange that the owner needs.

    ``changes_settings`` and ``may_commit`` may be false positives.
    ``closed_names`` are the names of the statements that it closes.
    """

    kinds: frozenset[StatementKind]
    changes_settings: bool
    may_commit: bool
    closed_names: tuple[str, ...]

    @property
    def starts_block(self) -> bool:
        """Whether the exchange starts a transaction block."""
        return bool(self.kinds & _BLOCK_KINDS)

    @property
    def is_rollback(self) -> bool:
        """Whether the exchange rolls back a transaction block."""
        return StatementKind.ROLLBACK in self.kinds


@dataclasses.dataclass(slots=True)
class Packet:
    """Messages to send in one piece, and a step for each expected answer."""

    parts: list[bytes] = dataclasses.field(default_factory=list)
    steps: list[PacketStep] = dataclasses.field(default_factory=list)

    @property
    def data(self) -> bytes:
        """Encoded messages of the packet."""
        return b"".join(self.parts)

    def add_query(self, text: str) -> PacketStep:
        """Append a proxy statement; its answer is not forwarded."""
        step = PacketStep(StepKind.QUERY, False)
        self.parts.append(_encode_query(text))
        self.steps.append(step)
        return step

    def add_parse(self, prepared: PreparedStatement):
        """Append a statement that the caller prepared earlier."""
        message = Parse(
            statement=prepared.endpoint_name,
            query=prepared.query,
            param_types=list(prepared.param_types),
        )
        name = prepared.endpoint_name
        step = PacketStep(StepKind.PARSE, False, name, forwards_error=True)
        self.parts.append(message.to_wire())
        self.steps.append(step)

    def add_exchange(self, messages: bytes, prepared_names: set[str]):
        """Append a caller's messages.

        A Parse of a statement that is already prepared on the connection is
        preceded by a Close, because the server refuses to replace a named
        statement.
        """
        for kind, frame in FrameSplitter(len(messages)).feed(messages):
            name = _name_in_parse(frame) if kind == b"P" else ""
            if name in prepared_names:
                close = Close(kind="S", name=name)
                self.parts.append(close.to_wire())
                self.steps.append(PacketStep(StepKind.CLOSE, False))
            step = step_of(kind, name)
            self.parts.append(frame)
            if step is not None:
                self.steps.append(step)

    def forwarded_steps(self) -> list[PacketStep]:
        """Return the steps of the caller's messages."""
        return [step for step in self.steps if step.is_forwarded]

    def newly_prepared(self) -> set[str]:
        """Return the names of the statements that were prepared."""
        return {
            step.prepared_name
            for step in self.steps
            if step.kind is StepKind.PARSE
            and step.is_done
            and step.prepared_name
        }


@functools.lru_cache(maxsize=64)
def _encode_query(text):
    return Query(query_string=text).to_wire()


def analyze_messages(
    messages: bytes, prepared: Sequence[PreparedStatement]
) -> ExchangeSummary:
    """Return the properties of an exchange from its messages."""
    texts = [statement.query for statement in prepared]
    closed = []
    for kind, frame in FrameSplitter(len(messages)).feed(messages):
        if kind == b"Q":
            texts.append(frame[_HEADER_BYTES:-1].decode())
        elif kind == b"P":
            texts.append(_query_in_parse(frame))
        elif kind == b"C" and frame[_HEADER_BYTES : _HEADER_BYTES + 1] == b"S":
            closed.append(frame[_HEADER_BYTES + 1 : -1].decode())
    kinds = frozenset(classify(text).kind for text in texts)
    return ExchangeSummary(
        kinds=kinds,
        changes_settings=any(_changes_settings(text) for text in texts),
        may_commit=any(_may_commit(text) for text in texts),
        closed_names=tuple(closed),
    )


def settings_statements(
    in_force: Mapping[str, str] | None, wanted: Mapping[str, str]
) -> list[str]:
    """Return the statements that change a connection's settings to ``wanted``.

    ``in_force`` is None when the current settings are unknown.
    """
    if in_force == wanted:
        return []
    statements = []
    if in_force is None or in_force.keys() - wanted.keys():
        statements.append("RESET ALL")
        in_force = {}
    statements.extend(
        f"SET {name} = {literal}"
        for name, literal in wanted.items()
        if in_force.get(name) != literal
    )
    return statements


def encode_replayed_answer(messages: bytes, tag: str) -> bytes:
    """Return the answer to messages that already ran, without rows.

    ``tag`` is the command tag of the answer.
    """
    answers = {
        b"Q": CommandComplete(tag=tag).to_wire(),
        b"E": CommandComplete(tag=tag).to_wire(),
        b"P": ParseComplete().to_wire(),
        b"B": BindComplete().to_wire(),
        b"C": CloseComplete().to_wire(),
        b"D": NoData().to_wire(),
    }
    parts = []
    for kind, frame in FrameSplitter(len(messages)).feed(messages):
        if kind == b"D" and frame[_HEADER_BYTES : _HEADER_BYTES + 1] == b"S":
            parts.append(ParameterDescription().to_wire())
        parts.append(answers.get(kind, b""))
    return b"".join(parts)


def _changes_settings(text):
    """Return whether a text may change settings of its connection.

    False positives are allowed; each costs a RESET ALL.
    """
    lowered = text.lower()
    if classify(text).kind in _SETTING_KINDS or "set_config" in lowered:
        return True
    if _has_several_statements(lowered):
        return any(word in lowered for word in ("set ", "reset ", "discard "))
    return lowered.lstrip().startswith("set ")


def _may_commit(text):
    if classify(text).kind is StatementKind.COMMIT:
        return True
    lowered = text.lower()
    has_end = "commit" in lowered or "end" in lowered
    return has_end and _has_several_statements(lowered)


def _has_several_statements(text):
    return ";" in text.rstrip("; \t\r\n")


def _name_in_parse(frame):
    return frame[_HEADER_BYTES : frame.index(0, _HEADER_BYTES)].decode()


def _query_in_parse(frame):
    start = frame.index(0, _HEADER_BYTES) + 1
    return frame[start : frame.index(0, start)].decode()
