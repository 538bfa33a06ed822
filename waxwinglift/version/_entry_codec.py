"""JSON codec of log entries and of the fleet state.

The same bytes are written to disk and sent to control followers and daemons.
The encoding is deterministic: fields keep the order of the dataclasses and
dictionaries their insertion order, so replicas that applied the same log
encode the same bytes.
"""

import typing
import zlib

import pydantic

from waxwinglift.version._entries import Entry
from waxwinglift.version._fleet import FleetState


def _kind_of(value):
    """Return the discriminator of an entry or of its JSON object."""
    if isinstance(value, dict):
        return value.get("kind")
    return getattr(getattr(value, "kind", None), "value", None)


def _kind_of_class(entry_class):
    return entry_class.__dataclass_fields__["kind"].default


ENTRY_CLASSES = {
    _kind_of_class(entry_class): entry_class
    for entry_class in typing.get_args(Entry)
}

_TAGGED_CLASSES = tuple(
    typing.Annotated[entry_class, pydantic.Tag(kind.value)]
    for kind, entry_class in ENTRY_CLASSES.items()
)
_ENTRY_ADAPTER = pydantic.TypeAdapter(
    typing.Annotated[
        typing.Union[_TAGGED_CLASSES], pydantic.Discriminator(_kind_of)
    ]
)
_FLEET_ADAPTER = pydantic.TypeAdapter(FleetState)


# Larger entries are compressed.  A desired state with hundreds of pools
# shrinks to a tenth; small entries stay readable.
_COMPRESSED_FROM_BYTES = 4096
_COMPRESSION_LEVEL = 6
# First byte of an uncompressed entry, which is a JSON object.
_OBJECT_START = b"{"


def encode_entry(entry):
    """Return the stored form of ``entry``.

    Parameters
    ----------
    entry : Entry

    Returns
    -------
    bytes
    """
    payload = _ENTRY_ADAPTER.dump_json(entry)
    if len(payload) < _COMPRESSED_FROM_BYTES:
        return payload
    return zlib.compress(payload, _COMPRESSION_LEVEL)


def decode_entry(payload):
    """Return the entry of ``payload``.

    Raises
    ------
    ValueError
        The bytes are not an entry of a known kind.
    """
    if not payload.startswith(_OBJECT_START):
        try:
            payload = zlib.decompress(payload)
        except zlib.error as error:
            raise ValueError(
                f"log entry is neither JSON nor zlib data: {error}"
            ) from error
    return _ENTRY_ADAPTER.validate_json(payload)


def encode_fleet(state):
    """Return the snapshot encoding of ``state``."""
    return _FLEET_ADAPTER.dump_json(state)


def decode_fleet(payload):
    """Return the fleet state of a snapshot.

    Raises
    ------
    ValueError
        The bytes are not a fleet state.
    """
    return _FLEET_ADAPTER.validate_json(payload)
