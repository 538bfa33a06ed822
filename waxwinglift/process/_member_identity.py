"""Name of a control member, stored on its disk; a new disk gets a new one."""

import os
import pathlib
import secrets

from waxwinglift.process._types import DaemonId

_FILE_NAME = "identity"
_SUFFIX_BYTES = 6


def load_or_create_identity(folder: pathlib.Path, name: str) -> DaemonId:
    """Return the member's name for the disk that holds ``folder``.

    A member that lost its disk has no record of its votes, so it could vote
    twice in one term and must not continue under the old name.  For a new
    disk, a random name is created and stored.

    Parameters
    ----------
    folder : Path
        Data folder; created if missing.
    name : str
        Name of the machine; the readable prefix of the result.

    Raises
    ------
    OSError
        The folder cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / _FILE_NAME
    try:
        stored = path.read_text(encoding="ascii").strip()
    except (FileNotFoundError, UnicodeDecodeError):
        stored = ""
    # An empty or incomplete file is from a crash before the name was used.
    if stored.startswith(f"{name}."):
        return DaemonId(stored)
    identity = f"{name}.{secrets.token_hex(_SUFFIX_BYTES)}"
    _write(folder, path, identity)
    return DaemonId(identity)


def _write(folder, path, text):
    temporary = path.with_suffix(".draft")
    with temporary.open("w", encoding="ascii") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
