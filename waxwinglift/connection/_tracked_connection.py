"""Tracks session settings and prepared statements of one connection."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import hashlib

from waxwinglift.connection._statement_protocols import StatementConnection
from waxwinglift.request._statements import Command
from waxwinglift.request._statements import CommandKind
from waxwinglift.request._statements import PreparedShape
from waxwinglift.request._statements import Reply
from waxwinglift.version import Position

Settings = Mapping[bytes, bytes]

# Kinds of commands that need a slot of the endpoint.
_SLOT_KINDS = frozenset(
    {CommandKind.CALLER, CommandKind.EXECUTE, CommandKind.STATUS}
)
# Longest shape that is part of a statement's name; a longer one would be sent
# with each EXECUTE.
_SHAPE_LIMIT_BYTES = 64
_DIGEST_BYTES = 16


class TrackedConnection:
    """Connection to an endpoint with its settings and prepared statements.

    Parameters
    ----------
    connection : StatementConnection
    now_ms : callable
    on_round_trip : callable
        Called with the duration of commands that need no slot, in ms.
    on_position : callable
        Called with the endpoint's position after each answer.
    """

    def __init__(
        self,
        connection: StatementConnection,
        now_ms: Callable[[], float],
        on_round_trip: Callable[[float], None],
        on_position: Callable[[Position | None], None] = lambda _: None,
    ):
        self.connection = connection
        self._now_ms = now_ms
        self._on_round_trip = on_round_trip
        self._on_position = on_position
        self.settings: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()

    @property
    def is_usable(self) -> bool:
        """Whether neither side has closed the connection."""
        return self.connection.is_usable

    @property
    def on_lost(self):
        """Callback for the end of the connection, or None."""
        return self.connection.on_lost

    @on_lost.setter
    def on_lost(self, listener):
        self.connection.on_lost = listener

    def probe(self, on_probed):
        """Send a request that needs no slot; report its outcome."""
        started_ms = self._now_ms()

        def end(is_success):
            if is_success:
                self._on_round_trip(self._now_ms() - started_ms)
                self._on_position(self.connection.position)
            on_probed(is_success)

        self.connection.probe(end)

    def close(self):
        """Close now, without waiting for replies."""
        self.connection.close()

    async def run(self, commands: Sequence[Command]) -> list[Reply]:
        """Send commands in one piece and return their replies.

        Raises
        ------
        EndpointConnectionLost
            The replies are not complete.
        """
        started_ms = self._now_ms()
        replies = await self.connection.run(commands)
        self._on_position(replies[-1].position)
        if not any(command.kind in _SLOT_KINDS for command in commands):
            self._on_round_trip(self._now_ms() - started_ms)
        return replies

    def commands_to_apply(self, wanted: Settings) -> list[Command]:
        """Return the commands that change the session settings to ``wanted``.

        The commands are recorded as successful, because a connection on
        which one of them fails is closed.
        """
        commands = []
        if self.settings.keys() - wanted.keys():
            commands.append(Command(CommandKind.RESET))
            self.settings = {}
            self.prepared.clear()
        for name, value in wanted.items():
            if self.settings.get(name) != value:
                commands.append(
                    Command(CommandKind.SET, name=name, arguments=value)
                )
                self.settings[name] = value
        return commands

    def prepare(self, shape: PreparedShape) -> tuple[bytes, list[Command]]:
        """Return a prepared statement's name and the commands to define it.

        The name is derived from the statement, because callers may use one
        name for different statements.
        """
        name = _statement_name(shape)
        if name in self.prepared:
            return name, []
        self.prepared.add(name)
        return name, [Command(CommandKind.PREPARE, name=name, shape=shape)]


def _statement_name(shape):
    """Return a name for the shape; it has no blank, which would end it."""
    if b" " in shape.shape or len(shape.shape) > _SHAPE_LIMIT_BYTES:
        digest = hashlib.blake2b(shape.shape, digest_size=_DIGEST_BYTES)
        prefix = b"dw_" if shape.is_write else b"dr_"
        return prefix + digest.hexdigest().encode()
    return (b"w_" if shape.is_write else b"r_") + shape.shape
