"""Errors of connections to endpoints, independent of the protocol."""


class EndpointConnectionLost(Exception):
    """The connection ended or was closed before the answer was complete."""


class EndpointRefused(Exception):
    """The endpoint refused the connection."""


class EndpointFull(EndpointRefused):
    """The endpoint answered that it has no free connection."""


class EndpointMismatch(EndpointRefused):
    """Another endpoint answers at the address."""
