"""Compression of frame bodies on one connection between proxies.

Each direction has one context for the whole connection, so that a body is
described by what it shares with the ones before it.
"""

import zlib

# Both contexts of a connection take 31 KiB (measured).  With a context of
# 288 KiB, bodies of a few hundred bytes become no smaller.
_WINDOW_BITS = 11
_MEMORY_LEVEL = 4
_LEVEL = 6
# Sizes of the bodies that are compressed.  Larger ones would delay the other
# streams of the process and push the shared texts out of the context.
_MIN_BYTES = 32
_MAX_BYTES = 4096
# Longest compressed body; random bytes of the largest body take 4122.
_MAX_COMPRESSED_BYTES = 2 * _MAX_BYTES
# End of each flushed part, which is not sent.
_TAIL = b"\x00\x00\xff\xff"


class CompressionError(Exception):
    """A body is not compressed data, or exceeds the limit."""


class BodyCompressor:
    """Compresses the bodies of one direction, in the order of sending."""

    def __init__(self):
        self._stream = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL
        )

    def accepts(self, body: bytes) -> bool:
        """Return whether a body is worth compressing."""
        return _MIN_BYTES <= len(body) <= _MAX_BYTES

    def compress(self, body: bytes) -> bytes:
        """Return the compressed body, which must be sent."""
        data = self._stream.compress(body)
        data += self._stream.flush(zlib.Z_SYNC_FLUSH)
        return data.removesuffix(_TAIL)


class BodyDecompressor:
    """Decompresses the bodies of one direction, in the order of arrival."""

    def __init__(self):
        self._stream = zlib.decompressobj(-_WINDOW_BITS)

    def decompress(self, data: bytes) -> bytes:
        """Return the body.

        Raises
        ------
        CompressionError
        """
        if len(data) > _MAX_COMPRESSED_BYTES:
            raise CompressionError("a compressed body exceeds the limit")
        try:
            body = self._stream.decompress(data + _TAIL, _MAX_BYTES + 1)
        except zlib.error as error:
            raise CompressionError(str(error)) from error
        if len(body) > _MAX_BYTES or self._stream.unconsumed_tail:
            raise CompressionError("a compressed body exceeds the limit")
        if self._stream.eof:
            raise CompressionError("the compressed data has ended")
        return body
