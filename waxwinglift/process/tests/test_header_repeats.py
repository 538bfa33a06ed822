"""Guards the headers between proxies of which repeated fields are omitted.

An owner that takes a field from the wrong header runs a statement with another
meaning than the entry proxy intended.
"""

import asyncio
import dataclasses
import random

import pytest

from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._header_repeats import HeaderError
from waxwinglift.process._header_repeats import ReceivedHeaders
from waxwinglift.process._header_repeats import SentHeaders
from waxwinglift.process._peer_codec import decode_header
from waxwinglift.process._peer_codec import encode_exchange
from waxwinglift.process._peer_frames import encode_body
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import StreamId
from waxwinglift.process.rpc import peer_pb2
from waxwinglift.process.tests.peer_pair import peer_pair
from waxwinglift.process.tests.peer_pair import Received
from waxwinglift.request._statements import Statement
from waxwinglift.request._statements import StatementVerb
from waxwinglift.version import Lsn
from waxwinglift.version import Position
from waxwinglift.version import Term

HEADER = ExecuteHeader(
    endpoint="i-7f3a91c2",
    group="ficu22a",
    epoch=3,
    term=2,
    pool="deje552",
    rank="low",
    caller="frontend-sierra-quito-10:1234",
    floor=Position(Term(2), Lsn(1234)),
    max_age_ms=1500,
    deadline_left_ms=987,
    read_only=True,
    settings={
        "app.locale": "es_EC",
        "app.user": "u-81723",
        "app.zone": "quito",
    },
    applied_index=412,
    statement_timeout_ms=3000,
)
# Values that a field may change to, the default among them.
CHOICES = {
    "endpoint": ["i-1", "i-2"],
    "epoch": [0, 1, 2],
    "rank": ["", "low", "urgent"],
    "floor": [None, Position(Term(0), Lsn(0)), Position(Term(2), Lsn(7))],
    "max_age_ms": [0, 1500],
    "deadline_left_ms": [0, 10, 20],
    "read_only": [False, True],
    "idempotency_key": ["", "key"],
    "traceparent": ["", "00-1-1-01"],
    "settings": [{}, {"a": "1"}, {"a": "2"}, {"a": "1", "b": ""}],
    "in_block": [False, True],
    "to_standby": [False, True],
    "workspace": [None, "w-1"],
}
STATEMENT = Statement(StatementVerb.READ, b"3fa9c1d27b8e6f01", b"x" * 100)


def encode(header, sent, statement=STATEMENT):
    """Return the frame of a transaction as it is sent."""
    frame = encode_exchange(Exchange(b"", (), statement), header)
    sent.omit_repeats(frame.header)
    sent.record_sent()
    return frame


def frame_size(frame):
    return len(
        encode_frame(FrameKind.EXECUTE, StreamId(1), encode_body(frame))
    )


@pytest.mark.parametrize("are_kept", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_owner_reads_the_headers_that_were_sent(seed, are_kept):
    """Any field may change, return or become empty at any time."""
    rng = random.Random(seed)
    sent, received = SentHeaders(), ReceivedHeaders()
    sent.are_kept = are_kept
    header = HEADER
    for _ in range(300):
        names = rng.sample(sorted(CHOICES), rng.randrange(4))
        changes = {name: rng.choice(CHOICES[name]) for name in names}
        header = dataclasses.replace(header, **changes)
        data = encode(header, sent).SerializeToString()
        frame = peer_pb2.ExecuteFrame.FromString(data)
        received.restore(frame.header)
        assert decode_header(frame.header) == header


def test_header_that_was_not_sent_is_not_referred_to():
    """A frame over the size limit is refused before it is sent."""
    sent, received = SentHeaders(), ReceivedHeaders()
    first = encode(HEADER, sent).header
    received.restore(first)
    sent.are_kept = True
    refused = dataclasses.replace(HEADER, rank="urgent")
    sent.omit_repeats(encode_exchange(Exchange(b""), refused).header)
    last = encode(refused, sent).header
    received.restore(last)
    assert decode_header(last) == refused


def test_reference_without_a_previous_header_is_refused():
    """The fields would be empty, such as the statement's settings."""
    header = peer_pb2.ExecuteHeader(repeated_fields=2)
    with pytest.raises(HeaderError):
        ReceivedHeaders().restore(header)


def test_sizes_of_frames():
    """Bytes between regions are charged, most of them for statements."""
    sent = SentHeaders()
    assert frame_size(encode(HEADER, sent)) == 293
    sent.are_kept = True
    changed = dataclasses.replace(
        HEADER, floor=Position(Term(2), Lsn(1250)), deadline_left_ms=990
    )
    assert frame_size(encode(changed, sent)) <= 155


@pytest.mark.parametrize("peer_keeps_headers", [True, False])
def test_headers_are_omitted_only_where_the_peer_keeps_them(
    monkeypatch, peer_keeps_headers
):
    """An older build would take omitted fields for empty ones."""
    masks, headers = [], []

    async def work():
        async with asyncio.timeout(15), peer_pair() as pair:
            open_fake = pair.executor.open

            def record(header):
                headers.append(header)
                return open_fake(header)

            pair.executor.open = record
            for number in range(3):
                header = dataclasses.replace(
                    HEADER, deadline_left_ms=900 + number
                )
                transaction = pair.client.open(header)
                await transaction.run(Exchange(b"hello"), Received())
                await transaction.close()
                if not peer_keeps_headers:
                    for stream in pair.client._idle_streams:
                        stream.headers.are_kept = False

    restore = ReceivedHeaders.restore

    def record_mask(received, header):
        masks.append(header.repeated_fields)
        restore(received, header)

    monkeypatch.setattr(ReceivedHeaders, "restore", record_mask)
    asyncio.run(work())
    expected = [
        dataclasses.replace(HEADER, deadline_left_ms=900 + number)
        for number in range(3)
    ]
    assert headers == expected
    assert [mask != 0 for mask in masks] == [
        False,
        peer_keeps_headers,
        peer_keeps_headers,
    ]
