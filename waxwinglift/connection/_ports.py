"""Registries of the protocols that callers and endpoints speak.

A caller protocol serves the connections of callers, an endpoint protocol
builds what an owner and a control daemon need to use endpoints.  PostgreSQL
is the first entry of each; settings name the entry to use.
"""

from waxwinglift.process import Registry

# Factories ``(context, is_draining) -> CallerListener``, by protocol name.
CALLER_PROTOCOLS = Registry()
caller_protocol = CALLER_PROTOCOLS.register

# Classes with the methods of `EndpointProtocol`, by protocol name.
ENDPOINT_PROTOCOLS = Registry()
endpoint_protocol = ENDPOINT_PROTOCOLS.register
