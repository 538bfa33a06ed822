"""Keys of cancel requests, which identify a proxy and one of its sessions.

A load balancer may send a cancel request to any proxy.  The process id that
a caller receives therefore contains a code of the session's proxy.  Every
proxy computes this code from the proxy's name in the control log.  Because
no numbers are assigned to proxies, none can be reused by another proxy or
lost in a restart.
"""

import dataclasses
import functools
import random
from collections.abc import Container
from collections.abc import Iterable
from typing import NewType

import xxhash

from waxwinglift.connection._types import SessionId
from waxwinglift.process._types import DaemonId

ProxyCode = NewType("ProxyCode", int)

SECRET_BYTES = 4
# A process id has 31 usable bits.  20 bits allow a million sessions for each
# proxy.  With 11 bits, each of 450 proxies shares its code with 0.2 others on
# average.  A shared code only costs a forwarded request, because the secret
# identifies the session.
_CODE_BITS = 11
_SEQUENCE_BITS = 20
_SEQUENCE_COUNT = 1 << _SEQUENCE_BITS
_CODE_MASK = (1 << _CODE_BITS) - 1
_CODE_CACHE_COUNT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class CancelKey:
    """Contents of BackendKeyData and of a cancel request."""

    process_id: int
    secret_key: bytes


@functools.lru_cache(maxsize=_CODE_CACHE_COUNT)
def proxy_code(daemon: DaemonId) -> ProxyCode:
    """Return the code of a proxy; it is the same in every process."""
    return ProxyCode(xxhash.xxh3_64_intdigest(daemon.encode()) & _CODE_MASK)


def code_of(process_id: int) -> ProxyCode:
    """Return the code of the proxy that issued a process id."""
    return ProxyCode((process_id >> _SEQUENCE_BITS) & _CODE_MASK)


def proxies_of(key: CancelKey, daemons: Iterable[DaemonId]) -> list[DaemonId]:
    """Return the proxies that may have issued a key."""
    if len(key.secret_key) != SECRET_BYTES:
        return []
    code = code_of(key.process_id)
    return [daemon for daemon in daemons if proxy_code(daemon) == code]


class SessionIdAllocator:
    """Allocates the process ids of one proxy's sessions.

    The sequence starts at a random number, so that a key from before a
    restart rarely matches a session at all.

    Parameters
    ----------
    daemon : DaemonId
    rng : random.Random
    """

    def __init__(self, daemon: DaemonId, rng: random.Random):
        self._first = proxy_code(daemon) << _SEQUENCE_BITS
        self._last = rng.randrange(_SEQUENCE_COUNT)

    def allocate(self, used: Container[SessionId]) -> SessionId:
        """Return the next id that is not in ``used``; never returns 0.

        Raises
        ------
        OverflowError
            All ids are in use.
        """
        for _ in range(_SEQUENCE_COUNT):
            self._last = (self._last + 1) % _SEQUENCE_COUNT
            number = SessionId(self._first | self._last)
            if number and number not in used:
                return number
        raise OverflowError("all session ids of this proxy are in use")
