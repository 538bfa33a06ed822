"""Registries of the wire protocols of callers and endpoints.

A caller protocol serves the connections of callers.  An endpoint protocol
builds the objects with which an owner or a control daemon uses endpoints.
PostgreSQL is the first entry of each registry; settings name the entry to
use.

Modules of the built-in protocols are imported when a process first uses one.
Each import loads a codec, and a process refuses callers until it has started,
so the start is faster if only the protocols in use are imported.
"""

import importlib

from waxwinglift.process import Registry

# Factories ``(context, is_draining) -> CallerListener``, by protocol name.
CALLER_PROTOCOLS = Registry()
caller_protocol = CALLER_PROTOCOLS.register

# Classes with the methods of `EndpointProtocol`, by protocol name.
ENDPOINT_PROTOCOLS = Registry()
endpoint_protocol = ENDPOINT_PROTOCOLS.register

# Modules that register a protocol when they are imported, by its name.
_CALLER_MODULES = {"postgresql": "waxwinglift.process._postgresql_callers"}
_ENDPOINT_MODULES = {"postgresql": "waxwinglift.process._postgresql"}


def find_caller_protocol(name: str):
    """Return the factory of a caller protocol.

    Raises
    ------
    KeyError
        No protocol has this name.
    """
    if name not in CALLER_PROTOCOLS:
        importlib.import_module(_CALLER_MODULES[name])
    return CALLER_PROTOCOLS[name]


def find_endpoint_protocol(name: str):
    """Return the class of an endpoint protocol.

    Raises
    ------
    KeyError
        No protocol has this name.
    """
    if name not in ENDPOINT_PROTOCOLS:
        importlib.import_module(_ENDPOINT_MODULES[name])
    return ENDPOINT_PROTOCOLS[name]
