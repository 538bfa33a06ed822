"""Tests the encoding of frames between proxies and the limits on them."""

import pytest

from waxwinglift.process import _peer_frames
from waxwinglift.process._peer_frames import encode_body
from waxwinglift.process._peer_frames import encode_frame
from waxwinglift.process._peer_frames import encode_grant
from waxwinglift.process._peer_frames import Frame
from waxwinglift.process._peer_frames import FrameDecoder
from waxwinglift.process._peer_frames import FrameError
from waxwinglift.process._peer_frames import FrameKind
from waxwinglift.process._peer_frames import FrameTooLargeError
from waxwinglift.process._peer_frames import StreamId
from waxwinglift.process.rpc import peer_pb2

FRAMES = [
    Frame(FrameKind.EXECUTE, StreamId(1), b"first"),
    Frame(FrameKind.PING, StreamId(0), b""),
    Frame(FrameKind.RESULT, StreamId(2**32 - 1), b"x" * 300),
    Frame(FrameKind.END, StreamId(7), b""),
]
ENCODED = b"".join(
    encode_frame(frame.kind, frame.stream_id, frame.body) for frame in FRAMES
)


@pytest.mark.parametrize("part_bytes", [1, 2, 8, 9, 10, 13, 100, 1000])
def test_frames_survive_any_division_into_packets(part_bytes):
    # TCP divides frames anywhere; a wrong boundary mixes up two streams.
    decoder = FrameDecoder()
    frames = []
    for start in range(0, len(ENCODED), part_bytes):
        frames.extend(decoder.feed(ENCODED[start : start + part_bytes]))
    assert frames == FRAMES


@pytest.mark.parametrize(
    "data",
    [
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"\xff\xff\xff\xff\x01\x00\x00\x00\x01",
        b"\x00\x00\x00\x00\x00\x00\x00\x00\x01",
        b"\x00\x00\x00\x00\x63\x00\x00\x00\x01",
    ],
    ids=["HTTP/2", "too long", "kind 0", "unknown kind"],
)
def test_invalid_header_is_an_error_before_its_body_arrives(data):
    # A decoder that waits for the body of such a frame would fill the memory.
    frames = FrameDecoder().feed(ENCODED + data)
    assert [next(frames) for _ in FRAMES] == FRAMES
    with pytest.raises(FrameError):
        next(frames)


@pytest.mark.parametrize(
    "kind",
    [
        FrameKind.EXECUTE,
        FrameKind.RESULT,
        FrameKind.POSITION_REQUEST,
        FrameKind.POSITION_REPLY,
    ],
)
def test_malformed_message_is_a_frame_error(kind):
    # The connection handles this error only, and has to stay the one to end.
    with pytest.raises(FrameError):
        Frame(kind, StreamId(1), b"\xff\xff\xff").decode()


@pytest.mark.parametrize("body", [b"", b"123", b"12345"])
def test_grant_of_the_wrong_size_is_a_frame_error(body):
    # struct.error would escape from the handler of malformed frames.
    with pytest.raises(FrameError):
        Frame(FrameKind.GRANT, StreamId(1), body).granted_bytes()


def test_grant_states_its_bytes():
    # A wrong count closes the window for good or opens it without a bound.
    (frame,) = FrameDecoder().feed(encode_grant(StreamId(3), 70_000))
    assert (frame.stream_id, frame.granted_bytes()) == (3, 70_000)


@pytest.mark.parametrize(("size_bytes", "fits"), [(990, True), (1001, False)])
def test_message_above_the_limit_is_not_encoded(monkeypatch, size_bytes, fits):
    # The receiver would end the connection with all its transactions.
    monkeypatch.setattr(_peer_frames, "FRAME_LIMIT_BYTES", 1000)
    message = peer_pb2.ExecuteFrame(messages=b"x" * size_bytes)
    if fits:
        assert len(encode_body(message)) <= 1000
        return
    with pytest.raises(FrameTooLargeError, match="exceeds the limit of 1000"):
        encode_body(message)
