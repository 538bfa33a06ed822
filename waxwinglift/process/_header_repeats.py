"""Fields of a header that equal those of the previous one on its stream.

The sender omits such fields once the receiver has stated that it keeps the
headers of the stream.  Nothing is derived from state that both may not share.
"""

import operator

from waxwinglift.process.rpc import peer_pb2

_HEADER_FIELDS = peer_pb2.ExecuteHeader.DESCRIPTOR.fields
_SETTINGS_BIT = 1 << (
    peer_pb2.ExecuteHeader.DESCRIPTOR.fields_by_name["settings"].number
)
# Highest number of a field that has a bit in `repeated_fields`.
_NUMBER_LIMIT = 63
# Fields with a single value, which have a bit; others are always sent.
_BITS_BY_NAME = {
    field.name: 1 << field.number
    for field in _HEADER_FIELDS
    if field.message_type is None
    and not field.is_repeated
    and field.number <= _NUMBER_LIMIT
    and field.name != "repeated_fields"
}
_read_values = operator.attrgetter(*_BITS_BY_NAME)


class HeaderError(Exception):
    """A header refers to a previous one that there is not."""


class SentHeaders:
    """Headers that were sent on one stream.

    ``are_kept`` is true once the receiver has stated that it keeps them.
    """

    def __init__(self):
        self.are_kept = False
        self._values = None
        self._settings = None
        self._next = None

    def omit_repeats(self, header):
        """Clear the fields of a header that equal the previous one's."""
        values = _read_values(header)
        settings = dict(header.settings)
        self._next = (values, settings)
        if not self.are_kept or self._values is None:
            return
        mask = 0
        rows = zip(_BITS_BY_NAME.items(), values, self._values)
        for (name, bit), value, previous in rows:
            if value and value == previous:
                header.ClearField(name)
                mask |= bit
        if settings and settings == self._settings:
            header.ClearField("settings")
            mask |= _SETTINGS_BIT
        header.repeated_fields = mask

    def record_sent(self):
        """Record that the header of the last call was sent."""
        self._values, self._settings = self._next


class ReceivedHeaders:
    """Headers that were received on one stream."""

    def __init__(self):
        self._previous = None

    def restore(self, header):
        """Set the omitted fields of a header.

        Raises
        ------
        HeaderError
            There is no previous header to take them from.
        """
        mask = header.repeated_fields
        if mask and self._previous is None:
            raise HeaderError("the stream has no previous header")
        if mask:
            self._copy_fields(header, mask)
        # The header itself would keep the memory of its whole frame.
        self._previous = peer_pb2.ExecuteHeader()
        self._previous.CopyFrom(header)

    def _copy_fields(self, header, mask):
        previous = self._previous
        for name, bit in _BITS_BY_NAME.items():
            if mask & bit:
                setattr(header, name, getattr(previous, name))
        if mask & _SETTINGS_BIT:
            header.settings.update(previous.settings)
        header.ClearField("repeated_fields")
