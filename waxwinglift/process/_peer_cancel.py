"""Cancel requests between proxies.

A request takes two frames, because a message may be delayed for as long as a
proxy is frozen.  The first frame names the session, and its proxy remembers
the statement that is running then.  The second frame cancels exactly this
statement; the sender omits it after a timeout.  A late message therefore
cannot cancel a later statement.
"""

import asyncio
from collections.abc import Callable

from waxwinglift.connection._cancel_key import CancelKey
from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import RunningStatement
from waxwinglift.process._peer_client_connection import PeerConnector
from waxwinglift.process._peer_codec import decode_cancel_key
from waxwinglift.process._peer_codec import encode_cancel_key
from waxwinglift.process._peer_codec import encode_end
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run

# Longest time for which the caller's cancel connection stays open.
CANCEL_TIMEOUT_S = 1.0
_NO_STATEMENT_RUNNING = not_run(
    FailureCode.CANCELLED, "no statement is running"
)

StatementFinder = Callable[[CancelKey], RunningStatement | None]


def is_cancel_request(frame) -> bool:
    """Return whether the first frame of a stream is a cancel request."""
    return frame.cancel and bool(frame.messages)


async def serve_cancel(stream, frame, find_statement: StatementFinder):
    """Serve a stream whose first frame is a cancel request."""
    key = decode_cancel_key(frame)
    statement = None if key is None else find_statement(key)
    if statement is None:
        await _reply(stream, ExchangeEnd(failure=_NO_STATEMENT_RUNNING))
        return
    await _reply(stream, ExchangeEnd())
    confirmation = await stream.recv_message()
    if confirmation is not None and confirmation.cancel:
        statement.cancel()
        await _reply(stream, ExchangeEnd())


async def send_cancel_request(connector: PeerConnector, key: CancelKey):
    """Cancel the running statement of a session over a new stream.

    Raises
    ------
    TimeoutError
        The proxy did not answer in time.  If the second frame has been sent,
        it may still cancel the statement; otherwise nothing is cancelled.
    OSError
        The proxy cannot be reached.
    """
    async with asyncio.timeout(CANCEL_TIMEOUT_S):
        connection = await connector.connect()
        stream = connection.open_stream(FrameKind.RESULT)
        try:
            await _request_cancel(stream, key)
        finally:
            stream.finish()


async def _request_cancel(stream, key):
    await stream.send(FrameKind.EXECUTE, encode_cancel_key(key))
    reply = await stream.receive()
    if reply is None or reply.end.HasField("failure"):
        return
    confirmation = peer_pb2.ExecuteFrame(cancel=True)
    await stream.send(FrameKind.EXECUTE, confirmation)
    await stream.receive()


async def _reply(stream, end):
    reply = peer_pb2.ResultFrame()
    encode_end(reply.end, end)
    await stream.send_message(reply)
