"""What a codec of typed statements has to offer, on either side."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class CallerStartup:
    """First message of a caller: the pool it asks for and its name."""

    pool: PoolName
    caller: str


class CallerFault(enum.Enum):
    """What is wrong with a caller's message."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidCallerMessage:
    """A message that cannot be served.

    The session goes on after it unless ``is_fatal``.
    """

    fault: CallerFault
    message: str
    is_fatal: bool = False


class CallerEnd(enum.Enum):
    """How a caller leaves."""

    LEFT = "left"


CallerMessage = CallerStartup | Statement | InvalidCallerMessage | CallerEnd


class StatementCaller(Protocol):
    """Connection to one caller."""

    peer: str

    async def receive(self) -> CallerMessage:
        """Return the next message; the same end again once it has left."""

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its side."""

    def set_disconnect_callback(self, listener: Callable[[], None] | None):
        """Call ``listener`` once when the caller leaves."""

    async def send_ready(self, status: TransactionStatus, position):
        """Report the state alone, as after the start-up."""

    async def send_answer(
        self,
        answer: StatementAnswer,
        status: TransactionStatus,
        position: Position | None,
    ):
        """Send an endpoint's answer and the state afterwards."""

    async def send_failure(
        self,
        failure: Failure,
        status: TransactionStatus | None,
    ):
        """Send a failure, and the state unless the session ends."""

    def close(self):
        """Close after what was sent has left."""


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
        """Send something that needs no slot; report how it ended."""

    def close(self):
        """Close at once; what runs raises EndpointConnectionLost."""


# Opens a connection; raises EndpointRefused.
ConnectionOpener = Callable[
    [Address, GroupName, EndpointId], Awaitable[StatementConnection]
]
