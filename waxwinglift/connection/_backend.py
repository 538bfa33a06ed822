"""PostgreSQL connection to an endpoint: start-up, packets and answers."""

import asyncio
import contextlib
import dataclasses
import hashlib
import struct
from collections.abc import Awaitable
from collections.abc import Callable

from pygwire import PygwireError
from pygwire.messages import BackendKeyData
from pygwire.messages import CancelRequest
from pygwire.messages import ErrorResponse
from pygwire.messages import PasswordMessage
from pygwire.messages import Query
from pygwire.messages import StartupMessage
from pygwire.messages import Terminate

from waxwinglift.connection._backend_probe import EndpointReader
from waxwinglift.connection._backend_probe import Prober
from waxwinglift.connection._endpoint_errors import EndpointConnectionLost
from waxwinglift.connection._endpoint_errors import EndpointRefused
from waxwinglift.connection._endpoint_errors import OPEN_ERRORS
from waxwinglift.connection._wire import FrameSplitter
from waxwinglift.connection._wire import PacketStep
from waxwinglift.connection._wire import ReplyFilter
from waxwinglift.connection._wire import StepKind
from waxwinglift.connection._wire import WireError
from waxwinglift.process import Address

_READ_BYTES = 2**16
_HEADER_BYTES = 5
_AUTHENTICATION = struct.Struct("!I")
_OK = 0
_CLEARTEXT = 3
_MD5 = 5


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointAccount:
    """Account that the proxy uses at an endpoint."""

    user: str
    password: str
    database: str
    application_name: str = "waxwinglift"


class EndpointConnection:
    """One open connection to an endpoint.

    ``reads_count`` counts the reads that returned bytes.  ``settings`` holds
    the settings in force, or None if a statement may have changed them.
    ``prepared`` holds the names of the statements prepared on it.
    ``on_lost`` is called when the connection ends, possibly before all
    received bytes have been read.  ``key`` identifies the session in cancel
    requests.  ``limit_bytes`` is the size of the largest accepted message.
    """

    def __init__(self, reader, writer, key: BackendKeyData, limit_bytes):
        self.key = key
        self.settings: dict[str, str] | None = {}
        self.prepared: set[str] = set()
        self.reads_count = 0
        self._reader = reader
        self._writer = writer
        self._limit_bytes = limit_bytes
        self._is_closed = False
        self.on_lost: Callable[[], None] | None = None
        self._prober = Prober(reader, writer.write, limit_bytes)
        reader.on_end = self._on_end

    @property
    def is_usable(self) -> bool:
        """Whether neither side has closed the connection."""
        return not (
            self._is_closed
            or self._writer.is_closing()
            or self._reader.is_ended
        )

    @property
    def is_probing(self) -> bool:
        """Whether a probe is waiting for its answer."""
        return self._prober.is_waiting

    def probe(self, on_probed: Callable[[bool], None]):
        """Send a probe while no statement runs; report its outcome.

        ``on_probed`` is called once, with whether the endpoint answered
        without an error.  It is never called after ``close``.
        """
        if self.is_usable:
            self._prober.send(on_probed)
        else:
            asyncio.get_running_loop().call_soon(on_probed, False)

    async def run(
        self,
        packet: bytes,
        steps: list[PacketStep],
        on_bytes: Callable[[bytes], Awaitable[None]] | None = None,
    ) -> ReplyFilter:
        """Send a packet and read until all of its steps are answered.

        Raises
        ------
        EndpointConnectionLost
            The packet was sent, at least partly, but not fully answered.
        """
        replies = ReplyFilter(steps, self._limit_bytes)
        await self._prober.wait()
        try:
            self._writer.write(packet)
            while not replies.is_done:
                forwarded = replies.feed(await self._read())
                if replies.is_copy:
                    raise WireError("COPY is not supported")
                if forwarded and on_bytes is not None:
                    await on_bytes(forwarded)
        except (OSError, WireError) as error:
            self.close()
            raise EndpointConnectionLost(str(error)) from error
        return replies

    async def query(self, *texts: str) -> list[PacketStep]:
        """Run the proxy's statements in one packet; return their steps."""
        steps = [PacketStep(StepKind.QUERY, False) for _ in texts]
        packet = b"".join(Query(query_string=t).to_wire() for t in texts)
        await self.run(packet, steps)
        return steps

    def close(self):
        """Close now; a running call raises EndpointConnectionLost."""
        if self._is_closed:
            return
        self._is_closed = True
        self._prober.cancel()
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.write(Terminate().to_wire())
            self._writer.close()
            # Unsent bytes for an unresponsive endpoint would keep the socket
            # open.
            if self._writer.transport.get_write_buffer_size():
                self._writer.transport.abort()
        self._reader.feed_eof()

    def _on_end(self):
        self._prober.fail()
        if self.on_lost is not None:
            self.on_lost()

    async def _read(self):
        data = await self._reader.read(_READ_BYTES)
        if not data or self._is_closed:
            raise WireError("the connection to the endpoint was closed")
        self.reads_count += 1
        return data


async def open_connection(
    address: Address, account: EndpointAccount, limit_bytes: int
) -> EndpointConnection:
    """Open a connection and wait until it accepts statements.

    Raises
    ------
    EndpointRefused
        The endpoint refused the connection or violated the protocol.
    """
    try:
        reader, writer = await _open_streams(address)
    except OPEN_ERRORS as error:
        raise EndpointRefused(str(error)) from error
    try:
        key = await _start_session(reader, writer, account, limit_bytes)
    except (OSError, WireError, PygwireError, struct.error) as error:
        writer.close()
        raise EndpointRefused(str(error)) from error
    except BaseException:
        writer.close()
        raise
    return EndpointConnection(reader, writer, key, limit_bytes)


async def _open_streams(address):
    loop = asyncio.get_running_loop()
    reader = EndpointReader()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(
        lambda: protocol, address.host, address.port
    )
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def send_cancel(
    address: Address, key: BackendKeyData, timeout_ms: float
):
    """Request cancellation of the statement on another connection.

    Connection errors are ignored, and so is an endpoint that accepts no
    connection within ``timeout_ms``.
    """
    request = CancelRequest(
        process_id=key.process_id, secret_key=key.secret_key
    )
    with contextlib.suppress(*OPEN_ERRORS):
        async with asyncio.timeout(timeout_ms / 1000):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
        writer.write(request.to_wire())
        writer.close()


async def _start_session(reader, writer, account, limit_bytes):
    parameters = {
        "user": account.user,
        "database": account.database,
        "application_name": account.application_name,
        "client_encoding": "UTF8",
    }
    writer.write(StartupMessage(params=parameters).to_wire())
    splitter = FrameSplitter(limit_bytes)
    key = BackendKeyData()
    while True:
        data = await reader.read(_READ_BYTES)
        if not data:
            raise WireError("the endpoint closed the connection")
        for kind, frame in splitter.feed(data):
            payload = memoryview(frame)[_HEADER_BYTES:]
            if kind == b"Z":
                return key
            if kind == b"E":
                raise WireError(ErrorResponse.decode(payload).message)
            if kind == b"R":
                _authenticate(writer, account, payload)
            elif kind == b"K":
                key = BackendKeyData.decode(payload)


def _authenticate(writer, account, payload):
    (method,) = _AUTHENTICATION.unpack_from(payload)
    if method == _OK:
        return
    if method == _CLEARTEXT:
        password = account.password
    elif method == _MD5:
        password = _md5_password(account, bytes(payload[4:8]))
    else:
        raise WireError(
            f"authentication method {method} is not supported; expected "
            f"clear text ({_CLEARTEXT}) or MD5 ({_MD5})"
        )
    writer.write(PasswordMessage(password=password).to_wire())


def _md5_password(account, salt):
    # The protocol requires MD5 here; it is used for nothing else.
    secret = (account.password + account.user).encode()
    inner = hashlib.md5(secret, usedforsecurity=False).hexdigest()
    outer = hashlib.md5(inner.encode() + salt, usedforsecurity=False)
    return "md5" + outer.hexdigest()
