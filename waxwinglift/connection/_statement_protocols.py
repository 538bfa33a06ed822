"""Interfaces that a codec of typed statements implements.

The message of a typed statement states its verb, such as READ, WRITE or
COMMIT, so that no SQL is parsed.  There is one interface for the connections
of callers and one for those to endpoints.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from waxwinglift.connection._types import TransactionStatus
from waxwinglift.process import Address
from waxwinglift.request import Failure
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import Reply
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementAnswer
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName
from waxwinglift.version import PoolName
from waxwinglift.version import Position
from waxwinglift.version._types import KeyDigest
from waxwinglift.version._types import WorkspaceName


@dataclasses.dataclass(frozen=True, slots=True)
class CallerStartup:
    """First message of a caller, with the requested pool.

    ``key`` is the digest of the caller's name, which is its key where pools
    are not public.  The name itself is not kept.
    """

    pool: PoolName
    key: KeyDigest


class CallerFault(enum.Enum):
    """Fault of a caller's message."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidCallerMessage:
    """A caller's message that cannot be served.

    The session continues after it unless ``is_fatal`` is true.
    """

    fault: CallerFault
    message: str
    is_fatal: bool = False


class CallerEnd(enum.Enum):
    """Returned instead of a message once a caller's connection has ended."""

    LEFT = "left"


CallerMessage = CallerStartup | Statement | InvalidCallerMessage | CallerEnd


class StatementCaller(Protocol):
    """Connection to one caller."""

    peer: str

    async def receive(self) -> CallerMessage:
        """Return the next message; after the end, `CallerEnd` each time."""

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its side of the connection."""

    def has_unread_message(self) -> bool:
        """Return whether a message has arrived that `receive` has not read."""

    def set_disconnect_callback(self, listener: Callable[[], None] | None):
        """Call ``listener`` once when the caller closes its side.

        None removes the listener.
        """

    async def send_ready(self, status: TransactionStatus, position):
        """Send only the session's state, as after the start-up."""

    async def send_answer(
        self,
        answer: StatementAnswer,
        status: TransactionStatus,
        position: Position | None,
    ):
        """Send an endpoint's answer, then the session's state."""

    async def send_failure(
        self,
        failure: Failure,
        status: TransactionStatus | None,
    ):
        """Send a failure, then the state unless ``status`` is None."""

    def notify_end(self, failure: Failure):
        """Send a failure that ends the session, outside of an answer."""

    def close(self):
        """Close after the written data has been sent."""


class StatementConnection(Protocol):
    """Open connection to an endpoint."""

    on_lost: Callable[[], None] | None
    position: Position | None

    @property
    def is_usable(self) -> bool:
        """Whether neither side has closed the connection."""

    async def run(self, commands: Sequence[Command]) -> list[Reply]:
        """Send the commands in one piece and return their replies.

        Raises
        ------
        EndpointConnectionLost
            The replies are not complete.
        """

    def probe(self, on_probed: Callable[[bool], None]):
        """Send a request that needs no slot; report its outcome."""

    def close(self):
        """Close now; a running call raises EndpointConnectionLost."""


# Opens a connection under the name of a workspace, or of none; raises
# EndpointRefused.
ConnectionOpener = Callable[
    [Address, GroupName, EndpointId, WorkspaceName | None],
    Awaitable[StatementConnection],
]
