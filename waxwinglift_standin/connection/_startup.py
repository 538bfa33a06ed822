"""Start-up phase of a connection, before its session begins."""

import dataclasses

from pygwire import ConnectionPhase
from pygwire import FrontendMessageDecoder
from pygwire import messages as pg
from waxwinglift_standin.connection._session import READ_BYTES

_ENCRYPTION_REQUESTS = (pg.SSLRequest, pg.GSSEncRequest)
# PostgreSQL also refuses start-up messages longer than this.
_STARTUP_LIMIT_BYTES = 10000


@dataclasses.dataclass(frozen=True, slots=True)
class StartedConnection:
    """Start-up message or cancel request, and the decoder that read it."""

    message: object
    decoder: FrontendMessageDecoder


async def read_startup(reader, writer):
    """Refuse encryption requests and return the first other message.

    Raises
    ------
    ConnectionError
        If the connection ends, or the message is longer than the limit,
        before it is complete.
    """
    decoder = FrontendMessageDecoder()
    while True:
        for message in decoder:
            if not isinstance(message, _ENCRYPTION_REQUESTS):
                decoder.phase = ConnectionPhase.READY
                return StartedConnection(message, decoder)
            writer.write(b"N")
        data = await reader.read(READ_BYTES)
        if not data or decoder.buffered > _STARTUP_LIMIT_BYTES:
            raise ConnectionError(
                "start-up message is incomplete or longer than "
                f"{_STARTUP_LIMIT_BYTES} bytes"
            )
        decoder.feed(data)


def startup_reply(parameters, process_id, secret_key):
    """Return the reply to an accepted start-up message as bytes."""
    messages = [pg.AuthenticationOk()]
    messages += [
        pg.ParameterStatus(name, value) for name, value in parameters.items()
    ]
    messages.append(pg.BackendKeyData(process_id, secret_key))
    messages.append(pg.ReadyForQuery())
    return b"".join(message.to_wire() for message in messages)
