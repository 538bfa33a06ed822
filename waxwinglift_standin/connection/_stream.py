"""Replication stream between two servers, inside CopyData messages.

The format is specific to the stand-in.  A replica connects with the start-up
parameter `replication` and receives the primary's history of terms.  After
its first report it receives the records that follow the end of its log.

The first byte of a message is its kind: `h` history, `w` record, `k`
keepalive, `r` report of a replica's positions.
"""

import asyncio
import json
import struct

import pygwire
from pygwire import messages as pg
from waxwinglift.version import Lsn
from waxwinglift.version import Term
from waxwinglift_standin.connection._session import READ_BYTES
from waxwinglift_standin.version import LogRecord

KEEPALIVE = b"k"
# A replica reconnects if it receives nothing within the time-out, which spans
# several keepalives, so that a busy primary is not mistaken for a failed one.
KEEPALIVE_INTERVAL_S = 1.0
RECEIVER_TIMEOUT_S = 5.0
_RECORD = struct.Struct("!QQI")
_STATUS = struct.Struct("!QQ")


def encode_history(history, end_lsn):
    """Return the message with the sender's terms and end of log."""
    content = {"history": history, "end_lsn": end_lsn}
    return b"h" + json.dumps(content).encode()


def decode_history(data):
    """Return (history, end of log) of the sender."""
    content = json.loads(data[1:])
    history = [(Term(term), Lsn(lsn)) for term, lsn in content["history"]]
    return history, Lsn(content["end_lsn"])


def encode_record(record):
    """Return the message that contains a log record."""
    head = _RECORD.pack(record.start_lsn, record.end_lsn, record.term)
    return b"w" + head + record.payload


def decode_record(data):
    """Return the log record in a message."""
    start_lsn, end_lsn, term = _RECORD.unpack_from(data, 1)
    payload = data[1 + _RECORD.size :]
    return LogRecord(Lsn(start_lsn), Lsn(end_lsn), Term(term), payload)


def encode_status(flush_lsn, replay_lsn):
    """Return the message in which a replica reports its positions."""
    return b"r" + _STATUS.pack(flush_lsn, replay_lsn)


def decode_status(data):
    """Return (flush position, replay position) of a replica's report."""
    flush_lsn, replay_lsn = _STATUS.unpack_from(data, 1)
    return Lsn(flush_lsn), Lsn(replay_lsn)


async def read_copy_data(reader, decoder):
    """Yield the content of CopyData messages until the stream ends.

    Raises
    ------
    ConnectionError
        If the other side reports an error.
    """
    while True:
        for message in decoder:
            if isinstance(message, pg.CopyData):
                yield message.data
            elif isinstance(message, pg.CopyOutResponse):
                decoder.phase = pygwire.ConnectionPhase.COPY_OUT
            elif isinstance(message, pg.ErrorResponse):
                raise ConnectionError(message.message)
        data = await reader.read(READ_BYTES)
        if not data:
            return
        decoder.feed(data)


async def run_until_first(*coroutines):
    """Run coroutines until the first one ends, then cancel the others.

    Raises
    ------
    Exception
        The exception that the first one raised.
    """
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        done, _ = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
