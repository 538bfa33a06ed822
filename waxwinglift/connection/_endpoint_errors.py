"""Errors of connections to endpoints, independent of the protocol."""

# Exceptions that opening a socket may raise.  The last two are raised for an
# address that no socket can use, such as a port beyond 16 bits; the control
# log may hold one from before they were refused.
OPEN_ERRORS = (OSError, OverflowError, ValueError)


class EndpointConnectionLost(Exception):
    """The connection ended or was closed before the answer was complete."""


class EndpointRefused(Exception):
    """The endpoint refused the connection."""


class EndpointFull(EndpointRefused):
    """The endpoint answered that it has no free connection."""


class EndpointMismatch(EndpointRefused):
    """Another endpoint answers at the address."""


class PromotionRefused(Exception):
    """The promotion was refused.

    ``is_not_running`` is True if the server is not running.
    """

    def __init__(self, message, is_not_running):
        super().__init__(message)
        self.is_not_running = is_not_running
