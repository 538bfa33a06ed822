"""Workspaces of a desired state: their keys and limits."""

import dataclasses
import hashlib

from waxwinglift.version._types import KeyDigest
from waxwinglift.version._types import WorkspaceName

_DIGEST_BYTES = 16
# Part of a digest that identifies a key in logs and in the operator's output.
_FINGERPRINT_LENGTH = 8


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceSettings:
    """One workspace as specified by the operator.

    Parameters
    ----------
    workspace : WorkspaceName
    keys : tuple of KeyDigest
        Digests of the keys that identify the workspace's callers.
    rate_per_s : float or None
        Operations that the workspace may start per second, at all proxies
        together; None for no limit.
    burst_count : float
        Operations that it may start at once after a pause.
    """

    workspace: WorkspaceName
    keys: tuple[KeyDigest, ...]
    rate_per_s: float | None = None
    burst_count: float = 0.0


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest by which a caller's key is stored and compared.

    The time of a comparison of digests reveals nothing about the key.
    """
    digest = hashlib.blake2b(key, digest_size=_DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())


def fingerprint(digest: KeyDigest) -> str:
    """Return a short form of a digest, for logs and operators."""
    return digest[:_FINGERPRINT_LENGTH]
