"""Exception that ends the stream of a transaction at its owner."""

from waxwinglift.process._data_path_types import ExchangeEnd


class StreamFailed(Exception):
    """Ends an exchange and its stream; ``end`` contains the failure."""

    def __init__(self, end: ExchangeEnd):
        super().__init__(end.failure.message)
        self.end = end
