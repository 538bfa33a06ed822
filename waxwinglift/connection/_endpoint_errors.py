"""Errors of connections to endpoints, whatever the protocol."""


class EndpointConnectionLost(Exception):
    """The connection ended or was closed before the answer was complete."""


class EndpointRefused(Exception):
    """The endpoint refused the connection."""


class EndpointFull(EndpointRefused):
    """The endpoint has no connection left; it is alive."""


class EndpointMismatch(EndpointRefused):
    """Another endpoint has taken the address."""
