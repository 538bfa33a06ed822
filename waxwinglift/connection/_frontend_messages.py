"""Turns a caller's messages into requests of its session.

LISTEN, COPY, function calls and SQL-level PREPARE are refused with 0A000 in
this release.  Their effects last beyond an exchange, or their messages
interleave with it, so endpoint connections could not be shared.  Flush is
supported only after Parse, Describe and Close, because it is replaced by
Sync, which has the same effect only as long as nothing was bound.
"""

import dataclasses
import struct

from pygwire import PygwireError
from pygwire.messages import Bind
from pygwire.messages import Close
from pygwire.messages import Describe
from pygwire.messages import Execute
from pygwire.messages import Flush
from pygwire.messages import FunctionCall
from pygwire.messages import Parse
from pygwire.messages import Query
from pygwire.messages import Sync
from pygwire.messages import Terminate

from waxwinglift.connection._session import Session
from waxwinglift.connection._session_types import LocalAnswer
from waxwinglift.connection._session_types import Plan
from waxwinglift.connection._session_types import PreparedStatement
from waxwinglift.connection._wire import WireError
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._classify import classify
from waxwinglift.request._classify import ClassifiedStatement

_HEADER_BYTES = 5
_SYNC = Sync().to_wire()
# COPY data may still arrive after a refused COPY; servers also ignore it.
_IGNORED = frozenset({b"d", b"c", b"f"})
_handlers = {}


class CallerTerminated(Exception):
    """The caller terminated the session."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One exchange that a caller requests.

    Parameters
    ----------
    plan : Plan
    messages : bytes
        Messages for the endpoint, with the statement names used there.
    prepared : tuple of PreparedStatement
        Prepared statements that the messages use but do not parse.
    kinds : tuple of bytes
        Type of each message, to encode a local answer; DS and CS are
        Describe and Close of a statement.
    is_ready_expected : bool
        False for an exchange that ends with Flush.
    """

    plan: Plan
    messages: bytes
    prepared: tuple[PreparedStatement, ...]
    kinds: tuple[bytes, ...]
    is_ready_expected: bool


def on_message(message_type):
    """Return a decorator that registers the handler of a message type."""

    def register(method):
        _handlers[message_type.identifier] = (message_type, method)
        return method

    return register


class RequestBuilder:
    """Collects the messages of one exchange.

    Parameters
    ----------
    session : Session
    limit_bytes : int
        Largest total size of the messages of one exchange.
    """

    def __init__(self, session: Session, limit_bytes: int):
        self._session = session
        self._limit_bytes = limit_bytes
        self._skips_to_sync = False
        self._clear()

    @property
    def is_empty(self) -> bool:
        """Whether no message is waiting for its Sync."""
        return not self._frames and not self._skips_to_sync

    @property
    def size_bytes(self) -> int:
        """Size of the messages that are waiting for their Sync."""
        return self._size_bytes

    def skip_to_sync(self):
        """Ignore messages until the next Sync, after an error."""
        self._skips_to_sync = True

    def add_message(self, kind: bytes, frame: bytes) -> CallerRequest | None:
        """Add a message; return the request that it completes, if any.

        Raises
        ------
        WireError
            The message is malformed, unknown or too large.
        CallerTerminated
            The caller terminated the session.
        """
        if kind in _IGNORED:
            return None
        if self._skips_to_sync and kind not in (b"S", b"X"):
            return None
        entry = _handlers.get(kind)
        if entry is None:
            raise WireError(f"unknown message type {kind!r}")
        message_type, handler = entry
        message = _decode(message_type, frame)
        self._size_bytes += len(frame)
        if self._size_bytes > self._limit_bytes:
            raise WireError(
                f"the messages before Sync exceed {self._limit_bytes} bytes"
            )
        return handler(self, message, frame)

    def _clear(self):
        self._frames: list[bytes] = []
        self._kinds: list[bytes] = []
        self._size_bytes = 0
        self._executed: list[ClassifiedStatement] = []
        self._described: list[ClassifiedStatement] = []
        self._portals: dict[str, ClassifiedStatement] = {}
        self._parsed: set[str] = set()
        self._referenced: dict[str, PreparedStatement] = {}
        self._failure: Failure | None = None
        self._has_bound = False

    @on_message(Query)
    def _on_query(self, message, frame):
        if self._frames:
            raise WireError("Query before the Sync of an extended exchange")
        statement = classify(message.query_string)
        plan = self._session.plan([statement])
        self._clear()
        return CallerRequest(plan, frame, (), (b"Q",), True)

    @on_message(Parse)
    def _on_parse(self, message, frame):
        statement = classify(message.query)
        prepared = self._session.prepare(
            message.statement, message.query, message.param_types, statement
        )
        self._parsed.add(message.statement)
        self._described.append(statement)
        message.statement = prepared.endpoint_name
        self._add(b"P", message, frame, prepared.endpoint_name)

    @on_message(Bind)
    def _on_bind(self, message, frame):
        prepared = self._find_prepared(message.statement)
        self._has_bound = True
        if prepared is not None:
            self._portals[message.portal] = prepared.statement
            message.statement = prepared.endpoint_name
            self._add(b"B", message, frame, prepared.endpoint_name)

    @on_message(Describe)
    def _on_describe(self, message, frame):
        if message.kind == "P":
            self._add(b"D", message, frame, "")
            return
        prepared = self._find_prepared(message.name)
        if prepared is not None:
            self._described.append(prepared.statement)
            message.name = prepared.endpoint_name
            self._add(b"DS", message, frame, prepared.endpoint_name)

    @on_message(Execute)
    def _on_execute(self, message, frame):
        self._has_bound = True
        # A portal from an earlier exchange of the block needs no routing.
        statement = self._portals.get(message.portal)
        if statement is not None:
            self._executed.append(statement)
        self._add(b"E", message, frame, "")

    @on_message(Close)
    def _on_close(self, message, frame):
        if message.kind == "P":
            self._add(b"C", message, frame, "")
            return
        prepared = self._session.prepared.pop(message.name, None)
        name = "" if prepared is None else prepared.endpoint_name
        message.name = name
        self._add(b"CS", message, frame, name)

    @on_message(Flush)
    def _on_flush(self, message, frame):
        if not self._frames and self._failure is None:
            return None
        if self._has_bound:
            text = "Flush after Bind or Execute is not supported"
            self._fail(FailureCode.NOT_SUPPORTED, text)
        return self._complete(False)

    @on_message(Sync)
    def _on_sync(self, message, frame):
        self._skips_to_sync = False
        return self._complete(True)

    @on_message(FunctionCall)
    def _on_function_call(self, message, frame):
        self._clear()
        text = "function calls are not supported by the proxy"
        plan = not_run(FailureCode.NOT_SUPPORTED, text)
        return CallerRequest(plan, b"", (), (), True)

    @on_message(Terminate)
    def _on_terminate(self, message, frame):
        raise CallerTerminated

    def _complete(self, is_sync):
        plan = self._plan()
        # A server holds back the answers to Parse and Describe until Sync or
        # Flush.  Sync replaces Flush here, which has the same effect as long
        # as nothing was bound.
        request = CallerRequest(
            plan=plan,
            messages=b"".join([*self._frames, _SYNC]),
            prepared=tuple(self._referenced.values()),
            kinds=tuple(self._kinds),
            is_ready_expected=is_sync,
        )
        self._clear()
        return request

    def _plan(self):
        if self._failure is not None:
            return self._failure
        if set(self._kinds) <= {b"CS"}:
            return LocalAnswer("")
        described = [] if self._executed else self._described
        return self._session.plan(self._executed, described)

    def _find_prepared(self, name):
        prepared = self._session.prepared.get(name)
        if prepared is None:
            text = f"prepared statement {name!r} does not exist"
            self._fail(FailureCode.UNKNOWN_STATEMENT, text)
        elif name not in self._parsed:
            self._referenced[name] = prepared
        return prepared

    def _fail(self, code, text):
        if self._failure is None:
            self._failure = not_run(code, text)

    def _add(self, kind, message, frame, endpoint_name):
        # Messages without a statement name are forwarded unchanged.
        self._kinds.append(kind)
        self._frames.append(message.to_wire() if endpoint_name else frame)


def _decode(message_type, frame):
    try:
        return message_type.decode(memoryview(frame)[_HEADER_BYTES:])
    except (struct.error, ValueError, IndexError, PygwireError) as error:
        name = message_type.__name__
        raise WireError(f"malformed {name} message: {error}") from error
