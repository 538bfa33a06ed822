"""Guards the compressed frames between proxies of different regions.

Bodies that are mixed up or damaged would give a caller foreign data.
"""

import asyncio
import os
import random
import zlib

import pytest

from waxwinglift.process import _peer_service
from waxwinglift.process import Address
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._data_path_types import Exchange
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._owner_set import OwnerSet
from waxwinglift.process._peer_client import PeerClients
from waxwinglift.process._peer_compression import BodyCompressor
from waxwinglift.process._peer_compression import BodyDecompressor
from waxwinglift.process._peer_compression import CompressionError
from waxwinglift.process._peer_connection import PeerConnection
from waxwinglift.process.tests.peer_pair import header
from waxwinglift.process.tests.peer_pair import peer_pair
from waxwinglift.process.tests.peer_pair import Received
from waxwinglift.process.tests.peer_pair import settle
from waxwinglift.version._fleet import Daemon
from waxwinglift.version._types import DaemonState


def text(rng):
    """Return a statement of about 100 bytes, like others but for a number."""
    number = rng.randrange(10**6)
    return (
        f"SELECT name, state, score FROM admissions WHERE id = {number} "
        "AND term = 'T2' ORDER BY name LIMIT 10"
    ).encode()


@pytest.mark.parametrize("seed", range(3))
def test_bodies_are_restored_in_order(seed):
    rng = random.Random(seed)
    compressor, decompressor = BodyCompressor(), BodyDecompressor()
    for _ in range(500):
        size = rng.choice([32, 100, 1000, 4096])
        body = rng.choice([os.urandom(size), b"x" * size, text(rng)])
        assert compressor.accepts(body)
        assert decompressor.decompress(compressor.compress(body)) == body


def test_statements_that_resemble_each_other_become_small():
    """Bytes between regions are charged."""
    rng = random.Random(1)
    compressor = BodyCompressor()
    bodies = [text(rng) for _ in range(200)]
    sent_bytes = sum(len(compressor.compress(body)) for body in bodies)
    assert sent_bytes < sum(map(len, bodies)) / 4


@pytest.mark.parametrize("size", [0, 31, 4097, 2**20])
def test_other_sizes_are_sent_as_they_are(size):
    """A large answer would delay all other streams of the process."""
    assert not BodyCompressor().accepts(bytes(size))


def _too_long():
    stream = zlib.compressobj(9, zlib.DEFLATED, -11)
    return stream.compress(bytes(2**24)) + stream.flush(zlib.Z_SYNC_FLUSH)


def _ended():
    stream = zlib.compressobj(9, zlib.DEFLATED, -11)
    return stream.compress(b"end") + stream.flush()


# Blocks without content, which take time and memory but give no body.
_EMPTY_BLOCKS = b"\x00\x00\x00\xff\xff" * 2000


@pytest.mark.parametrize(
    "data",
    [b"\xff" * 50, _too_long(), _ended(), _EMPTY_BLOCKS],
    ids=["bad", "long", "end", "empty"],
)
def test_bad_data_is_an_error_that_fills_no_memory(data):
    with pytest.raises(CompressionError):
        BodyDecompressor().decompress(data)


def test_damaged_frame_closes_the_connection_as_other_bad_frames():
    closed = []

    class Connection(PeerConnection):
        def abort(self):
            closed.append(True)

    class Transport:
        def get_extra_info(self, name):
            return None

    connection = Connection()
    connection._transport = Transport()
    connection.data_received(b"\x00\x00\x00\x02\x81\x00\x00\x00\x01\xff\xff")
    assert closed == [True]


async def _run_transactions(pair, count, size):
    answers = []
    for number in range(count):
        received = Received()
        transaction = pair.client.open(header(f"caller-{number % 3}"))
        messages = f"{number} ".encode() + b"text " * size
        end = await transaction.run(Exchange(messages), received)
        await transaction.close()
        assert end.failure is None
        answers.append(received.data.startswith(messages))
    return answers


@pytest.mark.parametrize("size", [0, 50, 2000])
@pytest.mark.parametrize("is_older_build", [False, True])
def test_answers_are_the_same_with_compression(
    monkeypatch, size, is_older_build
):
    """A peer of an older build closes the connection at a compressed frame."""
    kinds = set()
    write = PeerConnection.write

    def record(connection, data):
        kinds.add((type(connection).__name__, data[4] >> 7))
        write(connection, data)

    monkeypatch.setattr(PeerConnection, "write", record)
    if is_older_build:
        monkeypatch.setattr(
            _peer_service._StreamServer,
            "_state_abilities",
            lambda server, reply: None,
        )

    async def work():
        async with asyncio.timeout(20), peer_pair(compresses=True) as pair:
            return await _run_transactions(pair, 30, size)

    assert all(asyncio.run(work()))
    compressed = {name for name, is_compressed in kinds if is_compressed}
    if is_older_build:
        assert compressed == set()
    elif size == 50:
        assert compressed == {"ClientConnection", "ServerConnection"}


def test_answers_of_concurrent_streams_are_not_mixed_up():
    async def work():
        async with asyncio.timeout(20), peer_pair(compresses=True) as pair:
            await asyncio.gather(
                *(_run_transactions(pair, 20, size) for size in range(40))
            )
            await settle()

    asyncio.run(work())


@pytest.mark.parametrize(
    ("is_enabled", "region", "expected"),
    [
        (True, "region-2", True),
        (True, "region-1", False),
        (False, "region-2", False),
    ],
)
def test_only_other_regions_get_compressed_frames(
    is_enabled, region, expected
):
    """Bytes within a region cost less than the time to compress them."""
    own = Location(DataCentre("dc-1"), Region("region-1"))
    other = Location(DataCentre("dc-2"), Region(region))
    view = FleetView("proxy-0", own, lambda: True)
    view.fleet.daemons["proxy-1"] = Daemon(
        "proxy-1", Address("127.0.0.1", 1), other, DaemonState.ACTIVE
    )

    async def work():
        local = OwnerSet(OwnerSettings(), view)
        clients = PeerClients(view, local, is_enabled)
        client = clients.executor_for("proxy-1")
        clients.close()
        return client.compresses

    assert asyncio.run(work()) is expected
