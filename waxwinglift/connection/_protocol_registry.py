"""Registries of the protocols that callers and endpoints speak.

A caller protocol serves the connections of callers, an endpoint protocol
builds what an owner and a control daemon need to use endpoints.  PostgreSQL
is the first entry of each; settings name the entry to use.

Modules of the project's own protocols are imported when a process first asks
for one: each brings a codec, and callers are refused until a process has
started.
"""

import importlib

from waxwinglift.process import Registry

# Factories ``(context, is_draining) -> CallerListener``, by protocol name.
CALLER_PROTOCOLS = Registry()
caller_protocol = CALLER_PROTOCOLS.register

# Classes with the methods of `EndpointProtocol`, by protocol name.
ENDPOINT_PROTOCOLS = Registry()
endpoint_protocol = ENDPOINT_PROTOCOLS.register

# Modules whose import fills the registries, by protocol name.
_CALLER_MODULES = {"postgresql": "waxwinglift.process._postgresql_callers"}
_ENDPOINT_MODULES = {"postgresql": "waxwinglift.process._postgresql"}


def find_caller_protocol(name: str):
    """Return the factory of a caller protocol."""
    if name not in CALLER_PROTOCOLS:
        importlib.import_module(_CALLER_MODULES[name])
    return CALLER_PROTOCOLS[name]


def find_endpoint_protocol(name: str):
    """Return what an owner and control need of an endpoint protocol."""
    if name not in ENDPOINT_PROTOCOLS:
        importlib.import_module(_ENDPOINT_MODULES[name])
    return ENDPOINT_PROTOCOLS[name]
