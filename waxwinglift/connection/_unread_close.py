"""Closes connections whose other side may have stopped reading."""

import asyncio

# Time without any progress after which unsent bytes are given up.
UNREAD_TIMEOUT_S = 30.0


def close_transport(transport: asyncio.WriteTransport):
    """Close a connection once the written bytes have been sent.

    The connection is aborted if the other side has read none of them for
    ``UNREAD_TIMEOUT_S``, because it would stay open otherwise for as long as
    the other side does.
    """
    transport.close()
    _abort_later(transport)


def _abort_later(transport):
    unsent_bytes = transport.get_write_buffer_size()
    if unsent_bytes:
        asyncio.get_running_loop().call_later(
            UNREAD_TIMEOUT_S, _abort_if_unread, transport, unsent_bytes
        )


def _abort_if_unread(transport, unsent_bytes):
    if transport.get_write_buffer_size() == unsent_bytes:
        transport.abort()
    else:
        _abort_later(transport)
