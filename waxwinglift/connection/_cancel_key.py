"""Keys of cancel requests: which proxy and which session they name.

A balancer may send a cancel request to any proxy.  The process id that a
caller was told therefore holds a code of the session's proxy, which every
proxy computes from the name in the control log: no number is handed out, so
none can be reused by another proxy or be lost in a restart.
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
# A process id has 31 usable bits.  20 bits leave a proxy a million sessions;
# with 11 bits, 450 proxies share a code with 0.2 others on average, which
# costs a forwarded request and nothing else: the secret decides.
_CODE_BITS = 11
_SEQUENCE_BITS = 20
_SEQUENCE_COUNT = 1 << _SEQUENCE_BITS
_CODE_MASK = (1 << _CODE_BITS) - 1
_KNOWN_NAMES_COUNT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class CancelKey:
    """Contents of BackendKeyData and of a cancel request."""

    process_id: int
    secret_key: bytes


@functools.lru_cache(maxsize=_KNOWN_NAMES_COUNT)
def proxy_code(daemon: DaemonId) -> ProxyCode:
    """Return the code of a proxy, the same in each process."""
    return ProxyCode(xxhash.xxh3_64_intdigest(daemon.encode()) & _CODE_MASK)


def code_of(process_id: int) -> ProxyCode:
    """Return the code of the proxy that gave out a process id."""
    return ProxyCode((process_id >> _SEQUENCE_BITS) & _CODE_MASK)


def proxies_of(key: CancelKey, daemons: Iterable[DaemonId]) -> list[DaemonId]:
    """Return the proxies that may have given out a key."""
    if len(key.secret_key) != SECRET_BYTES:
        return []
    code = code_of(key.process_id)
    return [daemon for daemon in daemons if proxy_code(daemon) == code]


class SessionIdAllocator:
    """Gives out the process ids of one proxy's sessions.

    The sequence starts at a random place, so that a key from before a
    restart rarely names a session at all.

    Parameters
    ----------
    daemon : DaemonId
    rng : random.Random
    """

    def __init__(self, daemon: DaemonId, rng: random.Random):
        self._first = proxy_code(daemon) << _SEQUENCE_BITS
        self._last = rng.randrange(_SEQUENCE_COUNT)

    def take(self, used: Container[SessionId]) -> SessionId:
        """Return the next number that is not in use; 0 is never returned."""
        for _ in range(_SEQUENCE_COUNT):
            self._last = (self._last + 1) % _SEQUENCE_COUNT
            number = SessionId(self._first | self._last)
            if number and number not in used:
                return number
        raise OverflowError("every session number is in use")
